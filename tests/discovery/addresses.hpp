// Addresses for the discovery tests.
#pragma once

#include <string>

#include "consensus/epoch_record.hpp"
#include "settings/settings.hpp"

namespace lilacmux::test {

// Returns 10.0.0.n:7560.
inline Endpoint endpoint(unsigned n) { return parseAddress("10.0.0." + std::to_string(n) + ":7560", "test"); }
inline NodeId nodeId(unsigned n) { return textOf(endpoint(n)); }

}  // namespace lilacmux::test
