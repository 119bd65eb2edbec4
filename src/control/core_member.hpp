// One member of the core on its disk and its sockets: opens the state store, runs the replica on what is
// stored there, and carries the replica's messages to the other members. What is decided, is decided in
// Replica.
//
// A disk that cannot be written leaves the process running: the store is opened anew about every second.
// Until it has been opened for the first time, and in a process without a data directory, there is no
// replica.
//
// Runs on the thread of the io_context, which must outlive it, as must the peer discovery and the observer.
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

  // Called from within calls to this class or to its replica.
  class Observer {
   public:
    virtual ~Observer() = default;
    // At the primary: this state is committed, on disk here and at each backup.
    virtual void onCommitted(const ReplicatedState& state) = 0;
    // This node is no longer the primary; whether a pending proposal will be committed is open.
    virtual void onPrimacyLost() = 0;
    // There is a replica now, though the store could not be opened when the process started.
    virtual void onReplicaAvailable() = 0;
  };

  CoreMember(boost::asio::io_context& io, NodeId self, const NodeSettings& settings, PeerDiscovery& discovery,
             Observer& observer, Log log);

  // Seeds of newer settings; they count when the store is opened the next time.
  void setSeeds(std::vector<NodeId> seeds) { seeds_ = std::move(seeds); }
  // Opens the store, where there is a data directory. A failure is logged and retried by `tick`.
  void start();
  // Opens a store that has failed, tells peer discovery what the epoch record says and the replica where the
  // core may be, and advances the replica unless the process is draining. To be called every 100 ms or so.
  void tick(bool isDraining);
  // Gives up primacy, so that a backup may take over at once.
  void resign();

  // Nothing without a disk, or while it has not been usable since the start. The replica is replaced when the
  // store is opened anew: not to be kept.
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
  bool bootstrap_;                // until the store has been opened once
  Millis nextOpenAt_ = 0;         // no earlier, after a failure
  std::vector<NodeId> contacts_;  // as the replica has them
  MemberLinks links_;
  std::optional<StateStore> store_;
  std::unique_ptr<Replica> replica_;
};

}  // namespace lilacmux
