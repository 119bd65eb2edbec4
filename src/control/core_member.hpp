// A member of the core: opens the state store, runs the replica on the stored state, and sends the replica's
// messages to the other members. Replica makes all decisions.
//
// If the disk cannot be written, the process keeps running and the store is reopened about once a second.
// There is no replica until the store has been opened for the first time, nor in a process without a data
// directory.
//
// Runs on the thread of the io_context. The io_context, the peer discovery and the observer must outlive it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus/replica.hpp"
#include "consensus/state_store.hpp"
#include "control/member_links.hpp"
#include "control/peer_discovery.hpp"
#include "settings/settings.hpp"

namespace lilacmux {

class CoreMember : private ReplicaHost {
 public:
  using Log = std::function<void(const std::string&)>;

  // Its methods are called from within calls to CoreMember or to its replica.
  class Observer {
   public:
    virtual ~Observer() = default;
    // At the primary: `state` is committed, that is, on disk here and at each backup.
    virtual void onCommitted(const ReplicatedState& state) = 0;
    // This node is no longer the primary; a pending proposal may or may not be committed.
    virtual void onPrimacyLost() = 0;
    // The store, which could not be opened when the process started, is open: the replica exists now.
    virtual void onReplicaAvailable() = 0;
  };

  CoreMember(boost::asio::io_context& io, NodeId self, const NodeSettings& settings, PeerDiscovery& discovery,
             Observer& observer, Log log);

  // Replaces the seeds; takes effect when the store is opened the next time.
  void setSeeds(std::vector<NodeId> seeds) { seeds_ = std::move(seeds); }
  // Opens the store if there is a data directory. A failure is logged and retried by `tick`.
  void start();
  // Reopens a failed store, passes the view of the epoch record to peer discovery and the join contacts to
  // the replica, and advances the replica unless the process is draining. To be called about every 100 ms.
  void tick(bool isDraining);
  // Gives up primacy to let a backup take over at once.
  void resign();

  // Returns null without a data directory, or if the store has not been opened since the start. The pointer
  // must not be retained: reopening the store replaces the replica.
  Replica* replica() { return replica_.get(); }
  const Replica* replica() const { return replica_.get(); }

 private:
  // ReplicaHost
  void send(const NodeId& to, const MemberMessage& message) override { links_.send(to, message); }
  bool store(const DurableState& durable) override;
  void onCommitted(const ReplicatedState& state) override { observer_.onCommitted(state); }
  void onPrimacyLost() override { observer_.onPrimacyLost(); }
  void log(const std::string& line) override { log_(line); }

  bool tryOpen();
  void open();
  void retryOpen();
  void publishLocalView();
  void updateContacts();

  const NodeId self_;
  const std::optional<std::filesystem::path> storeFolder_;  // none without a data directory
  std::vector<NodeId> seeds_;
  const Replica::Timing timing_;
  PeerDiscovery& discovery_;
  Observer& observer_;
  const Log log_;
  bool bootstrap_;                // true until the store has been opened once
  Millis nextOpenAt_ = 0;         // earliest time of the next attempt, after a failure
  std::vector<NodeId> contacts_;  // as last passed to the replica
  MemberLinks links_;
  std::optional<StateStore> store_;
  std::unique_ptr<Replica> replica_;
};

}  // namespace lilacmux
