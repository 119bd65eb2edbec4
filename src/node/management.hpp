// The operators' second address: one call a connection, answered or closed within a hard time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <list>
#include <memory>
#include <string>

#include "node/http.hpp"

namespace burlwind {

// What the calls act on. All may be repeated.
class Operator {
 public:
  virtual ~Operator() = default;
  virtual bool takesClients() const = 0;
  virtual std::string figures() const = 0;
  // Whether the worker is known.
  virtual bool suspend(const std::string& instanceId) = 0;
  virtual bool resume(const std::string& instanceId) = 0;
  virtual void sendAway() = 0;
  virtual void takeAgain() = 0;
};

class ManagementServer {
 public:
  struct Limits {
    std::size_t connections = 12;                 // descriptors kept back for them
    std::chrono::milliseconds wholeWithin{1500};  // a call, from its connection's begin
    std::chrono::milliseconds answerWithin{1000};
    std::chrono::milliseconds lingerFor{200};
  };

  // Throws std::runtime_error if it cannot listen.
  ManagementServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                   const Limits& limits, Operator& target);
  ~ManagementServer();
  ManagementServer(const ManagementServer&) = delete;
  ManagementServer& operator=(const ManagementServer&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;
  using Sessions = std::list<std::shared_ptr<Session>>;

  void accept();
  void add(boost::asio::ip::tcp::socket socket);

  const Limits limits_;
  Operator& operator_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  Sessions sessions_;  // the oldest first
};

}  // namespace burlwind
