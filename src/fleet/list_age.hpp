// How old the platform's list of servers is: a lease must not outlast what a list that was read too long ago
// allows. A state machine without a socket or a clock; times are ms of the reader's steady clock.
#pragma once

#include <algorithm>
#include <optional>

namespace lilacmux {

class ListAge {
 public:
  using Millis = double;
  // Calls without an answer in a row, until a reader that has read no list yet takes the platform for away.
  static constexpr unsigned kAway = 2;

  // A round of pages begins.
  void begin(Millis now) { roundBeganAt_ = now; }
  // A page has come. However late: a reader cannot tell a slow platform from its own full link.
  void answered() { failures_ = 0; }
  // The last page of the round has come: all that was shown when it began is known.
  void complete() { asOf_ = std::max(asOf_.value_or(roundBeganAt_), roundBeganAt_); }
  // A call was not answered. From one failure to the next the platform is away, and that time does not count;
  // what had passed before does, and so does the first failure's, which may be the reader's own.
  void failed(Millis now) {
    if (failures_ > 0 && asOf_) asOf_ = std::min(now, *asOf_ + (now - failedAt_));
    failedAt_ = now;
    if (++failures_ >= kAway && !asOf_) asOf_ = now;
  }

  // Whatever the platform has shown until then is known. Nothing: no list has been read, and the platform has
  // not been seen to be away.
  std::optional<Millis> asOf() const { return asOf_; }

 private:
  Millis roundBeganAt_ = 0;
  unsigned failures_ = 0;  // in a row
  Millis failedAt_ = 0;    // the last of them
  std::optional<Millis> asOf_;
};

}  // namespace lilacmux
