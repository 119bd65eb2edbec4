// Carries admitted requests to servers: starts the attempts that a request's cluster asks for, reports their
// ends to it, and passes the responses on. Retries go by the route's number of attempts and by the service's
// retry budget. Owns the list of attempts in flight; the requests belong to RequestTable. Runs on the
// io_context thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "gateway/cluster_manager.hpp"
#include "gateway/control_client.hpp"
#include "gateway/random_sequence.hpp"
#include "gateway/request_table.hpp"
#include "net/link_gate.hpp"
#include "upstream/connection_pool.hpp"

namespace lilacmux {

class AttemptDispatcher : public ResponseSink, public ClusterHost {
 public:
  // Used, not owned; all of them must outlive the dispatcher's last call.
  struct Context {
    boost::asio::io_context& io;
    RequestTable& requests;
    ClusterManager& clusters;
    AdmissionControl& admission;
    ControlClient& control;
    UpstreamConnectionPool& pool;
    LinkGate& inboundLink;
    LinkGate& outboundLink;
    RandomSequence& random;
    std::function<void(const std::string&)> log;
  };
  explicit AttemptDispatcher(Context context) : context_(std::move(context)) {}

  // Makes the request active and hands it to the cluster of a service of its route.
  void dispatch(RoutedRequest&& routed);
  // The client has gone: its request ends without a response.
  void clientLeft(RequestId id);
  // The pool's report of an attempt's end.
  void attemptEnded(AttemptEnd&& end);
  // Ends every active request, as the gateway has no time left.
  void giveUpAll();

  // ResponseSink
  bool begun(RequestId id, const ResponseHead& head) override;
  void piece(RequestId id, std::string&& bytes) override;

  // ClusterHost
  void send(Cluster& cluster, RequestId id, ServerId server, Time timeout) override;
  void reject(RequestId id, Time retryAfter) override;
  void fail(RequestId id) override;
  void setTimer(Cluster& cluster, Time wait, std::uint64_t tag) override;
  void log(const std::string& line) override { context_.log(line); }

 private:
  void startAttempt(RequestId id, unsigned attempt, ServerId server, Time timeout);
  void takeResponse(ActiveRequest& request, AttemptEnd& end);
  void expire(RequestId id);
  bool takeRetryToken(ActiveRequest& request);
  void awaitRetryToken(AttemptOutcome outcome, std::shared_ptr<Cluster> cluster, unsigned check);
  bool maySend() const;

  const Context context_;
  std::unordered_map<RequestId, std::shared_ptr<Cluster>> inFlight_;  // attempts, by their request
};

}  // namespace lilacmux
