// How old the platform's list of servers is: a lease must not outlast what a list that was read too long ago
// allows. A state machine without a socket or a clock; times are ms of the reader's steady clock.
#pragma once

#include <algorithm>
#include <optional>

namespace lilacmux {

class ListAge {
 public:
  using Millis = double;
  static constexpr Millis kOrdinaryAnswer = 200;  // longer: the platform is slow
  // Calls without an answer in a row, until a reader that has read no list yet takes the platform for away.
  static constexpr unsigned kAway = 2;

  // A round of pages begins.
  void begin(Millis now) { roundBeganAt_ = now; }
  // A page has come that was asked for at `askedAt`. Nobody is late for the time that the platform was slow.
  void answered(Millis askedAt, Millis now) {
    failures_ = 0;
    pause(std::max(0.0, now - askedAt - kOrdinaryAnswer), now);
  }
  // The last page of the round has come: all that was shown when it began is known.
  void complete() { asOf_ = std::max(asOf_.value_or(roundBeganAt_), roundBeganAt_); }
  // No answer to what was asked for at `askedAt`. The time during which the platform is away does not count,
  // what had passed before does.
  void failed(Millis askedAt, Millis now) {
    pause(now - (failures_ > 0 ? failedAt_ : askedAt), now);
    failedAt_ = now;
    if (++failures_ >= kAway && !asOf_) asOf_ = now;
  }

  // Whatever the platform has shown until then is known. Nothing: no list has been read, and the platform has
  // not been seen to be away.
  std::optional<Millis> asOf() const { return asOf_; }

 private:
  void pause(Millis span, Millis now) {
    roundBeganAt_ = std::min(now, roundBeganAt_ + span);
    if (asOf_) asOf_ = std::min(now, *asOf_ + span);
  }

  Millis roundBeganAt_ = 0;
  unsigned failures_ = 0;  // in a row
  Millis failedAt_ = 0;    // the last of them
  std::optional<Millis> asOf_;
};

}  // namespace lilacmux
