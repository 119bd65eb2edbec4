// Paces bulk responses on the one network link that a control process shares among all its followers. If
// every follower were sent a complete server list or configuration at once, these would queue on the link
// ahead of heartbeats and lease renewals for longer than a lease lasts. A bulk part is therefore sent only
// while the link's queue is short; otherwise it is omitted from the response, and the follower requests it
// again. No I/O and no clock; times are in ms.
#pragma once

#include <cstddef>

#include "fleet/follow_messages.hpp"
#include "net/link_pace.hpp"

namespace lilacmux {

class BulkPacer {
 public:
  using Millis = double;
  static constexpr std::size_t kMinBulkBytes = std::size_t{16} << 10;  // smaller responses are never delayed
  static constexpr Millis kMaxQueueMs = 40;  // longest link queue behind which a bulk part is still sent
  static constexpr std::size_t kEstimatedServerBytes = 120;  // per server in an unpacked response

  // `mbitPerS`: speed of the machine's link. If 0, the speed is unknown and nothing is delayed.
  explicit BulkPacer(double mbitPerS) : link_(mbitPerS) {}

  // Removes the bulk parts of the response to `request` that have to wait. The response then does not renew
  // the lease that depends on the removed parts.
  void pace(Millis now, const FollowRequest& request, FollowResponse& response);

 private:
  LinkPace link_;
};

}  // namespace lilacmux
