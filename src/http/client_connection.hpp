// One client connection: reads requests, hands them to the handler and writes the responses.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "http/arrivals.hpp"
#include "http/call.hpp"
#include "http/client_server.hpp"
#include "http/http.hpp"
#include "http/memory_budget.hpp"
#include "http/pipelined_request.hpp"
#include "http/request_handler.hpp"

namespace lilacmux {

// One client connection: requests are answered in the order in which they come. A request is checked by its
// head, so that what is wrong is rejected before its body has come; the connection ends with that.
class ClientServer::Connection : public ResponseWriter, public std::enable_shared_from_this<Connection> {
 public:
  Connection(ClientServer& server, boost::asio::ip::tcp::socket socket)
      : server_(server), socket_(std::move(socket)), timer_(socket_.get_executor()), bytes_(server.budget_) {}

  void start(Connections::iterator at);

  void answer(Response&& answer) override;

  void begin(const ResponseHead& begun) override;

  void piece(std::string&& bytes) override;

  void finish() override;

  // Where only the connection's end would tell that the response was whole, it must not look like one.
  void abortStream() override;

  void close();

  // Ends it and tells nobody.
  void abandon();

  // The end of a drain: ends a connection without a request, unless one has come unread.
  void finishUp();

 private:
  using Clock = std::chrono::steady_clock;
  enum class State { reading, pending, streaming, responding, lingering, closed };

  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t n = 0) {
      if (state_ != State::closed) handler(error, n);
    };
  }

  // Whether the connection is reset where it ends now, whoever ends it: a timer, the client's own silence, or
  // the end of this process. Where nothing but an orderly end tells that a response is whole, it is until
  // then.
  void resetAtEnd(bool yes);

  static void take(http::response<http::empty_body>& head, const http::fields& fields);

  bool begun() const { return parser_ || in_.size() > 0; }

  void moveTo(Phase phase);

  void arm(std::chrono::milliseconds span);

  void expire();

  // Ready for the next request.
  void listen();

  // One wait for bytes is pending in every state, so that the end of a client is seen while its request is
  // held. Only a wait: bytes that were read ahead are parsed meanwhile, which moves the buffer.
  void read();

  bool wantsMore() const;

  void bytesReceived(std::size_t n);

  void parse();

  // A request's first byte.
  void begin();

  // The head is whole. Whether the request may go on.
  bool acceptHead();

  bool ending() const { return server_.draining_ || server_.away_ || server_.retired_; }

  bool isHealth(const ClientMessage& message) const;

  // Reads the head as one of the service, or rejects it.
  bool call(const ClientMessage& message);

  // Whether there is room for a body of this size; else the client may come back.
  bool fits(std::size_t body);

  void sendContinue();

  void handle(ClientMessage&& message);

  // Hands over what has come whole behind the request whose turn it is, as long as that needs nothing of the
  // connection but its response's place.
  void lookAhead();

  // The next of those that were read ahead.
  void becomeCurrent();

  void sayReady(http::verb method);

  void reject(const Rejection& why);

  // A response from here: the request never reaches the handler.
  void say(http::status status, std::string_view what, Time retryAfter = 0);

  void write();

  std::size_t mostAtOnce() const;

  // The head, and what there is of the body; of a large one as much as goes through the link in one step.
  void writeStep();

  void writeNow();

  void partWritten();

  void written();

  // The response's end is told at once; the connection goes when the client has seen it, so that bytes that
  // it was still sending do not reset what it has not read yet. A client that just goes on sending is cut
  // off.
  void linger();

  ClientServer& server_;
  boost::asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  MemoryBudget::Share bytes_;
  beast::flat_buffer in_;
  std::optional<http::request_parser<http::string_body>> parser_;  // from a request's first byte on
  std::optional<Call> call_;                                       // once its head is read
  std::deque<std::shared_ptr<PipelinedRequest>> pipelined_;        // in the order of their turns
  std::string out_, writing_, body_;
  std::size_t bodyWritten_ = 0;
  State state_ = State::reading;
  http::status status_ = http::status::ok;  // of the response under way
  Phase phase_ = unfinished;
  Connections::iterator at_;
  Arrivals arrivals_;
  std::size_t received_ = 0;  // bytes, ever
  std::size_t lingered_ = 0;
  Clock::time_point readAt_;
  RequestId id_ = 0;
  bool closeAfterResponse_ = false;  // the connection ends with the next answer
  bool readPending_ = false;
  bool writePending_ = false;
  bool chunked_ = false;      // the large response under way
  bool endsByClose_ = false;  // the same: nothing else tells its end
  unsigned version_ = 11;     // of the request's HTTP
  Clock::time_point bodyAt_;  // its head was whole
  std::size_t bodyFrom_ = 0;
};

}  // namespace lilacmux
