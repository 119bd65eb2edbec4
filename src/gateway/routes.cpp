#include "gateway/routes.hpp"

#include <algorithm>
#include <cctype>

namespace lilacmux {
namespace {

// Names of hosts know no case, and the port is no part of them.
std::string plainHost(std::string_view host) {
  const auto colon = host.find(':');
  if (colon != std::string_view::npos && host.front() != '[') host = host.substr(0, colon);
  std::string out(host);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

}  // namespace

RouteTable::RouteTable(Configuration configuration) : configuration_(std::move(configuration)) {
  for (const Route& route : configuration_.routes) hosts_[plainHost(route.host)].push_back(&route);
  for (auto& [host, routes] : hosts_)
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) { return a->prefix.size() > b->prefix.size(); });
  for (const Tenant& tenant : configuration_.tenants)
    for (const std::string& key : tenant.keys) keys_[key] = &tenant;
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const {
  if (host.empty()) return nullptr;
  const auto found = hosts_.find(plainHost(host));
  if (found == hosts_.end()) return nullptr;
  for (const Route* route : found->second)
    if (path.starts_with(route->prefix)) return route;
  return nullptr;
}

const Tenant* RouteTable::holder(std::string_view key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : found->second;
}

const std::string& RouteTable::pickService(const Route& route, double chance) {
  double sum = 0;
  for (const Target& target : route.targets) sum += target.weight;
  double left = chance * sum;
  for (const Target& target : route.targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return route.targets.back().service;
}

}  // namespace lilacmux
