// Listens at one address and hands on every connection that comes, one accept pending always; after one that
// failed, for want of descriptors say, it waits a little.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace burlwind {

class Acceptor {
 public:
  using Came = std::function<void(boost::asio::ip::tcp::socket)>;

  // Throws std::runtime_error, which says "cannot listen " and `where`, if it cannot.
  Acceptor(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, const char* where,
           Came came);

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  void accept();

  const Came came_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
};

}  // namespace burlwind
