#include "control/relay_locator.hpp"

namespace lilacmux {

FollowRequest RelayLocator::request(ReportScope scope) const {
  FollowRequest out;
  out.name = name_;
  out.zone = zone_;
  out.full = scope == ReportScope::full;
  out.position = position_;
  out.acceptsPacked = true;
  out.revision = revision_;
  out.relayListHash = out.full ? 0 : relayListHash_;
  return out;
}

bool RelayLocator::apply(const FollowResponse& response) {
  if (response.delta.hasServerList) position_ = {response.epoch, response.delta.index};
  revision_ = response.delta.revision;
  if (response.relays.empty()) return false;
  relayListHash_ = response.relayListHash;
  relays_ = response.relays;
  return true;
}

}  // namespace lilacmux
