// The gateway role: clients' requests, admitted by their tenants' quotas, routed by the newest configuration
// and sent to a server that the service's cluster chooses. This class owns the parts and the sockets, wires
// them to each other, and is responsible for readiness and graceful shutdown. Everything runs on the thread
// of the io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/admission_control.hpp"
#include "gateway/attempt_dispatcher.hpp"
#include "gateway/cluster_manager.hpp"
#include "gateway/control_client.hpp"
#include "gateway/gateway_counters.hpp"
#include "gateway/gateway_status.hpp"
#include "gateway/random_sequence.hpp"
#include "gateway/request_admission.hpp"
#include "gateway/request_table.hpp"
#include "gateway/upstream_response_reader.hpp"
#include "http/call_server.hpp"
#include "http/client_server.hpp"
#include "settings/settings.hpp"
#include "upstream/connection_pool.hpp"

namespace lilacmux {

class Gateway : private RequestHandler, private ControlListener {
 public:
  using Log = std::function<void(const std::string&)>;

  // Throws SettingsError where the settings do not fit the role, std::runtime_error if it cannot listen.
  Gateway(boost::asio::io_context& io, const NodeSettings& settings, Log log);
  ~Gateway() override;

  void reload(const NodeSettings& settings);
  // Not ready from here on; finishes the requests that it has, then calls `done`.
  void drain(std::function<void()> done);
  bool ready() const override;

 private:
  // RequestHandler
  std::variant<Call, Rejection> read(const ClientMessage& head) override;
  RequestId nextId() override { return ++lastId_; }
  void take(RequestId id, const Call& call, ClientMessage&& message,
            const std::shared_ptr<ResponseWriter>& writer) override;
  void wantsMore(RequestId id) override { pool_.more(id); }
  void left(RequestId id) override;

  // ControlListener
  void configurationChanging(const Configuration& configuration) override;
  void gatewayCountChanged(std::size_t count) override { clusters_.setGatewayCount(count); }
  void serversChanged(const FollowerState::Update& update) override { clusters_.update(update); }
  void grantsChanged() override { requestAdmission_.retryPending(); }

  CallReply respondToOperator(const CallServer::Call& call) const;
  void giveUpAll();

  boost::asio::io_context& io_;
  const NodeSettings settings_;
  const Log log_;
  MemoryBudget budget_;
  LinkGate inboundLink_, outboundLink_;
  RequestCounters figures_;
  GatewayCounters counters_;
  RandomSequence random_;
  AdmissionControl admission_;
  // The parts refer to each other, also to those below them. Destruction goes from the last to the first:
  // requests, which hold the clients' writers, before the sockets.
  AttemptDispatcher dispatcher_;
  const UpstreamResponseReader responseReader_;
  UpstreamConnectionPool pool_;
  ClientServer server_;
  std::optional<CallServer> operatorServer_;  // readiness, status and metrics
  RequestTable requests_;
  RequestAdmission requestAdmission_;
  ControlClient control_;
  ClusterManager clusters_;
  const GatewayStatus status_;
  RequestId lastId_ = 0;
  boost::asio::steady_timer drainTimer_;
  bool draining_ = false;
};

}  // namespace lilacmux
