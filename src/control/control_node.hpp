// The control role: one member of the core, and the relay for the gatekeepers near it. Operators reach it
// over HTTP; gatekeepers, relays and the other members over frames.
//
// This class wires the parts together, drives them by one timer and drains them:
//   PeerDiscovery          who the other control processes and the core are
//   CoreMember             the replica on its disk and its sockets
//   PrimaryRole            what is done only while this node is the primary
//   RelayService           the relay and the follower that feeds it
//   ConfigurationService   operators' changes on their way to a commit
//   FollowService          responses to follow requests
//   InternalApi            listener for frames
//   OperatorApi            listener for HTTP
// It owns all of them. Everything runs on the thread of the io_context, which must outlive the node.
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

  // Throws SettingsError where the settings do not fit the role, std::runtime_error if it cannot listen.
  ControlNode(boost::asio::io_context& io, const NodeSettings& settings, Log log);
  ~ControlNode() override;

  // Applies the seeds and the platform's address and rate of newer settings; all else needs a restart.
  void reload(const NodeSettings& settings);
  // Resigns, sends gatekeepers to other relays, finishes what is in flight, then calls `done`.
  void drain(std::function<void()> done);

 private:
  // CoreMember::Observer
  void onCommitted(const ReplicatedState& state) override;
  void onPrimacyLost() override;
  void onReplicaAvailable() override;

  void follow();
  void tick();
  void processProposals();
  void processProposalsSoon();

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
