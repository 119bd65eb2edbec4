// One gatekeeper: the decision module between the clients' side, the servers' side and discovery. It turns
// socket events into the decision engine's events and the decision engine's actions into socket work, and
// decides nothing.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "gatekeeper/call_reader.hpp"
#include "gatekeeper/config.hpp"
#include "gatekeeper/discovery.hpp"
#include "gatekeeper/engine_clock.hpp"
#include "gatekeeper/handover.hpp"
#include "gatekeeper/management.hpp"
#include "gatekeeper/operators_state.hpp"
#include "gatekeeper/server_response_reader.hpp"
#include "http/client_server.hpp"
#include "lilacmux/decision_engine.hpp"
#include "upstream/connection_pool.hpp"

namespace lilacmux {

// All calls and callbacks run on the io_context's one thread.
class Gatekeeper : private EngineActions,
                   private RequestHandler,
                   private OperatorCommands,
                   private HandoverParticipant,
                   private ResponseSink {
 public:
  Gatekeeper(boost::asio::io_context& io, const Config& config);
  ~Gatekeeper() override;

  // `left` is called if a successor has taken over and nothing is pending any more.
  void start(std::function<void()> left = [] {});
  // Moves to the discovery that a new configuration names. All else that may differ waits for a restart.
  void reload(const Config& config);
  // Goes on for a while, finishes what is pending, then calls `done`.
  void drain(std::function<void()> done);

  boost::asio::ip::tcp::endpoint address() const { return clientServer_.address(); }
  boost::asio::ip::tcp::endpoint management() const { return management_->address(); }
  bool ready() const override { return ready_; }
  std::size_t pendingCount() const { return pending_.size(); }
  std::size_t listed() const { return readyServers_.size(); }  // servers that may be sent to

 private:
  struct PendingRequest {
    PendingRequest(boost::asio::io_context& io) : deadline(io) {}
    std::uint64_t clientId = 0;
    unsigned klass = 0;
    ClientMessage message;  // until the first attempt, which makes the next two of it
    std::string head;       // as it goes on, but for the deadline
    std::shared_ptr<const std::string> body;
    std::shared_ptr<ResponseWriter> writer;
    Time expires = 0;
    boost::asio::steady_timer deadline;
    unsigned attempts = 0;
    bool streams = false;  // the client has a response's begin
  };

  // RequestHandler
  std::variant<Call, Rejection> read(const ClientMessage& head) override;
  bool isReadinessCheck(const ClientMessage& head) const override { return head.target() == "/health/ready"; }
  RequestId nextId() override { return ++lastId_; }
  void take(RequestId id, const Call& call, ClientMessage&& message,
            const std::shared_ptr<ResponseWriter>& writer) override;
  void wantsMore(RequestId id) override { pool_.more(id); }
  void left(RequestId id) override;

  // ResponseSink
  bool begun(RequestId id, const ResponseHead& head) override;
  void piece(RequestId id, std::string&& bytes) override;

  // Actions
  void send(RequestId id, ServerId server, Time timeout) override;
  void reject(RequestId id, Time retryAfter) override;
  void fail(RequestId id) override;
  void setTimer(Time wait, std::uint64_t tag) override;
  void subscribe() override {}  // the watch is always open
  void log(const std::string& line) override;

  // Operator
  bool takesClients() const override;
  std::string figures() const override;
  bool suspend(const std::string& instanceId) override;
  bool resume(const std::string& instanceId) override;
  void startFrontDrain() override;
  void endFrontDrain() override;

  // HandoverParticipant
  int listener() override { return clientServer_.listener(); }
  ResourceLimits resourceLimits() override;
  void successorStarts() override;
  void successorServes() override;
  void successorLost() override;
  void predecessorHolds(const ResourceLimits& most) override;
  void predecessorLeft() override;

  void serve();
  void limit(const ResourceLimits& most);
  void change(const std::function<void(OperatorsState&)>& how);
  void adopt(const OperatorsState& state);
  void watchStateFile();

  void watch(const boost::asio::ip::tcp::endpoint& agent, long long from);
  void serverListChanged(const ServerListUpdate& update, ListUpdateKind kind);
  ListedServer listedServerOf(const DiscoveredServer& instance) const;
  void ended(AttemptEnd&& end);
  void expire(RequestId id);
  void giveUpAll();
  void answer(RequestId id, Response&& answer);
  void endStream(RequestId id, bool whole);
  void release(std::unordered_map<RequestId, PendingRequest>::iterator held);

  boost::asio::io_context& io_;
  Config config_;
  const EngineClock clock_;
  MemoryBudget budget_;
  RequestCounters counters_;
  const ServerResponseReader answers_;
  UpstreamConnectionPool pool_;
  ClientServer clientServer_;
  std::unordered_set<ServerId> readyServers_;
  std::unordered_set<ServerId> knownServers_;  // by any list since the start
  std::unordered_map<RequestId, PendingRequest> pending_;
  std::unordered_set<std::uint64_t> openClientIds_;  // of what is pending
  RequestId lastId_ = 0;
  DecisionEngine engine_;
  std::unique_ptr<DiscoveryClient> discovery_;
  std::optional<ManagementServer> management_;
  const ResourceLimits ownLimits_;  // of this process where it is alone
  Handover handover_;
  StateFile stateFile_;
  OperatorsState state_;
  boost::asio::steady_timer stateTimer_;
  std::function<void()> onLeft_;
  boost::asio::steady_timer drainTimer_;
  bool ready_ = false;    // has had a list with a server in it
  bool serving_ = false;  // takes clients, unless the front is drained
  bool started_ = false;
  bool retired_ = false;  // a successor serves
  bool ending_ = false;   // since SIGTERM
};

}  // namespace lilacmux
