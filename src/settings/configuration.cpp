#include "settings/configuration.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <utility>
#include <vector>

#include "net/json_text.hpp"
#include "settings/host_name.hpp"

namespace lilacmux {
namespace {

using nlohmann::json;

constexpr double kMaxMs = 24 * 3600 * 1000.0;
constexpr double kMaxRatePerS = 1e9;
constexpr double kMaxCount = 1e6;  // of priorities, weights, attempts and connections
constexpr double kMaxBytes = 1e12;

// Where a configuration comes from. One that is in force may have been accepted by an earlier version, which
// checked less.
enum class Origin { request, inForce };

// What makes a configuration invalid; does not leave this file.
struct InvalidConfiguration : std::runtime_error {
  using std::runtime_error::runtime_error;
};

[[noreturn]] void fail(const std::string& path, const std::string& problem) {
  throw InvalidConfiguration(path + ": " + problem);
}

// Null if the field is absent or null.
const json* find(const json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::string requireText(const json& object, const char* name, const std::string& path) {
  const json* value = find(object, name);
  if (!value || !value->is_string()) fail(path, std::string(name) + " is not a text");
  return value->get<std::string>();
}

double readNumber(const json& object, const char* name, const std::string& path, double defaultValue,
                  double max) {
  const json* value = find(object, name);
  if (!value) return defaultValue;
  if (!value->is_number()) fail(path, std::string(name) + " is not a number");
  const double out = value->get<double>();
  if (!std::isfinite(out) || out < 0 || out > max) fail(path, std::string(name) + " is out of range");
  return out;
}

// False if the field is absent.
bool readFlag(const json& object, const char* name, const std::string& path) {
  const json* value = find(object, name);
  if (!value) return false;
  if (!value->is_boolean()) fail(path, std::string(name) + " is neither true nor false");
  return value->get<bool>();
}

// An empty list if the field is absent. All entries are objects.
const json& readList(const json& object, const char* name, const std::string& path) {
  static const json empty = json::array();
  const json* value = find(object, name);
  if (!value) return empty;
  if (!value->is_array()) fail(path, std::string(name) + " is not a list");
  for (const json& entry : *value)
    if (!entry.is_object()) fail(path, std::string(name) + " holds what is no object");
  return *value;
}

RouteType readRouteType(const std::string& name, const std::string& path) {
  if (name == "idempotent") return RouteType::idempotent;
  if (name == "non_idempotent") return RouteType::nonIdempotent;
  if (name == "download") return RouteType::download;
  fail(path, "unknown routeType");
}

std::vector<Target> readTargets(const json& entry, const std::string& path) {
  std::vector<Target> out;
  if (find(entry, "trafficSplit")) {
    double sum = 0;
    for (const json& part : readList(entry, "trafficSplit", path)) {
      Target target{requireText(part, "targetService", path),
                    static_cast<unsigned>(std::lround(readNumber(part, "weight", path, 0, kMaxCount)))};
      sum += target.weight;
      out.push_back(std::move(target));
    }
    if (sum <= 0) fail(path, "the weights sum to 0");
    return out;
  }
  out.push_back({requireText(entry, "targetService", path), 1});
  return out;
}

Route readRoute(const json& entry) {
  Route out;
  const json* name = find(entry, "name");
  out.name = name && name->is_string() ? name->get<std::string>() : "?";
  const std::string path = "route " + out.name;
  out.host = requireText(entry, "hostname", path);
  out.prefix = requireText(entry, "pathPrefix", path);
  if (out.host.empty()) fail(path, "hostname is empty");
  if (out.prefix.empty() || out.prefix.front() != '/' || out.prefix.back() != '/')
    fail(path, "pathPrefix does not start and end with a slash");
  out.type = readRouteType(requireText(entry, "routeType", path), path);
  out.timeoutMs = readNumber(entry, "timeoutMs", path, 0, kMaxMs);
  if (out.timeoutMs <= 0) fail(path, "timeoutMs is 0");
  out.latencyTargetMs = readNumber(entry, "targetLatencyMs", path, out.timeoutMs, kMaxMs);
  out.priority = static_cast<unsigned>(readNumber(entry, "priority", path, 0, kMaxCount));
  out.maxAttempts =
      static_cast<unsigned>(std::max(1.0, readNumber(entry, "maxAttempts", path, 1, kMaxCount)));
  out.isPublic = readFlag(entry, "public", path);
  out.targets = readTargets(entry, path);
  return out;
}

void readTenants(const json& root, Configuration& out) {
  out.hasTenants = find(root, "tenants") != nullptr;
  std::set<std::string> keys, names;
  for (const json& entry : readList(root, "tenants", "configuration")) {
    Tenant tenant;
    tenant.name = requireText(entry, "name", "tenant");
    const std::string path = "tenant " + tenant.name;
    if (!names.insert(tenant.name).second) fail(path, "two tenants have this name");
    tenant.priority = static_cast<unsigned>(readNumber(entry, "priority", path, 0, kMaxCount));
    tenant.ratePerS = readNumber(entry, "ratePerS", path, 0, kMaxRatePerS);
    tenant.burst = readNumber(entry, "burstSize", path, 0, kMaxRatePerS);
    if (const json* apiKeys = find(entry, "apiKeys")) {
      if (!apiKeys->is_array()) fail(path, "apiKeys is not a list");
      for (const json& key : *apiKeys) {
        if (!key.is_string() || key.get<std::string>().empty()) fail(path, "a key is not a text");
        if (!keys.insert(key.get<std::string>()).second) fail(path, "a key is held twice");
        tenant.apiKeys.push_back(key.get<std::string>());
      }
    }
    out.tenants.push_back(std::move(tenant));
  }
}

void readLimits(const json& root, RequestLimits& out) {
  const json* limits = find(root, "requestLimits");
  if (!limits) return;
  const std::string path = "requestLimits";
  if (!limits->is_object()) fail(path, "is no object");
  const auto bytes = [&](const char* name, std::size_t defaultValue) {
    return static_cast<std::size_t>(
        readNumber(*limits, name, path, static_cast<double>(defaultValue), kMaxBytes));
  };
  out.headerBytes = bytes("maxHeaderBytes", out.headerBytes);
  out.bodyBytes = bytes("maxBodyBytes", out.bodyBytes);
  out.headerTimeoutMs = readNumber(*limits, "headerTimeoutMs", path, out.headerTimeoutMs, kMaxMs);
  out.idleTimeoutMs = readNumber(*limits, "idleTimeoutMs", path, out.idleTimeoutMs, kMaxMs);
}

// Reads the bytes into a JSON tree, except for the routes: each is read and removed from the tree as soon as
// it is complete. A configuration has many of them, and as JSON they take fifteen times the memory of a
// Route.
class StreamingReader : public json::json_sax_t {
 public:
  explicit StreamingReader(Origin origin) : origin_(origin) {}

  json root;
  std::vector<Route> routes;

  bool null() override { return put(nullptr); }
  bool boolean(bool value) override { return put(value); }
  bool number_integer(number_integer_t value) override { return put(value); }
  bool number_unsigned(number_unsigned_t value) override { return put(value); }
  bool number_float(number_float_t value, const string_t&) override { return put(value); }
  bool string(string_t& value) override { return mayHold(value) && put(std::move(value)); }
  bool binary(binary_t& value) override { return put(json::binary(std::move(value))); }
  bool key(string_t& name) override {
    key_ = std::move(name);
    return mayHold(key_);
  }
  bool start_object(std::size_t) override { return open(json::object()); }
  bool start_array(std::size_t) override { return open(json::array()); }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }
  bool parse_error(std::size_t, const std::string&, const json::exception&) override { return false; }

 private:
  bool mayHold(const std::string& text) const { return origin_ == Origin::inForce || isUtf8(text); }
  json& add(json&& value) {
    if (open_.empty()) return root = std::move(value);
    json& in = *open_.back();
    if (in.is_array()) return in.get_ref<json::array_t&>().emplace_back(std::move(value));
    return in[std::exchange(key_, {})] = std::move(value);
  }
  bool put(json&& value) {
    add(std::move(value));
    return true;
  }
  bool open(json&& value) {
    if (open_.size() >= kMaxDepth) return false;
    const bool isRoutes = open_.size() == 1 && root.is_object() && key_ == "routeRules" && value.is_array();
    open_.push_back(&add(std::move(value)));
    if (isRoutes) {
      routes_ = open_.back();
      routes.clear();  // a repeated field: the last one counts
    }
    return true;
  }
  bool close() {
    const json* ended = open_.back();
    open_.pop_back();
    if (ended == routes_) routes_ = nullptr;
    if (open_.empty() || open_.back() != routes_ || !ended->is_object()) return true;
    routes.push_back(readRoute(*ended));
    open_.back()->get_ref<json::array_t&>().pop_back();
    return true;
  }

  static constexpr std::size_t kMaxDepth = 32;
  const Origin origin_;
  std::vector<json*> open_;  // the unfinished values, from the root inwards
  std::string key_;
  const json* routes_ = nullptr;  // the unfinished list of routes
};

// Routes are selected by host and prefix.
void requireOwnPlaces(const std::vector<Route>& routes, Origin origin) {
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : routes) {
    const std::string host = origin == Origin::request ? normalizedHost(route.host) : route.host;
    if (!places.insert({host, route.prefix}).second)
      fail("route " + route.name, "another route has its host and prefix");
  }
}

// `routes` are those that were removed from `root`.
Configuration readConfiguration(const json& root, std::vector<Route>&& routes, Origin origin) {
  if (!root.is_object()) throw InvalidConfiguration("the body is no configuration");
  Configuration out;
  const json* revision = find(root, "revision");
  if (!revision || !revision->is_number_integer() || revision->get<std::int64_t>() <= 0)
    throw InvalidConfiguration("revision is not a number above 0");
  out.revision = revision->get<std::uint64_t>();
  if (!find(root, "routeRules") || !find(root, "backendServices"))
    throw InvalidConfiguration("routeRules or backendServices is missing");
  std::set<std::string> services;
  for (const json& entry : readList(root, "backendServices", "configuration")) {
    Service service;
    service.name = requireText(entry, "name", "service");
    if (!services.insert(service.name).second) fail("service " + service.name, "two services have this name");
    if (find(entry, "healthCheckPath"))
      service.healthPath = requireText(entry, "healthCheckPath", "service " + service.name);
    service.maxConnections =
        static_cast<unsigned>(readNumber(entry, "maxConnections", "service " + service.name, 0, kMaxCount));
    service.isSharded = readFlag(entry, "sharded", "service " + service.name);
    out.services.push_back(std::move(service));
  }
  readList(root, "routeRules", "configuration");  // fails for entries that are no objects
  for (const Route& route : routes)
    for (const Target& target : route.targets)
      if (!services.contains(target.service)) fail("route " + route.name, "names an unknown service");
  requireOwnPlaces(routes, origin);
  out.routes = std::move(routes);
  readTenants(root, out);
  readLimits(root, out.limits);
  return out;
}

std::variant<Configuration, std::string> parse(std::string_view messagePack, Origin origin) {
  StreamingReader reader(origin);
  try {
    if (!json::sax_parse(messagePack.begin(), messagePack.end(), &reader, json::input_format_t::msgpack))
      return "the body cannot be read whole";
    return readConfiguration(reader.root, std::move(reader.routes), origin);
  } catch (const InvalidConfiguration& error) {
    return std::string(error.what());
  } catch (const json::exception&) {
    return "a field has the wrong type";
  }
}

}  // namespace

std::variant<Configuration, std::string> parseConfiguration(std::string_view messagePack) {
  return parse(messagePack, Origin::request);
}

std::variant<Configuration, std::string> parseAcceptedConfiguration(std::string_view messagePack) {
  return parse(messagePack, Origin::inForce);
}

}  // namespace lilacmux
