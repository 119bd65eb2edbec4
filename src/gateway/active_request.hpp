// A request that has been admitted and not been answered in full: what its attempts share, and what is known
// of them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "gateway/cluster.hpp"
#include "gateway/routed_request.hpp"

namespace lilacmux {

struct ActiveRequest {
  ActiveRequest(boost::asio::io_context& io, RoutedRequest&& routed)
      : table(std::move(routed.table)),
        route(routed.route),
        tenant(std::move(routed.tenant)),
        message(std::move(routed.message)),
        writer(std::move(routed.writer)),
        expires(routed.expires),
        deadline(io) {}

  std::shared_ptr<const RouteTable> table;  // keeps `route` alive
  const Route* route = nullptr;
  std::string tenant;                    // empty: none
  const std::string* service = nullptr;  // in the route
  std::shared_ptr<Cluster> cluster;
  unsigned requestClass = 0;

  ClientMessage message;  // until the first attempt, which makes the next three of it
  std::string attemptId;  // the client's, which each response must carry back
  std::string head;       // as it is sent, but for the fields of the server and the deadline
  std::shared_ptr<const std::string> body;

  std::shared_ptr<ResponseWriter> writer;
  Time expires = 0;  // steady clock, ms
  boost::asio::steady_timer deadline;

  unsigned attempts = 0;    // begun
  unsigned delivered = 0;   // of them, those that reached a server
  bool mayHaveRun = false;  // at some server
  // The token of the retry budget that the next attempt, or the one in flight, goes by.
  enum class RetryToken { none, taken, inFlight };
  RetryToken retryToken = RetryToken::none;
  bool streams = false;                 // the client has the beginning of a response
  std::optional<Response> lastFailure;  // a server's own error, sent on if no attempt succeeds
};

// Whether an attempt that ended so may have run the request.
inline bool mayHaveRunAfter(AttemptResult result) {
  return result != AttemptResult::full && result != AttemptResult::connectFailed &&
         result != AttemptResult::abandoned;
}

// Whether an attempt that ended so has reached a server.
inline bool isDelivered(AttemptResult result) {
  return result != AttemptResult::connectFailed && result != AttemptResult::abandoned;
}

}  // namespace lilacmux
