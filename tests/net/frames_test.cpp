// Frames between processes: decoding, and the connections that carry them.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <vector>

#include "consensus/member_message_codec.hpp"
#include "fleet/follow_codec.hpp"
#include "net/frame.hpp"
#include "net/frame_client.hpp"
#include "net/frame_server.hpp"

namespace lilacmux::test {
namespace {

// Guards against a process that ends because a name of an earlier version's configuration is not UTF-8.
TEST(Frames, ATextThatIsNotUtf8IsSentWithReplacementCharacters) {
  Frame frame;
  frame.head = {{"t", "x"},
                {"demands",
                 {{"B\xfc"
                   "cherei",
                   1}}}};
  std::string bytes;
  ASSERT_NO_THROW(bytes = encode(frame));
  Frame out;
  EXPECT_EQ(decode(bytes, out), Decoded::frame);
  EXPECT_TRUE(
      out.head["demands"].contains("B\xef\xbf\xbd"
                                   "cherei"))
      << out.head;
}

TEST(Frames, AreTakenWholeAndRubbishIsSeen) {
  Frame frame;
  frame.head = {{"t", "x"}};
  frame.body = "bytes";
  const std::string bytes = encode(frame);
  std::string in;
  Frame out;
  for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
    in += bytes[i];
    EXPECT_EQ(decode(in, out), Decoded::incomplete);
  }
  in += bytes.back();
  in += bytes;
  EXPECT_EQ(decode(in, out), Decoded::frame);
  EXPECT_EQ(out.body, "bytes");
  EXPECT_EQ(decode(in, out), Decoded::frame);
  EXPECT_TRUE(in.empty());
  std::string rubbish = "GET / HTTP/1.1\r\n\r\n";
  EXPECT_EQ(decode(rubbish, out), Decoded::malformed);
  std::string notJson(8, '\0');
  notJson[3] = 2;
  notJson += "xx";
  EXPECT_EQ(decode(notJson, out), Decoded::malformed);
  EXPECT_FALSE(decodeMemberMessage(Frame{{{"t", "beat"}, {"from", 1}}, ""}));
  EXPECT_FALSE(parseFollowRequest(Frame{{{"t", "follow"}, {"name", "n"}}, ""}));
}

// A machine that is down says nothing to a connection that comes up: what is said to it must fail long before
// the call's own time, so that the next word goes over a new connection once the machine is back.
TEST(Frames, AConnectionThatDoesNotComeUpIsGivenUpEarly) {
  boost::asio::io_context io;
  using boost::asio::ip::tcp;
  tcp::acceptor deaf(io, tcp::v4());
  deaf.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
  deaf.listen(0);
  std::vector<tcp::socket> fill;  // its queue, so that what comes next is not answered
  for (int i = 0; i < 4; ++i) {
    fill.emplace_back(io);
    fill.back().async_connect(deaf.local_endpoint(), [](const boost::system::error_code&) {});
  }
  io.run_for(std::chrono::milliseconds(20));
  io.restart();
  FrameClient client(io, deaf.local_endpoint());
  bool failed = false, late = false;
  client.call({{{"t", "x"}}, {}}, std::chrono::seconds(20), [&](std::optional<Frame> answer) {
    failed = !answer;
    io.stop();
  });
  boost::asio::steady_timer limit(io, std::chrono::seconds(5));
  limit.async_wait([&](const boost::system::error_code& error) {
    late = !error;
    io.stop();
  });
  io.run();
  EXPECT_TRUE(failed);
  EXPECT_FALSE(late);
}

// Where a machine has as many connections as it keeps, the one that goes is not the oldest but the longest
// silent: that of a machine that lost its power, and not that of one that calls four times a second.
TEST(Frames, TheLongestSilentConnectionMakesRoom) {
  boost::asio::io_context io;
  FrameServer::Reply held;
  FrameServer server(
      io, {boost::asio::ip::make_address("127.0.0.1"), 0}, 2,
      [&](Frame&& frame, const FrameServer::Reply& reply) {
        if (frame.head.at("t") == "held")
          held = reply;
        else
          reply({{{"t", "x"}}, {}});
      },
      [](const std::string&) {});
  const auto until = [&](const std::function<bool()>& holds) {
    while (!holds()) {
      io.restart();
      io.run_one_for(std::chrono::seconds(20));
    }
  };
  FrameClient calls(io, server.address()), silent(io, server.address()), late(io, server.address());
  const auto ask = [&](FrameClient& client, const char* what, std::optional<bool>& answered) {
    client.call({{{"t", what}}, {}}, std::chrono::seconds(20),
                [&](std::optional<Frame> answer) { answered = answer.has_value(); });
  };
  std::optional<bool> first, second, third, out;
  ask(calls, "x", first);
  until([&] { return first.has_value(); });
  ask(silent, "x", second);
  until([&] { return second.has_value(); });
  ask(calls, "held", out);
  until([&] { return static_cast<bool>(held); });
  ask(late, "x", third);
  until([&] { return third.has_value(); });
  EXPECT_TRUE(*third);
  held({{{"t", "x"}}, {}});
  until([&] { return out.has_value(); });
  EXPECT_TRUE(*out) << "the connection that was heard last was taken";
}

}  // namespace
}  // namespace lilacmux::test
