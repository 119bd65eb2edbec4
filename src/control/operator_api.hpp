// What a control node answers to operators over HTTP: reading and replacing the configuration, status and
// metrics. A node that is not the primary redirects operators to it, as far as it knows it.
//
// Runs on the thread of the io_context, which must outlive it, as must the parts that it refers to.
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
  // The parts of the control node that it reports on and acts through.
  struct Components {
    CoreMember& member;
    ConfigurationService& configuration;
    const PrimaryRole& primary;
    const RelayService& relay;
    const PeerDiscovery& discovery;
    const InternalApi& internalApi;
  };

  // The settings must have an address for `listeners.controlPlane`.
  OperatorApi(NodeId self, const NodeSettings& settings, const Components& components);

  // Throws std::runtime_error if it cannot listen.
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
  NodeId someCoreProcess() const;
  ControlStatus status() const;

  const NodeId self_;
  const std::string name_;
  const Endpoint address_;
  const unsigned machineFailures_;
  const Components components_;
  std::optional<CallServer> server_;
};

}  // namespace lilacmux
