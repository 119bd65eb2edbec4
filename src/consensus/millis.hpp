// The time type of the consensus core.
#pragma once

namespace lilacmux {

using Millis = double;  // milliseconds of the host's monotonic clock

// Earlier than any time of a clock: the event has not happened.
constexpr Millis kNever = -1e18;

}  // namespace lilacmux
