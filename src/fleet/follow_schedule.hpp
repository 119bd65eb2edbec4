// When a follower sends its requests: regularly, with all that has changed, and earlier for what is urgent.
// Urgent requests never postpone a regular one, or changes would go unreported where something is always
// urgent. No I/O and no clock; times are ms of the owner's clock.
#pragma once

#include <algorithm>
#include <optional>

#include "quota/share_messages.hpp"

namespace lilacmux {

class FollowSchedule {
 public:
  using Millis = double;
  static constexpr Millis kInterval = 250;  // longer: changes and grants arrive later; shorter: more work
  static constexpr Millis kResponseTimeout = 700;
  static constexpr Millis kRetryDelay = 60;  // after a request that failed
  // At least so long between two requests: of a relay that runs short of tokens; of a gateway where requests
  // wait for tokens, and where a token reserve is low.
  static constexpr Millis kMinRelayGap = 10, kMinPendingGap = 2, kMinLowReserveGap = 25;

  // Records that a request is sent now, and returns what it must report. `known`: the one that is asked knows
  // what this follower holds.
  ReportScope beginRequest(Millis now, bool known) {
    const bool urgent = known && now < regularAt_;
    if (!urgent) regularAt_ = now + kInterval;
    lastRequestAt_ = now;
    if (!known) return ReportScope::full;
    return urgent ? ReportScope::urgent : ReportScope::delta;
  }
  Millis lastRequestAt() const { return lastRequestAt_; }
  // From now until the next regular request is due; from 0 on.
  Millis untilRegular(Millis now) const { return std::max(0.0, regularAt_ - now); }
  // Records that the next request has been planned for that time.
  void planNext(Millis at) { nextAt_ = at; }
  // How long from now the next request may be sent, at least `gap` after the last one. Absent: not earlier
  // than planned.
  std::optional<Millis> advance(Millis now, Millis gap) const {
    const Millis at = std::max(now, lastRequestAt_ + gap);
    return at < nextAt_ ? std::optional(at - now) : std::nullopt;
  }

 private:
  static constexpr Millis kNever = -1e9;

  Millis lastRequestAt_ = kNever;
  Millis nextAt_ = 0;
  Millis regularAt_ = 0;  // all changes are due then, however many urgent requests are sent before
};

}  // namespace lilacmux
