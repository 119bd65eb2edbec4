// The replicated state of a gateway that follows a relay: the servers, the position in the change log, and
// the lease, which limits how long the gateway may serve without another response. No I/O and no clock; times
// are in ms of the gateway's clock.
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

  // A lease lasts `lease` ms from when the data was requested from the primary, less the excess age of the
  // server list (FollowResponse::listAgeMs). A primary that has not read the list yet does not know its age,
  // so its responses do not renew the lease.
  explicit FollowerState(Millis lease) : lease_(lease) {}

  struct Update {
    std::vector<Instance> updated;  // added or changed; the complete list after a snapshot
    std::vector<Instance> removed;
  };

  // Whether a response is from the current or a newer primary. Responses of older primaries are ignored.
  bool accepts(const FollowResponse& response) const { return response.epoch >= epoch_; }
  // Applies the response to the request sent at `sentAt`, if it is accepted. `revision`: of the active
  // configuration, after the configuration in the response, if any, has been applied.
  Update apply(const FollowResponse& response, Millis sentAt, std::uint64_t revision);

  std::uint64_t epoch() const { return epoch_; }
  const ListPosition& position() const { return position_; }  // for the next request
  bool hasServerList() const { return hasServerList_; }       // whether a server list was received
  bool holdsLease(Millis now) const { return now < leaseUntil_; }
  Millis remainingLease(Millis now) const { return now < leaseUntil_ ? leaseUntil_ - now : 0; }
  const std::map<std::string, Instance>& instances() const { return instances_; }  // by id

 private:
  Update applySnapshot(const ServerChanges& changes);
  Update applyChanges(const ServerChanges& changes);
  void renewLease(const FollowResponse& response, Millis sentAt, std::uint64_t revision);

  const Millis lease_;
  std::uint64_t epoch_ = 0;  // of the newest primary from which a response was received
  ListPosition position_;
  bool hasServerList_ = false;
  Millis leaseUntil_ = -1;
  std::map<std::string, Instance> instances_;
};

}  // namespace lilacmux
