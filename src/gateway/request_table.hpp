// The active requests of a gateway, and the one response that each of them ends with. Owns the requests; what
// a request holds of quotas and retry budgets goes back as it is removed. Runs on the io_context thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <string>
#include <unordered_map>

#include "gateway/active_request.hpp"
#include "gateway/admission_control.hpp"
#include "gateway/gateway_counters.hpp"

namespace lilacmux {

class RequestTable {
 public:
  RequestTable(boost::asio::io_context& io, AdmissionControl& admission, GatewayCounters& counters)
      : io_(io), admission_(admission), counters_(counters) {}

  // The reference, and what find() gives, is valid until the request is removed.
  ActiveRequest& add(RoutedRequest&& routed);
  ActiveRequest* find(RequestId id);  // nullptr: not active
  bool contains(RequestId id) const { return requests_.contains(id); }
  bool empty() const { return requests_.empty(); }
  std::size_t size() const { return requests_.size(); }
  RequestId first() const { return requests_.begin()->first; }  // any one; only where it is not empty

  // Each of these removes the request, and does nothing where it is not active.

  // Ends it with this response. By value: it may be a part of the request that is removed.
  void respond(RequestId id, Response response);
  // Ends it where no server has responded well: with a server's own error, or one of the gateway's.
  void giveUp(RequestId id, Time retryAfter);
  // No response is sent. `ran`: whether it may have run, so that its tenant's token is used up.
  void remove(RequestId id, bool ran);

  // A large response, passed on as it comes. beginStream() is false where nobody wants it; endStream()
  // requires that the request is active.
  bool beginStream(RequestId id, const ResponseHead& head);
  void passPiece(RequestId id, std::string&& bytes);
  void endStream(RequestId id, bool complete);

  // The attempt that went by a token of the retry budget has ended: one that has not reached a server gives
  // the token back.
  void settleRetryToken(ActiveRequest& request, bool delivered);

 private:
  using Requests = std::unordered_map<RequestId, ActiveRequest>;
  void remove(Requests::iterator request, bool ran);

  boost::asio::io_context& io_;
  AdmissionControl& admission_;
  GatewayCounters& counters_;
  Requests requests_;
};

}  // namespace lilacmux
