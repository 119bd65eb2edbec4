// Messages between members of the core.
#pragma once

#include <cstdint>
#include <optional>

#include "consensus/durable_state.hpp"
#include "consensus/millis.hpp"

namespace lilacmux {

// One message of any kind. All kinds carry the sender's record and how much of the state it has.
struct MemberMessage {
  enum class Kind {
    announce,         // a node that hears no primary makes itself known to members and seeds
    heartbeat,        // the primary's, with its record; asks for a lease
    heartbeatAck,     // `granted`: record accepted, lease granted
    prevoteRequest,   // whether the receiver would vote for the sender; changes nothing there
    prevoteResponse,  // `granted`: yes
    voteRequest,      // asks for the vote in the term of `epoch`
    voteResponse,     // `granted`: the vote is on disk
    replicate,        // the state, to a backup
    replicateAck,     // the state is on this backup's disk
    resign,           // the primary shuts down gracefully
  };
  Kind kind = Kind::announce;
  NodeId from;
  std::uint64_t epoch = 0;
  bool granted = false;
  EpochRecord record;
  std::uint64_t dataEpoch = 0, lostEpoch = 0, establishedEpoch = 0;  // as in DurableState
  std::uint64_t sequence = 0;                                        // of the sender's state
  // announce, heartbeat: the sender's clock. heartbeatAck: that of the heartbeat that it answers.
  Millis sentAt = 0;
  // heartbeat: the `sentAt` of the receiver's newest announcement that the sender has had, below any clock if
  // it had none. Nothing: the sender's version does not tell.
  std::optional<Millis> lastAnnouncementSentAt;
  std::optional<ReplicatedState> state;  // replicate
};

}  // namespace lilacmux
