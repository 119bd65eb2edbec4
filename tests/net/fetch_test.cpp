// Calls on a kept connection to a server that answers a call twice: no call gets another's answer.
#include "net/fetch.hpp"

#include <gtest/gtest.h>

#include "gatekeeper/loopback.hpp"

namespace lilacmux::test {
namespace {

class FetchedTwice : public Loopback {
 protected:
  void call(const std::string& target) {
    const std::size_t before = server.count("\r\n\r\n");
    fetcher.get(target, std::chrono::seconds(5), [this](std::optional<Fetched> fetched) {
      ASSERT_TRUE(fetched.has_value());
      bodies.push_back(fetched->body);
    });
    until([&] { return server.count("\r\n\r\n") == before + 1; }, "the call at the server");
  }
  void untilBodies(std::size_t count) {
    until([&] { return bodies.size() == count; }, "an answer");
  }

  Listener server{io};
  Fetcher fetcher{io, server.address()};
  std::vector<std::string> bodies;
};

// Guards against a grant of keys that is taken for another one's answer: a second answer in the same read.
TEST_F(FetchedTwice, ASecondAnswerInTheSameReadIsNotTheNextCallsAnswer) {
  call("/first");
  server.peers[0]->send(reply("200 OK", "first") + reply("200 OK", "first"));
  untilBodies(1);
  call("/second");
  ASSERT_EQ(server.peers.size(), 2u) << "the connection is used again";
  server.peers[1]->send(reply("200 OK", "second"));
  untilBodies(2);
  EXPECT_EQ(bodies[1], "second");
}

// The same where it comes while the connection rests.
TEST_F(FetchedTwice, ASecondAnswerBetweenTwoCallsIsNotTheNextCallsAnswer) {
  call("/first");
  server.peers[0]->send(reply("200 OK", "first"));
  untilBodies(1);
  server.peers[0]->send(reply("200 OK", "first"));
  call("/second");
  ASSERT_EQ(server.peers.size(), 2u) << "the connection is used again";
  server.peers[1]->send(reply("200 OK", "second"));
  untilBodies(2);
  EXPECT_EQ(bodies[1], "second");
}

// Known to be red: these answers carry nothing that tells which call they are for.
TEST_F(FetchedTwice, ASecondAnswerBehindTheNextCallIsNotItsAnswer) {
  call("/first");
  server.peers[0]->send(reply("200 OK", "first"));
  untilBodies(1);
  call("/second");
  server.peers[0]->send(reply("200 OK", "first") + reply("200 OK", "second"));
  untilBodies(2);
  EXPECT_EQ(bodies[1], "second");
}

TEST_F(FetchedTwice, AConnectionWithOneAnswerACallIsKept) {
  for (const std::string name : {"first", "second"}) {
    call("/" + name);
    server.peers[0]->send(reply("200 OK", name));
    untilBodies(name == "first" ? 1 : 2);
  }
  EXPECT_EQ(server.peers.size(), 1u);
}

}  // namespace
}  // namespace lilacmux::test
