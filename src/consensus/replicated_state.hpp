// The state that the primary of the control plane replicates to the backups.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "consensus/accepted_changes.hpp"

namespace lilacmux {

// The newest configuration, the history of accepted changes, the holders of quota grants, and the ownership
// table.
struct ReplicatedState {
  std::uint64_t sequence = 0;  // number of the newest change, counted across epochs
  std::uint64_t revision = 0;
  std::shared_ptr<const std::string> body;       // the configuration exactly as the operator sent it
  AcceptedChanges accepted;                      // including the current change
  std::set<std::string> grantHolders;            // relays and gatekeepers that may hold quota grants
  std::shared_ptr<const std::string> ownership;  // the encoded OwnershipTable; null: none yet
};

}  // namespace lilacmux
