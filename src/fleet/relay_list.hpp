// Functions on the list of relays, which the primary maintains and from which gateways choose.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/follow_messages.hpp"

namespace lilacmux {

// Returns at most `limit` relays in the order in which the gateway is to try them: relays of the gateway's
// zone first, and within a zone ordered by rendezvous hashing, which spreads the gateways evenly over the
// relays.
std::vector<RelayEndpoint> rankRelays(const std::string& gateway, const std::string& zone,
                                      std::vector<RelayEndpoint> relays, std::size_t limit);

// Returns a hash of the list that does not depend on the order of the relays.
std::uint64_t hashRelayList(std::vector<RelayEndpoint> relays);

}  // namespace lilacmux
