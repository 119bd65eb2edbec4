// Descriptors of a process that carry neither clients nor attempts.
#pragma once

#include <cstddef>

#include "gatekeeper/management.hpp"

namespace lilacmux {

constexpr unsigned kSparedSockets = 24;  // descriptors for the listener, discovery, timers, standard streams
constexpr std::size_t kManagementSockets = ManagementServer::Limits{}.connections + 1;  // kept back

}  // namespace lilacmux
