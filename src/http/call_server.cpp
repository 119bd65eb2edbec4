#include "http/call_server.hpp"

#include <boost/beast/core/tcp_stream.hpp>
#include <optional>

namespace lilacmux {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t kMostHead = std::size_t{4} * 1024;    // of a call
constexpr std::size_t kReadAhead = std::size_t{64} * 1024;  // of its body

}  // namespace

CallReply callReply(http::status status, std::string text, const char* type) {
  CallReply out(status, 11);
  out.set(http::field::content_type, type);
  out.body() = std::move(text);
  return out;
}

// One call. Whatever happens, the session ends within the limits' times.
class CallServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(CallServer& server, tcp::socket socket) : server_(server), stream_(std::move(socket)) {
    parser_.header_limit(kMostHead);
    parser_.body_limit(server_.limits_.maxBody);
  }

  void start(Sessions::iterator at) {
    at_ = at;
    stream_.expires_after(server_.limits_.wholeWithin);
    readHead();
  }

  // Ends it and tells nobody.
  void abandon() {
    closed_ = true;
    stream_.close();
  }

 private:
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t n = 0) {
      if (!closed_) handler(error, n);
    };
  }

  void readHead() {
    http::async_read_header(stream_, in_, parser_, guard([this](const Error& error, std::size_t) {
                              if (error) return failed(error);
                              if (!plainFraming(parser_.get()))
                                return failed(http::error::bad_transfer_encoding);
                              expectsMore() ? sayContinue() : readBody();
                            }));
  }

  void close() {
    abandon();
    server_.sessions_.erase(at_);
  }

  bool expectsMore() const {
    return !parser_.is_done() && beast::iequals(parser_.get()[http::field::expect], "100-continue");
  }

  void sayContinue() {
    interim_ = CallReply(http::status::continue_, 11);
    http::async_write(stream_, interim_,
                      guard([this](const Error& error, std::size_t) { error ? close() : readBody(); }));
  }

  void readBody() {
    http::async_read(stream_, in_, parser_,
                     guard([this](const Error& error, std::size_t) { error ? failed(error) : handle(); }));
  }

  // The handler answers now or later; the caller may have gone by then.
  void handle() {
    stream_.expires_after(server_.limits_.handleWithin);
    server_.handler_(parser_.release(), [weak = weak_from_this()](CallReply&& text) {
      const auto self = weak.lock();
      if (self && !self->closed_ && !self->reply_) self->answer(std::move(text));
    });
  }

  // A caller that has gone or has been too slow is owed its end, one that sent something else a response.
  void failed(const Error& error) {
    const bool gone = error == http::error::end_of_stream || error == http::error::partial_message ||
                      error.category() != make_error_code(http::error::bad_method).category();
    if (gone) return close();
    answer(callReply(error == http::error::body_limit     ? http::status::payload_too_large
                     : error == http::error::header_limit ? http::status::request_header_fields_too_large
                                                          : http::status::bad_request,
                     "malformed call\n"));
  }

  void answer(CallReply&& text) {
    reply_ = std::move(text);
    reply_->keep_alive(false);
    reply_->prepare_payload();
    stream_.expires_after(server_.limits_.answerWithin);
    http::async_write(stream_, *reply_,
                      guard([this](const Error& error, std::size_t) { error ? close() : linger(); }));
  }

  // So that what the caller was still sending does not reset the response that it has not read.
  void linger() {
    Error ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.expires_after(server_.limits_.lingerFor);
    drop();
  }
  void drop() {
    stream_.async_read_some(asio::buffer(dropped_),
                            guard([this](const Error& error, std::size_t) { error ? close() : drop(); }));
  }

  CallServer& server_;
  beast::tcp_stream stream_;
  beast::flat_buffer in_{2 * kMostHead + kReadAhead};
  http::request_parser<http::string_body> parser_;
  CallReply interim_;
  std::optional<CallReply> reply_;
  std::array<char, 1024> dropped_{};
  Sessions::iterator at_;
  bool closed_ = false;
};

CallServer::CallServer(asio::io_context& io, const tcp::endpoint& address, const Limits& limits,
                       Handler handler)
    : limits_(limits),
      handler_(std::move(handler)),
      acceptor_(io, address, "for calls", [this](tcp::socket socket) { add(std::move(socket)); }) {}

CallServer::~CallServer() {
  for (const auto& session : sessions_) session->abandon();
}

// At the limit the oldest session makes room: one that is answered has waited for its peer at least as long
// as the newest call has.
void CallServer::add(tcp::socket socket) {
  if (sessions_.size() >= limits_.connections) {
    sessions_.front()->abandon();
    sessions_.pop_front();
  }
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->start(sessions_.insert(sessions_.end(), session));
}

}  // namespace lilacmux
