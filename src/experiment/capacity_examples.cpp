#include "experiment/capacity_examples.hpp"

#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

namespace lilacmux {
namespace {

using nlohmann::json;

constexpr unsigned kSplitEvery = 10;  // one route in so many is split between two services
constexpr unsigned kRoutesPerHost = 8;
constexpr unsigned kZones = 10;

// `length` letters and digits that differ for each number.
std::string code(std::size_t number, std::size_t length) {
  static constexpr char kDigits[] = "0123456789abcdefghijklmnopqrstuvwxyz";
  std::string out(length, '0');
  for (auto digit = out.rbegin(); digit != out.rend(); ++digit, number /= 36) *digit = kDigits[number % 36];
  return out;
}

json exampleRoute(std::size_t r, std::size_t services) {
  json out = {{"name", "r-" + code(r, 7)},
              {"hostname", code(r / kRoutesPerHost, 5) + ".example"},
              {"pathPrefix", "/" + code(r, 7) + "/"},
              {"routeType", r % 3 == 0 ? "non_idempotent" : "idempotent"},
              {"timeoutMs", 1000},
              {"targetLatencyMs", 400},
              {"priority", r % 4},
              {"maxAttempts", 2},
              {"public", false}};
  const std::string service = exampleServiceName(r % services);
  if (r % kSplitEvery != 0)
    out["targetService"] = service;
  else
    out["trafficSplit"] = {{{"targetService", service}, {"weight", 90}},
                           {{"targetService", exampleServiceName((r + 1) % services)}, {"weight", 10}}};
  return out;
}

json exampleService(std::size_t s) {
  return {{"name", exampleServiceName(s)},
          {"healthCheckPath", "/health"},
          {"maxConnections", 150},
          {"protocol", "h1"},
          {"tlsEnabled", false}};
}

json exampleTenant(std::size_t t) {
  return {{"name", exampleTenantName(t)},
          {"apiKeys", {code(2 * t, 20), code(2 * t + 1, 20)}},
          {"priority", t % 4},
          {"ratePerS", 119},
          {"burstSize", 119}};
}

// MessagePack of a list whose entries are made one after the other, so that no tree of them all is needed.
void appendList(std::string& out, const char* name, std::size_t count,
                const std::function<json(std::size_t)>& entry) {
  constexpr char kArray32 = static_cast<char>(0xdd);
  json::to_msgpack(json(name), out);
  out += kArray32;
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(count >> shift & 0xff);
  for (std::size_t i = 0; i < count; ++i) json::to_msgpack(entry(i), out);
}

}  // namespace

std::string exampleTenantName(std::size_t t) { return code(t, 7); }
std::string exampleServiceName(std::size_t s) { return code(s, 7); }

std::string exampleConfiguration(std::size_t routes, std::size_t tenants, std::size_t services) {
  constexpr char kMapOfFive = static_cast<char>(0x85);
  std::string out(1, kMapOfFive);
  json::to_msgpack(json("revision"), out);
  json::to_msgpack(json(7), out);
  appendList(out, "routeRules", routes, [&](std::size_t r) { return exampleRoute(r, services); });
  appendList(out, "backendServices", services, exampleService);
  json::to_msgpack(json("requestLimits"), out);
  json::to_msgpack(json{{"maxHeaderBytes", 16384},
                        {"maxBodyBytes", 67108864},
                        {"headerTimeoutMs", 3000},
                        {"idleTimeoutMs", 15000}},
                   out);
  appendList(out, "tenants", tenants, exampleTenant);
  return out;
}

std::vector<Instance> exampleServers(std::size_t servers, std::size_t services) {
  std::vector<Instance> out;
  for (std::size_t s = 0; s < servers; ++s) {
    Instance instance;
    instance.id = "i-" + code(s, 8);
    instance.service = exampleServiceName(s % services);
    instance.address = "10." + std::to_string(128 + s / 65536) + "." + std::to_string(s / 256 % 256) + "." +
                       std::to_string(s % 256) + ":8080";
    instance.zone = "zona-" + std::to_string(s % kZones);
    instance.capacity = 2;
    out.push_back(std::move(instance));
  }
  return out;
}

std::string examplePage(const std::vector<Instance>& servers) {
  json entries = json::array();
  for (std::size_t s = 0; s < kServersPerPage && s < servers.size(); ++s)
    entries.push_back({{"targetService", servers[s].service},
                       {"address", servers[s].address},
                       {"zone", servers[s].zone},
                       {"revision", "v1"},
                       {"capacity", servers[s].capacity},
                       {"state", "available"},
                       {"warmupRemainingMs", 0},
                       {"instanceId", servers[s].id}});
  std::string out;
  json::to_msgpack({{"instances", entries}, {"nextPageToken", "p-50"}}, out);
  return out;
}

std::vector<ShareDemand> exampleDemands(std::size_t first, std::size_t count, std::size_t tenants) {
  std::vector<ShareDemand> out;
  for (std::size_t t = 0; t < count && t < tenants; ++t) {
    ShareDemand demand;
    demand.tenant = exampleTenantName((first + t) % tenants);
    demand.requestRate = 3.125;
    demand.reserve = 2;
    demand.grantedRate = 1.234;
    demand.grantNumber = (1ULL << 32) + first;
    demand.requestedTokens = 3;
    out.push_back(demand);
  }
  return out;
}

}  // namespace lilacmux
