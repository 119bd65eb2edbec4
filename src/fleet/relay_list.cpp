#include "fleet/relay_list.hpp"

#include <xxhash.h>

#include <algorithm>

namespace lilacmux {
namespace {

std::uint64_t weight(const std::string& gateway, const std::string& relay) {
  return XXH3_64bits_withSeed(relay.data(), relay.size(), XXH3_64bits(gateway.data(), gateway.size()));
}

}  // namespace

std::vector<RelayEndpoint> rankRelays(const std::string& gateway, const std::string& zone,
                                      std::vector<RelayEndpoint> relays, std::size_t limit) {
  std::sort(relays.begin(), relays.end(), [&](const RelayEndpoint& a, const RelayEndpoint& b) {
    if ((a.zone == zone) != (b.zone == zone)) return a.zone == zone;
    return weight(gateway, a.address) > weight(gateway, b.address);
  });
  if (relays.size() > limit) relays.resize(limit);
  return relays;
}

std::uint64_t hashRelayList(std::vector<RelayEndpoint> relays) {
  std::sort(relays.begin(), relays.end(), [](const auto& a, const auto& b) { return a.address < b.address; });
  std::string text;
  for (const RelayEndpoint& relay : relays)
    text.append(relay.address).append(" ").append(relay.zone).append("\n");
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace lilacmux
