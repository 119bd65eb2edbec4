#include "node/management.hpp"

#include <boost/beast/core/tcp_stream.hpp>
#include <optional>
#include <stdexcept>

namespace burlwind {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t kMostCall = 4 * 1024;  // of a call's head, and of its body, which says nothing
constexpr auto kAcceptPause = 50ms;          // after an accept that failed

using Reply = http::response<http::string_body>;

Reply reply(http::status status, std::string text) {
  Reply out(status, 11);
  out.set(http::field::content_type, "text/plain");
  out.body() = std::move(text);
  return out;
}

Reply wrongMethod(const char* allowed) {
  Reply out = reply(http::status::method_not_allowed, std::string("only ") + allowed + "\n");
  out.set(http::field::allow, allowed);
  return out;
}

Reply carryOut(const http::request<http::string_body>& call, Operator& target) {
  std::string_view rest = view(call.target());
  const std::string_view path = cut(rest, '?');
  const bool get = call.method() == http::verb::get, put = call.method() == http::verb::put;
  if (path == "/v1/readyz") {
    if (!get) return wrongMethod("GET");
    return target.takesClients() ? reply(http::status::ok, "ready\n")
                                 : reply(http::status::service_unavailable, "not ready\n");
  }
  if (path == "/v1/metrics") {
    if (!get) return wrongMethod("GET");
    return reply(http::status::ok, target.figures());
  }
  constexpr std::string_view workers = "/v1/loan-servers/";
  if (path.starts_with(workers)) {
    std::string_view left = path.substr(workers.size());
    const std::string id(cut(left, '/'));
    if (left != "suspend" && left != "resume") return reply(http::status::not_found, "no such path\n");
    if (!put) return wrongMethod("PUT");
    const bool known = left == "suspend" ? target.suspend(id) : target.resume(id);
    return known ? reply(http::status::ok, "done\n")
                 : reply(http::status::not_found, "no such loan server\n");
  }
  if (path == "/v1/gatekeeper/drain" || path == "/v1/gatekeeper/activate") {
    if (!put) return wrongMethod("PUT");
    path.ends_with("/drain") ? target.sendAway() : target.takeAgain();
    return reply(http::status::ok, "done\n");
  }
  return reply(http::status::not_found, "no such path\n");
}

}  // namespace

// One call. Whatever happens, the session ends within the limits' times.
class ManagementServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(ManagementServer& server, tcp::socket socket) : server_(server), stream_(std::move(socket)) {
    parser_.header_limit(kMostCall);
    parser_.body_limit(kMostCall);
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
    reply_ = Reply(http::status::continue_, 11);
    http::async_write(stream_, *reply_,
                      guard([this](const Error& error, std::size_t) { error ? close() : readBody(); }));
  }

  void readBody() {
    http::async_read(stream_, in_, parser_, guard([this](const Error& error, std::size_t) {
                       error ? failed(error) : answer(carryOut(parser_.get(), server_.operator_));
                     }));
  }

  // A caller that has gone or has been too slow is owed its end, one that sent something else an answer.
  void failed(const Error& error) {
    const bool gone = error == http::error::end_of_stream || error == http::error::partial_message ||
                      error.category() != make_error_code(http::error::bad_method).category();
    if (gone) return close();
    answer(reply(error == http::error::body_limit     ? http::status::payload_too_large
                 : error == http::error::header_limit ? http::status::request_header_fields_too_large
                                                      : http::status::bad_request,
                 "malformed call\n"));
  }

  void answer(Reply&& text) {
    reply_ = std::move(text);
    reply_->keep_alive(false);
    reply_->prepare_payload();
    stream_.expires_after(server_.limits_.answerWithin);
    http::async_write(stream_, *reply_,
                      guard([this](const Error& error, std::size_t) { error ? close() : linger(); }));
  }

  // So that what the caller was still sending does not reset the answer that it has not read.
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

  ManagementServer& server_;
  beast::tcp_stream stream_;
  beast::flat_buffer in_{2 * kMostCall};
  http::request_parser<http::string_body> parser_;
  std::optional<Reply> reply_;
  std::array<char, 1024> dropped_{};
  Sessions::iterator at_;
  bool closed_ = false;
};

ManagementServer::ManagementServer(asio::io_context& io, const tcp::endpoint& address, const Limits& limits,
                                   Operator& target)
    : limits_(limits), operator_(target), acceptor_(io), pause_(io) {
  try {
    acceptor_.open(address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(address);
    acceptor_.listen();
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(std::string("cannot listen for operators: ") + error.what());
  }
  accept();
}

ManagementServer::~ManagementServer() {
  for (const auto& session : sessions_) session->abandon();
}

// One accept is pending, always. At the limit the oldest session makes room: one that is answered has waited
// for its peer at least as long as the newest call has.
void ManagementServer::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) return add(std::move(socket));
    pause_.expires_after(kAcceptPause);
    pause_.async_wait([this](const Error& late) {
      if (!late) accept();
    });
  });
}

void ManagementServer::add(tcp::socket socket) {
  if (sessions_.size() >= limits_.connections) {
    sessions_.front()->abandon();
    sessions_.pop_front();
  }
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->start(sessions_.insert(sessions_.end(), session));
  accept();
}

}  // namespace burlwind
