// One connection to a server, as the pool uses it: it connects, writes the request of an attempt, reads the
// response and reports how the attempt ended.
#pragma once

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/http.hpp"
#include "http/memory_budget.hpp"
#include "upstream/attempt.hpp"
#include "upstream/connection_pool.hpp"
#include "upstream/response_attribution.hpp"

namespace lilacmux {

// One connection. While an attempt is out a read is pending, which brings the response. While none is, the
// connection waits for bytes without taking them, and whatever comes ends it.
class UpstreamConnectionPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(UpstreamConnectionPool& pool, ServerId to, const boost::asio::ip::tcp::endpoint& at);

  const ServerId server;
  const boost::asio::ip::tcp::endpoint address;
  const double openedAtMs;

  void begin(RequestId id, unsigned attempt, UpstreamRequest message,
             std::optional<std::chrono::steady_clock::duration> timeout);

  // The end of the attempt that is out, as seen from here, if it is given up now.
  AttemptOutcome stop(AttemptResult result);

  // The client has the piece before.
  void more();

  bool busy() const { return busy_; }
  RequestId request() const { return outcome_.id; }

  // Whether the server has ended or spoiled this idle connection and the read has not reported yet.
  bool isStale();

  // Whether a late copy of an earlier response could be taken for the response to an attempt of that id.
  bool mayRepeat(const std::string& id) const;

  // Idle from now on; it holds no more than it must.
  void rest();

  void close();

 private:
  using Clock = std::chrono::steady_clock;
  using Body = http::basic_dynamic_body<beast::flat_buffer>;
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t n = 0) {
      if (!closed_) handler(error, n);
    };
  }

  void stamp();

  void arm(Clock::time_point at);

  void expire();

  // Ready for a response.
  void await();

  void connect();

  // Nobody waits for the response any more, or the request must not go out any more.
  bool isSuperseded() const { return Clock::now() >= out_.notAfter || (out_.mayBeSent && !out_.mayBeSent()); }

  void connectFailed(const Error& error);

  // What a connection took to come up is gone from the time that the server is told.
  void endHead();

  // From here on the request may have run, unless the system tells that it did not take in the whole head: it
  // takes that in within this call, however much later the handler runs. A server may run a request whose
  // body it has not read, and lose its answer.
  void write();

  std::size_t stepOfBody() const;

  // More of a response than goes through the link in one step.
  bool isBulk() const;

  // Each byte that is read of a large response lets its server send another. Those are let on their way when
  // the link has room, and what is on its way already is read as it comes.
  void read();

  // So many bytes were read: they passed the link, or as many are called for; those ahead of the reader are
  // known of only where the response's length is.
  void count(std::size_t n);

  void readNow();

  // Waits for what a server sends on an idle connection, and leaves it to isStale().
  void watchIdle();

  // Whether the connection's end is the response's: its length is told by nothing else, the server ended it
  // in order, and nothing that has come may belong to a further response. A write that failed has taken the
  // socket's error, so after it a reset looks like an orderly end; and the shutdown that follows makes one.
  bool endsResponse(const Error& error);

  void readFailed(const Error& error);

  // The next bytes of the response that has begun.
  void awaitMore();

  // `n`: bytes that have just come.
  void take(std::size_t n = 0);

  // Takes the head that has come; whether the body may follow. Else the connection or the response has ended.
  bool takeHead();

  // Whether what has come of the body is all of this response.
  bool examineBody();

  bool isLarge() const;

  // Too large to be held: from here on the client has its begin, and there is no other attempt and no
  // deadline.
  void stream();

  // Taken before trailers can add to it.
  ResponseHead headOf() const;

  // What has come goes on as one piece, but for bytes that may belong to a further response, and the next is
  // read once that is through; the read is then the only thing that waits for the server.
  void forward();

  void discardSurplus(bool done);

  // An interim response, or a surplus one; the one that counts is still to come.
  void awaitNextResponse();

  // The response has come to its end. Where its last bytes may begin another one, what follows is awaited.
  void completeResponse();
  void awaitBytesBehind();
  void decideEnd(bool isLast);

  void responseComplete();

  // Whether the exchange was a whole and ordinary one, so that nothing of it is left on either side.
  bool isReusable() const;

  void end(AttemptResult result);

  UpstreamConnectionPool& pool_;
  boost::asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  MemoryBudget::Share bytes_;
  beast::flat_buffer in_;
  std::optional<http::response_parser<Body>> parser_;
  UpstreamRequest out_;
  AttemptOutcome outcome_;
  AttemptResult result_ = AttemptResult::malformed;  // on the response whose head has come
  std::optional<ResponseHead> head_;                 // of one that goes on
  Clock::time_point startedAt_, giveUpAt_, firstByteAt_;
  std::uint64_t requestedBytes_ = 0;  // bytes of a large response that have come or are on their way
  ResponseAttribution attribution_;
  std::size_t examined_ = 0;          // bytes of the body held here that `attribution_` has seen
  std::vector<std::string> openIds_;  // of attempts here whose requests may be sent once more
  bool connected_ = false;
  bool busy_ = false;
  bool headWritten_ = false;  // the request's, whole: from here on it may have run
  bool writing_ = false;      // the request's bytes are still in use
  bool writeFailed_ = false;
  bool responseBegun_ = false;  // the response's first byte has come
  bool streaming_ = false;      // and the client has its begin
  bool reading_ = false;
  bool peerClosed_ = false;
  bool awaitsBytesBehind_ = false;  // a response that has its length
  bool closed_ = false;
};

}  // namespace lilacmux
