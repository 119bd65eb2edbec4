// Tuning constants shared by several components of the server code.
#pragma once

namespace lilacmux::decision {

// Initial limit of attempts in flight per server, over all gateways. A higher limit overloads servers at the
// start of a gateway.
constexpr double kInitialLimit = 12;

}  // namespace lilacmux::decision
