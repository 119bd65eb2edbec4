// Listens at one address and hands on every connection that comes, one accept pending always; after one that
// failed, for want of descriptors say, it waits a little. Whoever waits to be accepted is taken in with the
// first, up to a bound: one for each turn of a busy loop would leave a crowd waiting until it gives up, and
// comes again.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace lilacmux {

// A connection that waits to be accepted. Nothing: none does, or it cannot be had. The acceptor does not
// block.
std::optional<boost::asio::ip::tcp::socket> acceptNow(boost::asio::ip::tcp::acceptor& acceptor);

class Acceptor {
 public:
  using Came = std::function<void(boost::asio::ip::tcp::socket)>;

  static constexpr unsigned kAtOnce = 64;  // connections taken in one turn of the loop

  // Throws std::runtime_error, which says "cannot listen " and `where`, if it cannot.
  Acceptor(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, const char* where,
           Came came);

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  void accept();
  void acceptWaiting();

  const Came came_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
};

}  // namespace lilacmux
