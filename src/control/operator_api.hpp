// HTTP interface of a control node for operators: reads and replaces the configuration, and reports status
// and metrics. A node that is not the primary redirects configuration calls to the primary if it is known.
//
// Runs on the thread of the io_context. The io_context and the components that it refers to must outlive it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

#include "control/configuration_service.hpp"
#include "control/control_status.hpp"
#include "control/core_member.hpp"
#include "control/internal_api.hpp"
#include "control/peer_discovery.hpp"
#include "control/primary_role.hpp"
#include "control/relay_service.hpp"
#include "http/call_server.hpp"
#include "settings/settings.hpp"

namespace lilacmux {

class OperatorApi {
 public:
  // The components of the control node that the calls read or change.
  struct Components {
    CoreMember& member;
    ConfigurationService& configuration;
    const PrimaryRole& primary;
    const RelayService& relay;
    const PeerDiscovery& discovery;
    const InternalApi& internalApi;
  };

  // `settings.controlPlane` must be set.
  OperatorApi(NodeId self, const NodeSettings& settings, const Components& components);

  // Throws std::runtime_error if the listener cannot be opened.
  void listen(boost::asio::io_context& io);

 private:
  using HttpRequest = CallServer::Call;
  using Respond = CallServer::Respond;

  void handle(HttpRequest&& request, const Respond& respond);
  void handleConfiguration(const std::string& path, HttpRequest&& request, const Respond& respond);
  void replaceConfiguration(HttpRequest&& request, Replica& replica, const Respond& respond);
  CallReply describeConfiguration(const Replica& replica) const;
  CallReply redirectToPrimary(const std::string& path) const;
  NodeId redirectTarget() const;
  NodeId relayOrCoreCandidate() const;
  ControlStatus status() const;

  const NodeId self_;
  const std::string name_;
  const Endpoint address_;
  const unsigned machineFailures_;
  const Components components_;
  std::optional<CallServer> server_;
};

}  // namespace lilacmux
