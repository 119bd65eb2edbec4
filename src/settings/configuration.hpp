// The operators' configuration: its types, and their reading from MessagePack.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lilacmux {

enum class RouteType { idempotent, nonIdempotent, download };

// A service that gets a share of a route's requests.
struct Target {
  std::string service;
  unsigned weight = 0;  // relative to the other targets of the route
};

// Which requests (by host and path prefix) go to which services.
struct Route {
  std::string name;
  std::string host;    // not empty
  std::string prefix;  // starts and ends with a slash
  RouteType type = RouteType::nonIdempotent;
  double timeoutMs = 0;  // above 0
  double latencyTargetMs = 0;
  unsigned priority = 0;
  unsigned maxAttempts = 1;     // of one request; at least 1
  bool isPublic = false;        // requests need no API key
  std::vector<Target> targets;  // at least one; the weights sum to more than 0
};

struct Service {
  std::string name;
  std::string healthPath;       // empty: no health checks by path
  unsigned maxConnections = 0;  // to one server; 0: not set
  bool isSharded = false;       // each key is served by the one server that holds it
};

struct Tenant {
  std::string name;
  std::vector<std::string> apiKeys;
  unsigned priority = 0;
  double ratePerS = 0;  // 0: no limit
  double burst = 0;     // requests
};

// What a client may send.
struct RequestLimits {
  std::size_t headerBytes = 16UL * 1024;
  std::size_t bodyBytes = 64UL * 1024 * 1024;
  double headerTimeoutMs = 3000;
  double idleTimeoutMs = 15000;
};

struct Configuration {
  std::uint64_t revision = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  RequestLimits limits;
  std::vector<Tenant> tenants;
  bool hasTenants =
      false;  // whether a list of tenants is set, even an empty one; else requests need no API key
};

// The configuration, or one line on what makes it invalid (`route NAME: problem`). It is valid as a whole or
// not at all. Unknown fields are ignored.
std::variant<Configuration, std::string> parseConfiguration(std::string_view messagePack);

// The same for one that is in force. An earlier version, which checked less, may have accepted it: its texts
// may be any bytes, and of two routes whose hosts differ in letter case or port alone the first one counts.
std::variant<Configuration, std::string> parseAcceptedConfiguration(std::string_view messagePack);

}  // namespace lilacmux
