// A small HTTP server for calls, not for traffic: one call a connection, answered or closed within a hard
// time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "http/http.hpp"
#include "net/acceptor.hpp"

namespace lilacmux {

using CallReply = http::response<http::string_body>;

CallReply callReply(http::status status, std::string text, const char* type = "text/plain");

class CallServer {
 public:
  using Call = http::request<http::string_body>;
  // Answers the call once, now or later, also after its caller has gone.
  using Respond = std::function<void(CallReply&&)>;
  using Handler = std::function<void(Call&&, const Respond&)>;

  struct Limits {
    std::size_t connections = 12;  // descriptors kept back for them
    std::size_t maxBody = std::size_t{4} * 1024;
    std::chrono::milliseconds wholeWithin{1500};    // a call, from its connection's begin
    std::chrono::milliseconds handleWithin{10000};  // until the handler answers
    std::chrono::milliseconds answerWithin{1000};
    std::chrono::milliseconds lingerFor{200};
  };

  // Throws std::runtime_error if it cannot listen.
  CallServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, const Limits& limits,
             Handler handler);
  ~CallServer();
  CallServer(const CallServer&) = delete;
  CallServer& operator=(const CallServer&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.address(); }
  std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;
  using Sessions = std::list<std::shared_ptr<Session>>;

  void add(boost::asio::ip::tcp::socket socket);

  const Limits limits_;
  const Handler handler_;
  Sessions sessions_;  // the oldest first
  Acceptor acceptor_;
};

}  // namespace lilacmux
