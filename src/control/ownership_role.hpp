// The primary's work for sharded services: keeps the leases of keys at the servers, plans who gets which keys
// and proposes the changes of the ownership table, adds up the load by key, and provides the directory of
// owners for followers. Exists only while this process is the primary; a new primary starts a new one from
// the committed table.
//
// Runs on the thread of the io_context, which must outlive it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/replica.hpp"
#include "control/lease_client.hpp"
#include "fleet/follow_messages.hpp"
#include "ownership/key_load.hpp"
#include "ownership/lease_manager.hpp"
#include "ownership/owner_directory.hpp"

namespace lilacmux {

class OwnershipRole {
 public:
  using Log = std::function<void(const std::string&)>;
  using Instances = std::map<std::string, Instance>;  // by id

  struct Status {
    std::size_t ranges = 0;
    std::size_t pendingHandovers = 0;  // ranges that an earlier server may still hold
    LeaseManager::Counts counts;
  };

  // `mayAct`: whether this process holds the primary's lease. `onPlanDue` is called when `propose` should be.
  // `maxHoldMs`: the longest lease that may be granted.
  OwnershipRole(boost::asio::io_context& io, double maxHoldMs, const ReplicatedState& committed,
                std::function<bool()> mayAct, std::function<void()> onPlanDue, Log log);

  ~OwnershipRole();
  OwnershipRole(const OwnershipRole&) = delete;
  OwnershipRole& operator=(const OwnershipRole&) = delete;

  void onCommitted(const ReplicatedState& committed);
  void setShardedServices(std::set<std::string> services);
  // The platform's list, or the list that earlier primaries had read.
  void setServers(const Instances& servers);
  // Proposes a changed table, if the planner changes anything and the replica can propose.
  void propose(Millis now, Replica& replica);
  // Adds the follower's counts, and fills in the changes of owners.
  void fillResponse(Millis now, const FollowRequest& request, FollowResponse& response);
  Status status() const;

 private:
  std::vector<std::string> serversFor(Millis now, const std::string& service) const;
  bool plan(Millis now, const std::string& service, OwnershipTable& table) const;
  bool clearHandovers(const std::string& service, OwnershipTable& table) const;
  void setTable(const ReplicatedState& committed);
  void tick();

  const std::function<bool()> mayAct_;
  const std::function<void()> onPlanDue_;
  const Log log_;
  LeaseManager::Rule rule_;
  std::shared_ptr<const std::string> encoded_;  // the table as committed
  bool isReadable_ = true;                      // whether the committed table could be decoded
  OwnershipTable table_;
  OwnerDirectory directory_;
  LeaseClient client_;
  LeaseManager leases_;
  std::set<std::string> shardedServices_;
  Instances servers_;  // of sharded services
  std::map<std::string, KeyLoad> loads_;
  Millis nextPlanAt_ = 0;
  boost::asio::steady_timer timer_;
  // A timer that has expired calls its handler also if it is destroyed before that.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lilacmux
