// Bulk pacing: all that a control process sends to its followers goes over one link. Complete
// server lists and configurations for all followers at once would queue there ahead of heartbeats and leases
// for longer than those last. So a large part is sent only when the link's queue is short; until then it is
// left out of the response, and the follower asks again. No I/O and no clock; times are ms.
#pragma once

#include <cstddef>

#include "fleet/follow_messages.hpp"
#include "net/link_pace.hpp"

namespace lilacmux {

class BulkPacer {
 public:
  using Millis = double;
  static constexpr std::size_t kMinBulkBytes = std::size_t{16} << 10;  // from which on a response waits
  static constexpr Millis kMaxQueueMs = 40;  // ms of the link's time that may be queued ahead of bulk
  static constexpr std::size_t kEstimatedServerBytes = 120;  // about, of a server in a response

  // `mbitPerS`: speed of the machine's link; 0: not known, and nothing waits.
  explicit BulkPacer(double mbitPerS) : link_(mbitPerS) {}

  // Removes from the response to `request` what must wait. The response then renews no lease for that.
  void pace(Millis now, const FollowRequest& request, FollowResponse& response);

 private:
  LinkPace link_;
};

}  // namespace lilacmux
