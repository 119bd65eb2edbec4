// What a gatekeeper goes by: the servers and how far it has been told of them, and until when it may act on
// all of it without a further word. A state machine without a socket or a clock; times are ms.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/wire.hpp"

namespace lilacmux {

class FollowerState {
 public:
  using Millis = double;

  // A lease lasts for `lease` ms from the moment at which the primary was asked for what the state rests on,
  // less what its list of servers was too old by. A primary that does not know how old its list is, as it has
  // read none yet, renews no lease.
  explicit FollowerState(Millis lease) : lease_(lease) {}

  struct Update {
    std::vector<Instance> set;  // new, or changed; all that there are where the relay sent a snapshot
    std::vector<Instance> gone;
  };

  // Whether an answer counts: an older primary's changes nothing and renews nothing.
  bool accepts(const FollowAnswer& answer) const { return answer.epoch >= epoch_; }
  // Takes in an answer that counts; `sentAt`: when the call left that it answers. `revision`: the
  // configuration that is in force once the one that the answer brings has been looked at.
  Update take(const FollowAnswer& answer, Millis sentAt, std::uint64_t revision);

  // From where on it asks.
  void place(FollowCall& call) const;

  std::uint64_t epoch() const { return epoch_; }
  const ListPosition& position() const { return position_; }  // of the servers here
  bool listed() const { return listed_; }                     // has had a list of servers
  bool holdsLease(Millis now) const { return now < leaseUntil_; }
  Millis leaseLeft(Millis now) const { return now < leaseUntil_ ? leaseUntil_ - now : 0; }
  const std::map<std::string, Instance>& instances() const { return instances_; }  // by id

 private:
  Update takeSnapshot(const ChangeLog::News& news);
  Update takeChanges(const ChangeLog::News& news);

  const Millis lease_;
  std::uint64_t epoch_ = 0;  // of the newest primary that was heard
  ListPosition position_;    // of the servers here
  bool listed_ = false;
  Millis leaseUntil_ = -1;
  std::map<std::string, Instance> instances_;
};

}  // namespace lilacmux
