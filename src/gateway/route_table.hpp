// Matches requests to routes and API keys to tenants, by one version of the configuration. Immutable: a newer
// version gets a table of its own, and requests keep the table that they were matched by.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "settings/configuration.hpp"

namespace lilacmux {

class RouteTable {
 public:
  explicit RouteTable(Configuration configuration);

  std::uint64_t revision() const { return configuration_.revision; }
  const Configuration& configuration() const { return configuration_; }
  // The route of the host with the longest prefix of the path; nullptr: none. The cost depends on the slashes
  // in the path up to the longest prefix, not on the number of routes.
  const Route* find(std::string_view host, std::string_view path) const;
  // The tenant of the API key; nullptr: none.
  const Tenant* tenantOf(std::string_view key) const;
  // Whether requests of the route must bring an API key.
  bool needsKey(const Route& route) const { return configuration_.hasTenants && !route.isPublic; }
  // Whether each key of the service is served by the one server that holds it.
  bool isSharded(const std::string& service) const { return shardedServices_.contains(service); }
  // One of the services that the route is split over, by weight; `draw` from 0 to below 1.
  static const std::string& pickService(const Route& route, double draw);

 private:
  struct Hash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): the name the library looks for
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
  };
  template <class T>
  using ByText = std::unordered_map<std::string, T, Hash, std::equal_to<>>;

  const Configuration configuration_;
  ByText<const Route*> routes_;    // by host and prefix, which begins and ends with a slash
  std::size_t longestPrefix_ = 0;  // bytes
  ByText<const Tenant*> keys_;
  std::unordered_set<std::string> shardedServices_;
};

}  // namespace lilacmux
