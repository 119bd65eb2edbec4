// Messages between members over sockets: states do not delay heartbeats and do not accumulate in a queue.
#include "control/member_links.hpp"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <string>

#include "net/frame_server.hpp"

namespace lilacmux::test {
namespace {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t kLargeState = 6 << 20;  // exceeds the socket buffers between two processes

MemberMessage heartbeat() {
  MemberMessage out;
  out.kind = MemberMessage::Kind::heartbeat;
  out.from = "10.0.0.1:7560";
  return out;
}

MemberMessage stateOf(std::uint64_t sequence, std::size_t bytes) {
  MemberMessage out = heartbeat();
  out.kind = MemberMessage::Kind::replicate;
  out.sequence = sequence;
  out.state.emplace();
  out.state->sequence = out.state->revision = sequence;
  out.state->body = std::make_shared<const std::string>(bytes, 'x');
  return out;
}

std::string textOf(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

class MemberLinksTest : public testing::Test {
 protected:
  // Runs the io_context until `condition` holds; fails after 20 s.
  void runUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!condition()) {
      ASSERT_LT(std::chrono::steady_clock::now(), end);
      io.restart();
      io.run_one_for(100ms);
    }
  }
  boost::asio::io_context io;
};

// The receiving member has stopped reading the connection that carries the state.
TEST_F(MemberLinksTest, DeliversAHeartbeatWhileAStateIsNotRead) {
  tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  struct Reader {
    explicit Reader(tcp::socket from) : socket(std::move(from)) {}
    tcp::socket socket;
    std::array<char, 512> bytes{};
  };
  std::list<Reader> readers;
  int states = 0, heartbeats = 0;
  std::function<void()> accept = [&] {
    acceptor.async_accept([&](const boost::system::error_code& error, tcp::socket socket) {
      if (error) return;
      Reader& reader = readers.emplace_back(std::move(socket));
      reader.socket.async_read_some(boost::asio::buffer(reader.bytes),
                                    [&](const boost::system::error_code& readError, std::size_t n) {
                                      if (readError) return;
                                      const std::string start(reader.bytes.data(), n);
                                      ++(start.find("\"sync\"") != std::string::npos ? states : heartbeats);
                                    });
      accept();
    });
  };
  accept();
  MemberLinks links(io);
  const NodeId peer = textOf(acceptor.local_endpoint());
  links.send(peer, stateOf(1, kLargeState));
  runUntil([&] { return states == 1; });
  links.send(peer, heartbeat());
  runUntil([&] { return heartbeats == 1; });
  EXPECT_EQ(readers.size(), 2u);
}

TEST_F(MemberLinksTest, DoesNotResendAStateInFlight) {
  int states = 0;
  FrameServer::Reply pendingReply;
  FrameServer server(
      io, {boost::asio::ip::make_address("127.0.0.1"), 0}, 8,
      [&](Frame&& frame, const FrameServer::Reply& reply) {
        if (frame.head.at("t") != "sync") return reply({{{"t", "heard"}}, {}});
        ++states;
        pendingReply = reply;
      },
      [](const std::string&) {});
  MemberLinks links(io);
  const NodeId peer = textOf(server.address());
  links.send(peer, stateOf(1, 100));
  links.send(peer, stateOf(1, 100));
  runUntil([&] { return states > 0; });
  links.send(peer, stateOf(2, 100));
  runUntil([&] { return states > 1; });
  EXPECT_EQ(states, 2) << "state 1 is sent once, then state 2";
  pendingReply({{{"t", "heard"}}, {}});
  const int statesBefore = states;
  while (states == statesBefore) {  // a state may be resent once it is acknowledged
    links.send(peer, stateOf(2, 100));
    io.restart();
    io.run_one_for(10ms);
  }
  EXPECT_EQ(states, 3);
}

TEST(StateTimeout, GrowsWithTheSizeOfTheState) {
  EXPECT_GE(stateTimeout(8 << 20), 2700ms) << "8 MB at a quarter of 100 Mbit/s";
  EXPECT_LE(stateTimeout(1000), 700ms);
}

}  // namespace
}  // namespace lilacmux::test
