// Packs complete server lists and caches the result for all followers that need the same list. Encoding the
// list for each follower would take a control process longer than all other work for followers.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

#include "fleet/change_log.hpp"
#include "fleet/packed.hpp"

namespace lilacmux {

class SnapshotPacker {
 public:
  static constexpr std::size_t kMinServers = 32;     // shorter lists are sent unpacked
  static constexpr std::size_t kMaxCachedLists = 2;  // for different positions

  // Returns the packed list at `position`, or null if the list is too short to benefit from packing.
  std::shared_ptr<const Packed> pack(const ListPosition& position, const std::vector<Instance>& list);

 private:
  std::deque<std::pair<ListPosition, std::shared_ptr<const Packed>>> cached_;  // oldest first
};

// Returns the unpacked list. Throws nlohmann::json::exception if it is damaged.
std::vector<Instance> unpackSnapshot(const Packed& packed);

}  // namespace lilacmux
