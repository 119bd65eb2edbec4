#include "settings/settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace lilacmux {
namespace {

using nlohmann::json;

constexpr double kMaxCount = 1e9;
constexpr unsigned kMinMemoryMb = 16;
constexpr unsigned kMinFileDescriptors = 300;
constexpr double kMinGlobalRevocationMs = 1000;
constexpr unsigned kMaxPort = 65535;

[[noreturn]] void fail(const std::string& path, const std::string& problem) {
  throw SettingsError(path, problem);
}

// Null if the setting is absent or null.
const json* find(const json& object, const std::string& name) {
  const auto found = object.find(name);
  return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::string requireText(const json& object, const std::string& name) {
  const json* value = find(object, name);
  if (!value) fail(name, "is missing");
  if (!value->is_string() || value->get<std::string>().empty()) fail(name, "is not a text");
  return value->get<std::string>();
}

// The following keep `out` as it is if the setting is absent.
void readNumber(const json& object, const std::string& name, double& out) {
  const json* value = find(object, name);
  if (!value) return;
  if (!value->is_number()) fail(name, "is not a number");
  const double number = value->get<double>();
  if (!std::isfinite(number) || number < 0) fail(name, "is out of range");
  out = number;
}

void readFlag(const json& object, const std::string& name, bool& out) {
  const json* value = find(object, name);
  if (!value) return;
  if (!value->is_boolean()) fail(name, "is neither true nor false");
  out = value->get<bool>();
}

void readCount(const json& object, const std::string& name, unsigned min, unsigned& out) {
  double number = out;
  readNumber(object, name, number);
  if (number < min || number > kMaxCount) fail(name, "is out of range");
  out = static_cast<unsigned>(number);
}

// An empty object if the section is absent.
const json& findSection(const json& root, const std::string& name) {
  static const json empty = json::object();
  const json* value = find(root, name);
  if (!value) return empty;
  if (!value->is_object()) fail(name, "is not an object");
  return *value;
}

std::optional<Endpoint> readEndpoint(const json& section, const std::string& sectionName,
                                     const std::string& name) {
  if (!find(section, name)) return std::nullopt;
  return parseAddress(requireText(section, name), sectionName + "." + name);
}

void readPorts(const json& root, NodeSettings& out) {
  constexpr const char* kName = "internalPortRange";
  const json* range = find(root, kName);
  if (!range) fail(kName, "is missing");
  if (!range->is_array() || range->size() != 2 || !(*range)[0].is_number_unsigned() ||
      !(*range)[1].is_number_unsigned())
    fail(kName, "is not a pair of ports");
  const auto first = (*range)[0].get<std::uint64_t>();
  const auto last = (*range)[1].get<std::uint64_t>();
  if (first == 0 || last > kMaxPort || first >= last) fail(kName, "holds less than two ports");
  out.firstPort = static_cast<unsigned short>(first);
  out.lastPort = static_cast<unsigned short>(last);
}

void readListeners(const json& root, NodeSettings& out) {
  const json& listeners = findSection(root, "listeners");
  out.frontend = readEndpoint(listeners, "listeners", "frontend");
  out.readiness = readEndpoint(listeners, "listeners", "readiness");
  out.controlPlane = readEndpoint(listeners, "listeners", "controlPlane");
  if (out.frontend && !out.readiness) fail("listeners.readiness", "is missing where there is a frontend");
  if (out.frontend && out.readiness && *out.frontend == *out.readiness)
    fail("listeners.readiness", "is the same as the frontend");
}

void readSeeds(const json& root, NodeSettings& out) {
  constexpr const char* kName = "seedNodes";
  const json* seeds = find(root, kName);
  if (!seeds) return;
  if (!seeds->is_array()) fail(kName, "is not a list");
  for (const json& seed : *seeds) {
    if (!seed.is_string()) fail(kName, "holds what is no text");
    out.seeds.push_back(parseAddress(seed.get<std::string>(), kName));
  }
}

void readLimits(const json& root, NodeSettings& out) {
  const json& limits = findSection(root, "requestLimits");
  readCount(limits, "memoryMb", kMinMemoryMb, out.memoryMb);
  readCount(limits, "maxFileDescriptors", kMinFileDescriptors, out.maxFileDescriptors);
  readNumber(limits, "networkMbps", out.networkMbps);
}

void readBounds(const json& root, ServiceBounds& out) {
  const json& bounds = findSection(root, "bounds");
  readNumber(bounds, "drainTimeoutMs", out.drainTimeoutMs);
  readNumber(bounds, "gracePeriodS", out.gracePeriodS);
  readNumber(bounds, "ackTimeoutMs", out.ackTimeoutMs);
  readFlag(bounds, "revocationGlobal", out.revocationGlobal);
  readNumber(bounds, "revocationMs", out.revocationMs);
  readNumber(bounds, "quotaWindowS", out.quotaWindowS);
  readNumber(bounds, "quotaOverage", out.quotaOverage);
  readNumber(bounds, "quotaSlack", out.quotaSlack);
  readNumber(bounds, "retryBudgetRatio", out.retryBudgetRatio);
  readNumber(bounds, "retryBudgetSlack", out.retryBudgetSlack);
  readNumber(bounds, "maxHoldMs", out.maxHoldMs);
  if (out.maxHoldMs <= 0) fail("maxHoldMs", "is 0");
  if (out.quotaWindowS <= 0) fail("quotaWindowS", "is 0");
  if (out.revocationGlobal && out.revocationMs < kMinGlobalRevocationMs)
    fail("revocationMs", "is under a second");
}

void readPlatform(const json& root, NodeSettings& out) {
  const json& platform = findSection(root, "platformApi");
  out.platform = readEndpoint(platform, "platformApi", "address");
  readNumber(platform, "ratePerS", out.platformRatePerS);
}

}  // namespace

Endpoint parseAddress(std::string_view hostPort, const std::string& path) {
  constexpr const char* kProblem = "is no address of the form ip:port";
  const auto colon = hostPort.rfind(':');
  if (colon == std::string_view::npos) fail(path, kProblem);
  const auto digits = hostPort.substr(colon + 1);
  const char* const digitsEnd = digits.data() + digits.size();
  unsigned port = 0;
  const auto [parsedEnd, portError] = std::from_chars(digits.data(), digitsEnd, port);
  boost::system::error_code addressError;
  const auto address = boost::asio::ip::make_address(std::string(hostPort.substr(0, colon)), addressError);
  if (addressError || portError != std::errc() || parsedEnd != digitsEnd || port > kMaxPort)
    fail(path, kProblem);
  return {address, static_cast<unsigned short>(port)};
}

std::vector<Endpoint> controlSeeds(const NodeSettings& settings) {
  std::vector<Endpoint> out;
  out.reserve(settings.seeds.size());
  for (const Endpoint& seed : settings.seeds) out.emplace_back(seed.address(), controlPort(settings));
  return out;
}

std::string seedsText(const NodeSettings& settings) {
  std::string out = "seeds:";
  for (const Endpoint& seed : settings.seeds) out.append(" ").append(textOf(seed));
  return out;
}

std::string textOf(const Endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// The names of the settings are the operators': they must not change. Errors name the first invalid setting
// in this order.
NodeSettings parseSettings(std::string_view text) {
  const json root = json::parse(text.begin(), text.end(), nullptr, false);
  if (root.is_discarded()) fail("settings", "are no JSON");
  if (!root.is_object()) fail("settings", "are no object");
  NodeSettings out;
  out.name = requireText(root, "nodeName");
  out.address = requireText(root, "ipAddress");
  parseAddress(out.address + ":1", "ipAddress");
  out.zone = requireText(root, "zone");
  readListeners(root, out);
  readPorts(root, out);
  readSeeds(root, out);
  readFlag(root, "bootstrap", out.bootstrap);
  readLimits(root, out);
  if (find(root, "dataDirectory")) out.dataDirectory = requireText(root, "dataDirectory");
  readBounds(root, out.bounds);
  readCount(findSection(root, "faultTolerance"), "machineFailures", 0, out.machineFailures);
  out.machineFailures = std::max(1U, out.machineFailures);
  readPlatform(root, out);
  return out;
}

NodeSettings readSettings(const std::filesystem::path& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) fail("settings file " + file.string(), "cannot be read");
  std::ostringstream content;
  content << in.rdbuf();
  return parseSettings(content.str());
}

}  // namespace lilacmux
