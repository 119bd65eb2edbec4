// The whole list of servers on its way to followers, packed once for all that need it: writing it anew for
// each takes a control process longer than all else that they ask for.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet/change_log.hpp"

namespace lilacmux {

class SnapshotPacker {
 public:
  static constexpr std::size_t kLeast = 32;  // servers; a shorter list goes as it is
  static constexpr std::size_t kKept = 2;    // lists

  // The list at that position; nothing where it is too short to be worth it.
  std::shared_ptr<const Packed> pack(const ListPosition& at, const std::vector<Instance>& list);

 private:
  std::deque<std::pair<ListPosition, std::shared_ptr<const Packed>>> packed_;  // the newest last
};

// The list. Throws nlohmann::json::exception where it is spoilt.
std::vector<Instance> unpackSnapshot(const Packed& packed);

}  // namespace lilacmux
