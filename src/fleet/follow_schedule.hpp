// Schedules the requests of a follower. Regular requests report all changes; urgent requests are sent earlier
// and report only urgent ones. An urgent request never postpones the regular one; otherwise a follower that
// always has urgent demands would never report its other changes. No I/O and no clock; times are in ms of the
// owner's clock.
#pragma once

#include <algorithm>
#include <optional>

#include "quota/share_messages.hpp"

namespace lilacmux {

class FollowSchedule {
 public:
  using Millis = double;
  // Time between regular requests. Bounds the delay of changes and grants; a shorter one costs more work.
  static constexpr Millis kInterval = 250;
  static constexpr Millis kResponseTimeout = 700;
  static constexpr Millis kRetryDelay = 60;  // after a request that failed
  // Minimum time between two requests: of a relay that needs tokens; of a gateway with requests that wait for
  // tokens; of a gateway with a low token reserve.
  static constexpr Millis kMinRelayGap = 10, kMinPendingGap = 2, kMinLowReserveGap = 25;

  // Records that a request is being sent, and returns the scope of its report. `isKnownToPeer`: whether the
  // peer has a record of this follower's holdings.
  ReportScope beginRequest(Millis now, bool isKnownToPeer) {
    const bool isUrgent = isKnownToPeer && now < regularAt_;
    if (!isUrgent) regularAt_ = now + kInterval;
    lastRequestAt_ = now;
    if (!isKnownToPeer) return ReportScope::full;
    return isUrgent ? ReportScope::urgent : ReportScope::delta;
  }
  Millis lastRequestAt() const { return lastRequestAt_; }
  // Returns the time until the next regular request is due; at least 0.
  Millis untilRegular(Millis now) const { return std::max(0.0, regularAt_ - now); }
  // Records the time for which the next request is scheduled.
  void planNext(Millis requestAt) { nextAt_ = requestAt; }
  // Returns the time from now until the next request may be sent, at least `gap` after the last one. Returns
  // nothing if that is not earlier than the scheduled time.
  std::optional<Millis> advance(Millis now, Millis gap) const {
    const Millis earliest = std::max(now, lastRequestAt_ + gap);
    return earliest < nextAt_ ? std::optional(earliest - now) : std::nullopt;
  }

 private:
  static constexpr Millis kNever = -1e9;

  Millis lastRequestAt_ = kNever;
  Millis nextAt_ = 0;
  Millis regularAt_ = 0;  // when the next regular request is due; not affected by urgent requests
};

}  // namespace lilacmux
