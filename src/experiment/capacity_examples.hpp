// Examples of what the system holds and sends, of any size, for measurements of its cost.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "fleet/change_log.hpp"
#include "quota/share_messages.hpp"

namespace lilacmux {

std::string exampleTenantName(std::size_t tenant);
std::string exampleServiceName(std::size_t service);

// A configuration as operators send it (MessagePack), with the fields of the protocol's example.
std::string exampleConfiguration(std::size_t routes, std::size_t tenants, std::size_t services);

std::vector<Instance> exampleServers(std::size_t servers, std::size_t services);

constexpr unsigned kServersPerPage = 50;
// One full page of the platform's list (MessagePack), of the first of these servers.
std::string examplePage(const std::vector<Instance>& servers);

// Demands of `count` tenants from number `first` on, out of `tenants`, and wrapped around.
std::vector<ShareDemand> exampleDemands(std::size_t first, std::size_t count, std::size_t tenants);

}  // namespace lilacmux
