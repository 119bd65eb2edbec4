#include "net/fetch.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace lilacmux {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr std::uint64_t kMaxBody = 16 << 20;

}  // namespace

class Fetcher::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, const Options& options)
      : stream_(io), address_(address), options_(options) {}

  // Whether the next call may go out on this connection: nothing of an earlier exchange has come since.
  bool usable() {
    if (broken_) return false;
    char byte;
    Error error;
    stream_.socket().receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek,
                             error);
    return error == boost::asio::error::would_block;
  }

  void call(FetchRequest request, std::chrono::milliseconds within, CallDone done) {
    request_ = http::request<http::string_body>(request.method, request.target, 11);
    request_.set(http::field::host, address_.address().to_string() + ":" + std::to_string(address_.port()));
    for (const auto& [name, value] : request.fields) request_.set(name, value);
    request_.body() = std::move(request.body);
    if (request.method != http::verb::get) request_.prepare_payload();
    mayBeSent_ = std::move(request.mayBeSent);
    wasSent_ = false;
    done_ = std::move(done);
    stream_.expires_after(within);
    if (up_) return write();
    stream_.async_connect(address_, [self = shared_from_this(), this](const Error& error) {
      if (error) return finish(error);
      up_ = true;
      Error ignored;
      stream_.socket().non_blocking(true, ignored);
      applyOptions();
      write();
    });
  }

  void drop() {
    done_ = nullptr;
    stream_.close();
  }

 private:
  void applyOptions() {
    Error ignored;
    if (options_.resetsOnClose)
      stream_.socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
    const auto ms = static_cast<unsigned>(options_.userTimeout.count());
    if (ms > 0) ::setsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
  }

  void write() {
    if (mayBeSent_ && !mayBeSent_()) return finish(boost::asio::error::operation_aborted);
    wasSent_ = true;
    http::async_write(stream_, request_, [self = shared_from_this(), this](const Error& error, std::size_t) {
      error ? finish(error) : read();
    });
  }

  void read() {
    parser_.emplace();
    parser_->body_limit(kMaxBody);
    http::async_read(stream_, in_, *parser_,
                     [self = shared_from_this(), this](const Error& error, std::size_t) { finish(error); });
  }

  void finish(const Error& error) {
    FetchOutcome out;
    out.wasSent = wasSent_;
    if (error) {
      broken_ = true;
      stream_.close();
    } else {
      auto answer = parser_->release();
      broken_ = !answer.keep_alive() || in_.size() > 0;
      Fetched fetched;
      fetched.status = answer.result_int();
      fetched.body = std::move(answer.body());
      fetched.fields = std::move(answer.base());
      out.response = std::move(fetched);
    }
    parser_.reset();
    mayBeSent_ = nullptr;
    if (const CallDone done = std::exchange(done_, nullptr)) done(std::move(out));
  }

  beast::tcp_stream stream_;
  const boost::asio::ip::tcp::endpoint address_;
  const Options options_;
  beast::flat_buffer in_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::function<bool()> mayBeSent_;
  CallDone done_;
  bool wasSent_ = false;
  bool up_ = false, broken_ = false;
};

Fetcher::Fetcher(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, Options options)
    : io_(io), address_(address), options_(options) {}

Fetcher::~Fetcher() {
  if (session_) session_->drop();
}

void Fetcher::get(const std::string& target, std::chrono::milliseconds within, Done done) {
  FetchRequest request;
  request.target = target;
  call(std::move(request), within,
       [done = std::move(done)](FetchOutcome&& outcome) { done(std::move(outcome.response)); });
}

void Fetcher::call(FetchRequest request, std::chrono::milliseconds within, CallDone done) {
  if (!session_ || !session_->usable()) session_ = std::make_shared<Session>(io_, address_, options_);
  session_->call(std::move(request), within, std::move(done));
}

}  // namespace lilacmux
