// The members of the core, as control processes report them to each other.
#pragma once

#include <cstdint>
#include <vector>

#include "consensus/epoch_record.hpp"

namespace lilacmux {

// The membership of the core in one epoch. Only a hint about which processes to contact: leases and epochs
// alone decide which of them may act.
struct CoreView {
  std::uint64_t epoch = 0;      // 0: the initial members, or an unknown epoch record
  std::vector<NodeId> members;  // sorted; empty: unknown
};

}  // namespace lilacmux
