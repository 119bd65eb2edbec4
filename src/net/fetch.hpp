// HTTP calls to one address, one at a time, over a connection that is kept.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lilacmux {

struct Fetched {
  unsigned status = 0;
  std::string body;
  boost::beast::http::fields fields;
};

struct FetchRequest {
  boost::beast::http::verb method = boost::beast::http::verb::get;
  std::string target;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  // Asked right before the request is written, when the connection is up; empty: it may be.
  std::function<bool()> mayBeSent;
};

struct FetchOutcome {
  std::optional<Fetched> response;  // absent: no whole response came
  bool wasSent = false;             // whether the peer may have received the request or may still do so
};

class Fetcher {
 public:
  using Done = std::function<void(std::optional<Fetched>)>;  // nothing: no whole answer came
  using CallDone = std::function<void(FetchOutcome)>;

  // How a connection ends.
  struct Options {
    // Closing resets the connection, and the system gives up unacknowledged bytes after `userTimeout`. So
    // nothing that was written reaches the peer much later.
    bool resetsOnClose = false;
    std::chrono::milliseconds userTimeout{0};  // 0: the system's default
  };

  Fetcher(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, Options options);
  Fetcher(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address)
      : Fetcher(io, address, Options{}) {}
  ~Fetcher();
  Fetcher(const Fetcher&) = delete;
  Fetcher& operator=(const Fetcher&) = delete;

  // Only while no other call is out.
  void get(const std::string& target, std::chrono::milliseconds within, Done done);
  void call(FetchRequest request, std::chrono::milliseconds within, CallDone done);

 private:
  class Session;
  boost::asio::io_context& io_;
  const boost::asio::ip::tcp::endpoint address_;
  const Options options_;
  std::shared_ptr<Session> session_;
};

}  // namespace lilacmux
