// Ring buffers of time slots that record a tenant's recent use, for comparison with metered readings.
#pragma once

#include <array>
#include <cstddef>

namespace lilacmux::decision {

// Slots per metered period. With fewer, groups of slots don't match the meter's periods.
constexpr int kPeriodSlots = 8;
// Slots per ring: eight metered periods.
constexpr int kSlots = 64;

// One value per slot; slot n is stored at slotIndex(n).
using MeterSlots = std::array<float, kSlots>;

// Returns the index of a slot in its ring. Slot numbers count from the clock's zero and may be negative.
inline std::size_t slotIndex(long slot) {
  return static_cast<std::size_t>((slot % kSlots + kSlots) % kSlots);
}

// Returns the sum over the metered period that ends before slot `end`.
inline double sumOverPeriod(const MeterSlots& slots, long end) {
  double sum = 0;
  for (long i = end - kPeriodSlots; i < end; ++i) sum += slots[slotIndex(i)];
  return sum;
}

}  // namespace lilacmux::decision
