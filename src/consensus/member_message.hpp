// Messages between the control nodes that run the consensus core.
#pragma once

#include <cstdint>
#include <optional>

#include "consensus/durable_state.hpp"
#include "consensus/millis.hpp"

namespace lilacmux {

// A message of any kind. Every kind carries the sender's epoch record and describes which state it has.
struct MemberMessage {
  enum class Kind {
    announce,         // sent to members and seeds by a node that knows of no primary, and by observers
    heartbeat,        // sent by the primary with its record; requests a lease
    heartbeatAck,     // `granted`: the record is accepted and the lease granted
    prevoteRequest,   // asks whether the receiver would vote for the sender; no state changes
    prevoteResponse,  // `granted`: the receiver would vote for the sender
    voteRequest,      // requests a vote in the term of `epoch`
    voteResponse,     // `granted`: the vote is cast and on disk
    replicate,        // sends the replicated state to a backup
    replicateAck,     // the state is on the backup's disk
    resign,           // sent by a primary that shuts down gracefully
  };
  Kind kind = Kind::announce;
  NodeId from;
  std::uint64_t epoch = 0;
  bool granted = false;
  EpochRecord record;
  std::uint64_t dataEpoch = 0, lostEpoch = 0, establishedEpoch = 0;  // as in DurableState
  std::uint64_t sequence = 0;  // number of the newest change in the sender's state
  // announce, heartbeat: the time of sending, by the sender's clock. heartbeatAck: copied from the heartbeat.
  Millis sentAt = 0;
  // heartbeat: the `sentAt` of the newest announcement that the sender has received from the receiver, or
  // kNever if it has received none. nullopt: the sender's version does not report it.
  std::optional<Millis> lastAnnouncementSentAt;
  std::optional<ReplicatedState> state;  // replicate
};

}  // namespace lilacmux
