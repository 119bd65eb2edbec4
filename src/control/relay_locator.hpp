// Finds the relays for a control process without a disk, which redirects operators to one of them. Follows a
// relay and uses only the list of relays in its responses. A state machine without sockets or a clock.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/follow_messages.hpp"

namespace lilacmux {

class RelayLocator {
 public:
  RelayLocator(std::string name, std::string zone) : name_(std::move(name)), zone_(std::move(zone)) {}

  // Returns the next request to the relay.
  FollowRequest request(ReportScope scope) const;
  // Records a response. Returns whether it contained a list of relays.
  bool apply(const FollowResponse& response);

  // Returns the relays in order of preference; empty until a list has been received.
  const std::vector<RelayEndpoint>& relays() const { return relays_; }

 private:
  const std::string name_;
  const std::string zone_;
  // State received so far; named in requests so that the relay does not send it again.
  ListPosition position_;
  std::uint64_t revision_ = 0;
  std::uint64_t relayListHash_ = 0;
  std::vector<RelayEndpoint> relays_;
};

}  // namespace lilacmux
