// The state that a control node persists: its vote, the newest epoch record that it has accepted, and the
// replicated state.
#pragma once

#include <cstdint>

#include "consensus/epoch_record.hpp"
#include "consensus/replicated_state.hpp"

namespace lilacmux {

// Must be on disk before any message that depends on it is sent.
struct DurableState {
  // The newest epoch that this node has voted for or accepted a record of; messages of older epochs are
  // rejected.
  std::uint64_t votedEpoch = 0;
  NodeId votedFor;
  EpochRecord record;           // the newest accepted record
  std::uint64_t dataEpoch = 0;  // the epoch for which `state` is complete
  // After a disk loss: this node may have stored state under records up to this epoch and lost it. 0: no disk
  // was lost.
  std::uint64_t lostEpoch = 0;
  // The newest epoch known to be established. May lag behind, since it is written only together with other
  // changes.
  std::uint64_t establishedEpoch = 0;
  ReplicatedState state;
};

}  // namespace lilacmux
