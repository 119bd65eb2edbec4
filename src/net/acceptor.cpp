#include "net/acceptor.hpp"

#include <chrono>
#include <stdexcept>
#include <string>

namespace lilacmux {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;

constexpr auto kPause = std::chrono::milliseconds(50);  // after an accept that failed

}  // namespace

std::optional<tcp::socket> acceptNow(tcp::acceptor& acceptor) {
  Error error;
  tcp::socket socket(acceptor.get_executor());
  acceptor.accept(socket, error);
  if (error) return std::nullopt;
  return socket;
}

Acceptor::Acceptor(asio::io_context& io, const tcp::endpoint& address, const char* where, Came came)
    : came_(std::move(came)), acceptor_(io), pause_(io) {
  try {
    acceptor_.open(address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(address);
    acceptor_.listen();
    acceptor_.non_blocking(true);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(std::string("cannot listen ") + where + ": " + error.what());
  }
  accept();
}

// Those that are there already. An accept that fails is met again by the one that follows.
void Acceptor::acceptWaiting() {
  for (unsigned taken = 1; taken < kAtOnce; ++taken) {
    auto socket = acceptNow(acceptor_);
    if (!socket) return;
    came_(std::move(*socket));
  }
}

void Acceptor::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      came_(std::move(socket));
      acceptWaiting();
      return accept();
    }
    pause_.expires_after(kPause);
    pause_.async_wait([this](const Error& late) {
      if (!late) accept();
    });
  });
}

}  // namespace lilacmux
