// Attempts whose connection is still to come up when what they were started by no longer holds.
#include "upstream/connection_pool.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "gateway/upstream_response_reader.hpp"

namespace lilacmux::test {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class NoStreams : public ResponseSink {
 public:
  bool begun(RequestId, const ResponseHead&) override { return false; }
  void piece(RequestId, std::string&&) override {}
};

class ServerPool : public testing::Test {
 protected:
  static constexpr ServerId kServer = 7;

  ServerPool() {
    pool.place(kServer, {listener.local_endpoint(), 0});
    listener.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error) return;
      accepted.emplace(std::move(socket));
      accepted->async_read_some(asio::buffer(piece),
                                [this](const boost::system::error_code&, std::size_t n) { received = n; });
    });
  }
  void start(std::function<bool()> mayBeSent = {}) {
    UpstreamRequest message;
    message.head = "GET / HTTP/1.1\r\n\r\n";
    message.mayBeSent = std::move(mayBeSent);
    pool.start(1, 0, kServer, std::move(message), std::nullopt);
  }
  void untilBothEnds() {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!end || !received) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
      ASSERT_LT(std::chrono::steady_clock::now(), limit);
    }
  }

  asio::io_context io{1};
  tcp::acceptor listener{io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::optional<tcp::socket> accepted;
  std::array<char, 256> piece{};
  std::optional<std::size_t> received;  // by the server, in its first read
  std::optional<AttemptEnd> end;
  MemoryBudget budget{1 << 20};
  RequestCounters figures{{"any"}};
  const UpstreamResponseReader answers{};
  NoStreams sink;
  UpstreamConnectionPool pool{
      io, UpstreamConnectionPool::Limits{}, budget, figures, answers, sink, [this](AttemptEnd&& told) {
        end = std::move(told);
      }};
};

TEST_F(ServerPool, NothingGoesToAServerThatWasRetiredWhileItsConnectionCameUp) {
  start();
  pool.retire(kServer);
  untilBothEnds();
  EXPECT_EQ(end->outcome.result, AttemptResult::connectFailed) << "so that another server is asked";
  EXPECT_EQ(*received, 0u);
}

TEST_F(ServerPool, NothingGoesOutThatMayNoLongerOnceTheConnectionIsUp) {
  bool may = true;
  start([&] { return may; });
  may = false;
  untilBothEnds();
  EXPECT_EQ(end->outcome.result, AttemptResult::abandoned);
  EXPECT_EQ(*received, 0u);
}

TEST_F(ServerPool, WhatMayBeSentIs) {
  start([] { return true; });
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!received && std::chrono::steady_clock::now() < limit) io.run_one_for(std::chrono::milliseconds(20));
  EXPECT_GT(received.value_or(0), 0u);
}

}  // namespace
}  // namespace lilacmux::test
