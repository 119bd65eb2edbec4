// Admits requests by their tenants' quotas. One whose tenant has no token here, while one may be on its way,
// is kept pending for a short time. Owns the pending requests; admitted ones go to AttemptDispatcher. Runs on
// the io_context thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>

#include "gateway/admission_control.hpp"
#include "gateway/attempt_dispatcher.hpp"
#include "gateway/control_client.hpp"
#include "gateway/gateway_counters.hpp"
#include "gateway/random_sequence.hpp"
#include "gateway/routed_request.hpp"
#include "net/link_gate.hpp"

namespace lilacmux {

class RequestAdmission {
 public:
  // Used, not owned; all of them must outlive this.
  struct Context {
    boost::asio::io_context& io;
    AdmissionControl& admission;
    ControlClient& control;
    AttemptDispatcher& dispatcher;
    const LinkGate& inboundLink;
    const LinkGate& outboundLink;
    RandomSequence& random;
    GatewayCounters& counters;
  };
  explicit RequestAdmission(const Context& context) : context_(context), expiry_(context.io) {}

  // Admits the request, answers it with a rejection, or keeps it pending.
  void take(RequestId id, const Call& call, ClientMessage&& message,
            const std::shared_ptr<ResponseWriter>& writer);
  // Tokens may have come, or it is known that none will: looks at all pending requests.
  void retryPending();
  // The client has gone.
  void clientLeft(RequestId id);
  // Rejects all pending requests, as the gateway has no time left.
  void rejectAll();
  std::size_t pending() const { return pending_.size(); }

 private:
  struct PendingRequest {
    RoutedRequest request;
    Time until = 0;  // no token is awaited from then on
  };

  void admitByQuota(RoutedRequest&& request, Time now);
  Time tokenWait(const Route& route) const;
  void scheduleExpiry();
  void rejectExpired();

  const Context context_;
  std::list<PendingRequest> pending_;  // in the order in which they came
  boost::asio::steady_timer expiry_;
};

}  // namespace lilacmux
