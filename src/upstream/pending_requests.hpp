// What every handler of requests does alike with the responses that stream and with attempts that have no
// time left. `PendingMap` goes by request; what it holds has `streams`, `deadline` and `writer`.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <string>
#include <utility>

#include "http/call.hpp"
#include "upstream/connection_pool.hpp"

namespace lilacmux {

// A large response has begun to come: it is the request's answer, and nothing else ends the request any more
// but its end or its client's. False: nobody wants it.
template <class PendingMap>
bool beginStream(PendingMap& held, RequestId id, const ResponseHead& head) {
  const auto found = held.find(id);
  if (found == held.end()) return false;
  found->second.streams = true;
  found->second.deadline.cancel();
  found->second.writer->begin(head);
  return true;
}

template <class PendingMap>
void forwardPiece(PendingMap& held, RequestId id, std::string&& bytes) {
  const auto found = held.find(id);
  if (found != held.end()) found->second.writer->piece(std::move(bytes));
}

// No time is left for the attempt: nothing is sent, and the decision engine learns so from a handler of its
// own.
template <class Ended>
void reportSuperseded(boost::asio::io_context& io, RequestId id, unsigned attempt, ServerId server,
                      Ended ended) {
  AttemptEnd end;
  end.outcome.id = id;
  end.outcome.attemptIndex = attempt;
  end.outcome.server = server;
  end.outcome.result = AttemptResult::abandoned;
  boost::asio::post(io,
                    [ended = std::move(ended), end = std::move(end)]() mutable { ended(std::move(end)); });
}

}  // namespace lilacmux
