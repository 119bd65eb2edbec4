// A process in the control role: a member of the core, and a relay for nearby gateways. Operators reach it
// over HTTP; gateways, relays and the other members over frames (net/frame.hpp).
//
// ControlNode owns, connects and drains these components, and drives them by one timer:
//   PeerDiscovery          finds the other control processes and the core
//   CoreMember             runs the replica, with its disk and its connections to the other members
//   PrimaryRole            does the work that only the primary does
//   RelayService           runs the relay and the follower that keeps it up to date
//   ConfigurationService   queues operators' changes until they are committed
//   FollowService          answers follow requests
//   InternalApi            listens for frames
//   OperatorApi            listens for HTTP
// Everything runs on the thread of the io_context, which must outlive the node.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "control/configuration_service.hpp"
#include "control/core_member.hpp"
#include "control/follow_service.hpp"
#include "control/internal_api.hpp"
#include "control/operator_api.hpp"
#include "control/peer_discovery.hpp"
#include "control/primary_role.hpp"
#include "control/relay_service.hpp"
#include "settings/settings.hpp"

namespace lilacmux {

class ControlNode : private CoreMember::Observer {
 public:
  using Log = std::function<void(const std::string&)>;

  // Throws SettingsError if the settings do not fit the role, std::runtime_error if a listener fails.
  ControlNode(boost::asio::io_context& io, const NodeSettings& settings, Log log);
  ~ControlNode() override;

  // Applies the seeds and the platform's address and request rate; other settings need a restart.
  void reload(const NodeSettings& settings);
  // Resigns as the primary and redirects gateways to other relays. Then waits for a fixed time
  // (`kDrainDelay`), whether or not all messages have been sent by then. Then calls `done` or, if this node
  // has a replica, detaches the relay (`RelayService::finishDrain`), which calls `done`.
  void drain(std::function<void()> done);

 private:
  // CoreMember::Observer
  void onCommitted(const ReplicatedState& state) override;
  void onPrimacyLost() override;
  void onReplicaAvailable() override;

  void startFollowing();
  void tick();
  void processProposals();
  void postProcessProposals();

  boost::asio::io_context& io_;
  NodeSettings settings_;
  const Log log_;
  const NodeId self_;
  PeerDiscovery discovery_;
  RelayService relay_;
  CoreMember member_;
  PrimaryRole primary_;
  ConfigurationService configuration_;
  FollowService follows_;
  InternalApi internalApi_;
  OperatorApi operatorApi_;
  boost::asio::steady_timer tickTimer_;
  boost::asio::steady_timer drainTimer_;
  bool isDraining_ = false;
};

}  // namespace lilacmux
