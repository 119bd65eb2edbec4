// One direction of a machine's link, as a queue that drains at the link's speed: all that passes goes into
// it, and what is large waits until it is short, so that what is small finds room. Without that a download
// fills the link's own queue, and everything behind it, a request or a token, stands there for as long as
// the whole download takes. A state machine without a clock; times are ms.
#pragma once

#include <algorithm>
#include <cstddef>

namespace lilacmux {

class LinkPace {
 public:
  using Millis = double;
  static constexpr double kUsed = 0.92;  // of the speed; the rest goes to packets' heads
  static constexpr Millis kQueue = 4;    // ms that may stand in the queue when something large goes in
  static constexpr Millis kStep = 6;     // ms of the link's time that one step of something large takes
  // What a peer sends ahead of its reader, into the system's buffers. It is all on its way at once.
  static constexpr std::size_t kAhead = std::size_t{80} * 1024;

  // `mbitPerS`: of the link; 0: it is not known, and nothing waits.
  explicit LinkPace(double mbitPerS = 0) : bytesPerMs_(mbitPerS * 1e6 / 8 / 1000 * kUsed) {}

  bool known() const { return bytesPerMs_ > 0; }
  // Bytes that one step of something large has at most.
  std::size_t step() const {
    constexpr std::size_t kLeast = std::size_t{2} * 1024, kMost = std::size_t{32} * 1024;
    return known() ? std::clamp(static_cast<std::size_t>(kStep * bytesPerMs_), kLeast, kMost) : kMost;
  }

  void passed(Millis now, std::size_t bytes) {
    if (known()) emptyAt_ = std::max(emptyAt_, now) + static_cast<double>(bytes) / bytesPerMs_;
  }
  // ms that what is put in now stands in the queue.
  Millis queue(Millis now) const { return std::max(0.0, emptyAt_ - now); }
  // Until the next step of something large may go; 0: now.
  Millis wait(Millis now) const { return std::max(0.0, queue(now) - kQueue); }

 private:
  double bytesPerMs_;
  Millis emptyAt_ = -1e18;
};

}  // namespace lilacmux
