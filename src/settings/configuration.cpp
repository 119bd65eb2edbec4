#include "settings/configuration.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace lilacmux {
namespace {

using nlohmann::json;

constexpr double kMostMs = 24 * 3600 * 1000.0;
constexpr double kMostRate = 1e9;

struct Invalid : std::runtime_error {
  using std::runtime_error::runtime_error;
};

[[noreturn]] void invalid(const std::string& where, const char* what) { throw Invalid(where + ": " + what); }

const json* field(const json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::string text(const json& object, const char* name, const std::string& where) {
  const json* value = field(object, name);
  if (!value || !value->is_string()) invalid(where, (std::string(name) + " is not a text").c_str());
  return value->get<std::string>();
}

double number(const json& object, const char* name, const std::string& where, double otherwise, double most) {
  const json* value = field(object, name);
  if (!value) return otherwise;
  if (!value->is_number()) invalid(where, (std::string(name) + " is not a number").c_str());
  const double out = value->get<double>();
  if (!std::isfinite(out) || out < 0 || out > most)
    invalid(where, (std::string(name) + " is out of range").c_str());
  return out;
}

const json& list(const json& object, const char* name, const std::string& where) {
  static const json none = json::array();
  const json* value = field(object, name);
  if (!value) return none;
  if (!value->is_array()) invalid(where, (std::string(name) + " is not a list").c_str());
  for (const json& entry : *value)
    if (!entry.is_object()) invalid(where, (std::string(name) + " holds what is no object").c_str());
  return *value;
}

RouteType typeOf(const std::string& name, const std::string& where) {
  if (name == "idempotent") return RouteType::idempotent;
  if (name == "non_idempotent") return RouteType::nonIdempotent;
  if (name == "download") return RouteType::download;
  invalid(where, "unknown routeType");
}

std::vector<Target> targetsOf(const json& entry, const std::string& where) {
  std::vector<Target> out;
  if (field(entry, "trafficSplit")) {
    double sum = 0;
    for (const json& part : list(entry, "trafficSplit", where)) {
      Target target{text(part, "targetService", where),
                    static_cast<unsigned>(std::lround(number(part, "weight", where, 0, 1e6)))};
      sum += target.weight;
      out.push_back(std::move(target));
    }
    if (sum <= 0) invalid(where, "the weights sum to 0");
    return out;
  }
  out.push_back({text(entry, "targetService", where), 1});
  return out;
}

Route routeOf(const json& entry) {
  Route out;
  const json* name = field(entry, "name");
  out.name = name && name->is_string() ? name->get<std::string>() : "?";
  const std::string where = "route " + out.name;
  out.host = text(entry, "hostname", where);
  out.prefix = text(entry, "pathPrefix", where);
  if (out.host.empty()) invalid(where, "hostname is empty");
  if (out.prefix.empty() || out.prefix.front() != '/' || out.prefix.back() != '/')
    invalid(where, "pathPrefix does not start and end with a slash");
  out.type = typeOf(text(entry, "routeType", where), where);
  out.timeoutMs = number(entry, "timeoutMs", where, 0, kMostMs);
  if (out.timeoutMs <= 0) invalid(where, "timeoutMs is 0");
  out.aimMs = number(entry, "targetLatencyMs", where, out.timeoutMs, kMostMs);
  out.priority = static_cast<unsigned>(number(entry, "priority", where, 0, 1e6));
  out.maxAttempts = static_cast<unsigned>(std::max(1.0, number(entry, "maxAttempts", where, 1, 1e6)));
  if (const json* open = field(entry, "public")) {
    if (!open->is_boolean()) invalid(where, "public is neither true nor false");
    out.open = open->get<bool>();
  }
  out.targets = targetsOf(entry, where);
  return out;
}

void readTenants(const json& root, Configuration& out) {
  out.hasTenants = field(root, "tenants") != nullptr;
  std::set<std::string> keys, names;
  for (const json& entry : list(root, "tenants", "configuration")) {
    Tenant tenant;
    tenant.name = text(entry, "name", "tenant");
    const std::string where = "tenant " + tenant.name;
    if (!names.insert(tenant.name).second) invalid(where, "two tenants have this name");
    tenant.priority = static_cast<unsigned>(number(entry, "priority", where, 0, 1e6));
    tenant.ratePerS = number(entry, "ratePerS", where, 0, kMostRate);
    tenant.burst = number(entry, "burstSize", where, 0, kMostRate);
    if (const json* held = field(entry, "apiKeys")) {
      if (!held->is_array()) invalid(where, "apiKeys is not a list");
      for (const json& key : *held) {
        if (!key.is_string() || key.get<std::string>().empty()) invalid(where, "a key is not a text");
        if (!keys.insert(key.get<std::string>()).second) invalid(where, "a key is held twice");
        tenant.keys.push_back(key.get<std::string>());
      }
    }
    out.tenants.push_back(std::move(tenant));
  }
}

void readLimits(const json& root, RequestLimits& out) {
  const json* limits = field(root, "requestLimits");
  if (!limits) return;
  const std::string where = "requestLimits";
  if (!limits->is_object()) invalid(where, "is no object");
  const auto bytes = [&](const char* name, std::size_t otherwise) {
    return static_cast<std::size_t>(number(*limits, name, where, static_cast<double>(otherwise), 1e12));
  };
  out.headerBytes = bytes("maxHeaderBytes", out.headerBytes);
  out.bodyBytes = bytes("maxBodyBytes", out.bodyBytes);
  out.headerTimeoutMs = number(*limits, "headerTimeoutMs", where, out.headerTimeoutMs, kMostMs);
  out.idleTimeoutMs = number(*limits, "idleTimeoutMs", where, out.idleTimeoutMs, kMostMs);
}

Configuration read(const json& root) {
  if (!root.is_object()) throw Invalid("the body is no configuration");
  Configuration out;
  const json* revision = field(root, "revision");
  if (!revision || !revision->is_number_integer() || revision->get<std::int64_t>() <= 0)
    throw Invalid("revision is not a number above 0");
  out.revision = revision->get<std::uint64_t>();
  if (!field(root, "routeRules") || !field(root, "backendServices"))
    throw Invalid("routeRules or backendServices is missing");
  std::set<std::string> services;
  for (const json& entry : list(root, "backendServices", "configuration")) {
    Service service;
    service.name = text(entry, "name", "service");
    if (!services.insert(service.name).second)
      invalid("service " + service.name, "two services have this name");
    if (field(entry, "healthCheckPath"))
      service.healthPath = text(entry, "healthCheckPath", "service " + service.name);
    service.maxConnections =
        static_cast<unsigned>(number(entry, "maxConnections", "service " + service.name, 0, 1e6));
    out.services.push_back(std::move(service));
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const json& entry : list(root, "routeRules", "configuration")) {
    Route route = routeOf(entry);
    for (const Target& target : route.targets)
      if (!services.contains(target.service)) invalid("route " + route.name, "names an unknown service");
    if (!places.insert({route.host, route.prefix}).second)
      invalid("route " + route.name, "another route has its host and prefix");
    out.routes.push_back(std::move(route));
  }
  readTenants(root, out);
  readLimits(root, out.limits);
  return out;
}

}  // namespace

std::variant<Configuration, std::string> parseConfiguration(std::string_view messagePack) {
  const json root = json::from_msgpack(messagePack.begin(), messagePack.end(), true, false);
  if (root.is_discarded()) return "the body cannot be read whole";
  try {
    return read(root);
  } catch (const Invalid& why) {
    return std::string(why.what());
  } catch (const json::exception&) {
    return "a field has the wrong type";
  }
}

}  // namespace lilacmux
