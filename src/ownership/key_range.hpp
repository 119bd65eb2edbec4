// Keys of a sharded service, and ranges of them.
#pragma once

#include <algorithm>
#include <cstdint>

namespace lilacmux {

using Key = std::uint32_t;
using Fence = std::uint64_t;  // fencing token; 0: none

constexpr Key kKeyCount = 65536;  // keys are 0 to kKeyCount - 1

// Consecutive keys, both ends included.
struct KeyRange {
  Key first = 0;
  Key last = 0;

  std::uint32_t size() const { return last - first + 1; }
  bool contains(Key key) const { return first <= key && key <= last; }
  bool contains(const KeyRange& other) const { return first <= other.first && other.last <= last; }
  bool overlaps(const KeyRange& other) const { return first <= other.last && other.first <= last; }
  bool operator==(const KeyRange&) const = default;
};

}  // namespace lilacmux
