#include "gateway/route_table.hpp"

#include <algorithm>

#include "settings/host_name.hpp"

namespace lilacmux {

RouteTable::RouteTable(Configuration configuration) : configuration_(std::move(configuration)) {
  for (const Route& route : configuration_.routes) {
    routes_.try_emplace(normalizedHost(route.host) + route.prefix, &route);
    longestPrefix_ = std::max(longestPrefix_, route.prefix.size());
  }
  for (const Service& service : configuration_.services)
    if (service.isSharded) shardedServices_.insert(service.name);
  for (const Tenant& tenant : configuration_.tenants)
    for (const std::string& key : tenant.apiKeys) keys_[key] = &tenant;
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const {
  if (host.empty()) return nullptr;
  std::string key = normalizedHost(host);
  if (key.find('/') != std::string::npos) return nullptr;  // it would stand for a part of the path
  const std::size_t ahead = key.size();
  key.append(path.substr(0, longestPrefix_));
  for (auto slash = key.rfind('/'); slash != std::string::npos && slash >= ahead; slash = key.rfind('/')) {
    key.resize(slash + 1);
    if (const auto found = routes_.find(key); found != routes_.end()) return found->second;
    key.pop_back();
  }
  return nullptr;
}

const Tenant* RouteTable::tenantOf(std::string_view key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : found->second;
}

const std::string& RouteTable::pickService(const Route& route, double draw) {
  double sum = 0;
  for (const Target& target : route.targets) sum += target.weight;
  double left = draw * sum;
  for (const Target& target : route.targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return route.targets.back().service;
}

}  // namespace lilacmux
