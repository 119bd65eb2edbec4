// What a gateway knows by following a relay: the servers, its position in the log, and until when it may act
// on them without another response (its lease). No I/O and no clock; times are ms of the gateway's clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/follow_messages.hpp"

namespace lilacmux {

class FollowerState {
 public:
  using Millis = double;

  // A lease lasts `lease` ms from when the primary was asked for what the state rests on, less the time by
  // which its server list was too old. A primary that has not read the list yet does not know its age, and
  // renews no lease.
  explicit FollowerState(Millis lease) : lease_(lease) {}

  struct Update {
    std::vector<Instance> updated;  // new or changed; the complete list after a snapshot
    std::vector<Instance> removed;
  };

  // Whether a response counts: an older primary's changes nothing and renews nothing.
  bool accepts(const FollowResponse& response) const { return response.epoch >= epoch_; }
  // Applies a response, if it counts, to the request sent at `sentAt`. `revision`: of the configuration that
  // is in force, once one that the response brings has been considered.
  Update apply(const FollowResponse& response, Millis sentAt, std::uint64_t revision);

  std::uint64_t epoch() const { return epoch_; }
  const ListPosition& position() const { return position_; }  // for the next request
  bool hasServerList() const { return hasServerList_; }       // a server list was received
  bool holdsLease(Millis now) const { return now < leaseUntil_; }
  Millis remainingLease(Millis now) const { return now < leaseUntil_ ? leaseUntil_ - now : 0; }
  const std::map<std::string, Instance>& instances() const { return instances_; }  // by id

 private:
  Update applySnapshot(const ServerChanges& changes);
  Update applyChanges(const ServerChanges& changes);
  void renewLease(const FollowResponse& response, Millis sentAt, std::uint64_t revision);

  const Millis lease_;
  std::uint64_t epoch_ = 0;  // of the newest primary whose response was received
  ListPosition position_;
  bool hasServerList_ = false;
  Millis leaseUntil_ = -1;
  std::map<std::string, Instance> instances_;
};

}  // namespace lilacmux
