// The operators' second address: one call a connection, answered or closed within a hard time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "http/call_server.hpp"

namespace lilacmux {

// What the calls act on. All may be repeated.
class OperatorCommands {
 public:
  virtual ~OperatorCommands() = default;
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
  using Limits = CallServer::Limits;

  // Throws std::runtime_error if it cannot listen.
  ManagementServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                   const Limits& limits, OperatorCommands& target);

  boost::asio::ip::tcp::endpoint address() const { return calls_.address(); }
  std::size_t connections() const { return calls_.connections(); }

 private:
  CallServer calls_;
};

}  // namespace lilacmux
