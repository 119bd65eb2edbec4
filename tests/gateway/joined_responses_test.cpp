// Servers that answer twice, or cut an answer off and send it again on the same connection, at every byte: no
// bytes of one response reach a client as another's or as a part of another's.
#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>
#include <vector>

#include "gateway/upstream_responses.hpp"

namespace lilacmux::test {
namespace {

// How a response's length is told.
enum class Framing { length, chunked, none, noContent, notModified, afterInterim };
constexpr Framing kFramings[] = {Framing::length,    Framing::chunked,     Framing::none,
                                 Framing::noContent, Framing::notModified, Framing::afterInterim};

// A response as its server made it.
struct Answer {
  unsigned status = 0;
  std::string body, text;
};

std::string fieldsOf(const std::string& id) {
  return "X-Filler: some words\r\nX-Server-Seal: seal-" + id + "\r\nX-Attempt-Id: " + id + "\r\n";
}

std::string lengthOf(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
}

std::string statusLine(unsigned status) { return "HTTP/1.1 " + std::to_string(status) + " Words of it\r\n"; }

std::string inChunks(const std::string& body) {
  std::ostringstream out;
  if (!body.empty())
    out << std::hex << body.size() << "\r\n" << body << "\r\n";  // an empty chunk is the last
  out << "5\r\n-more\r\n0\r\n\r\n";
  return out.str();
}

Answer answerOf(Framing framing, const std::string& id, unsigned status, const std::string& body) {
  const std::string start = statusLine(status) + fieldsOf(id);
  switch (framing) {
    case Framing::length:
      return {status, body, start + lengthOf(body) + body};
    case Framing::chunked:
      return {status, body + "-more", start + "Transfer-Encoding: chunked\r\n\r\n" + inChunks(body)};
    case Framing::none:
      return {status, body, start + "\r\n" + body};
    case Framing::noContent:
      return {204, "", statusLine(204) + fieldsOf(id) + "\r\n"};
    case Framing::notModified:
      return {304, "", statusLine(304) + fieldsOf(id) + "\r\n"};
    case Framing::afterInterim:
      return {status, body, "HTTP/1.1 100 Continue\r\n\r\n" + start + lengthOf(body) + body};
  }
  return {};
}

class JoinedResponses : public UpstreamResponses {
 protected:
  // An attempt that has been answered, with its connection idle; and another one at the server there.
  PeerPtr askOnUsedConnection(const Answer& first) {
    ends.clear();
    ask(1, "a");
    const PeerPtr peer = worker.peers.back();
    peer->send(first.text);
    untilEnds(1);
    ask(2, "b");
    EXPECT_EQ(worker.peers.back(), peer);
    ends.clear();
    return peer;
  }

  // The attempt ended as its server answered it, or as one of which nobody knows.
  bool isIntact(const Answer& answer) const {
    const AttemptEnd& end = ends.front();
    if (!end.head) return end.outcome.result != AttemptResult::ok;
    return static_cast<unsigned>(end.head->status) == answer.status && end.body == answer.body;
  }
  bool isServed(const Answer& answer) const { return ends.front().head.has_value() && isIntact(answer); }

  // What the server sends, in these pieces; then its connection ends.
  void sendToEnd(const PeerPtr& peer, const std::vector<std::string>& sent) {
    for (const std::string& each : sent) {
      peer->send(each);
      settle();
    }
    peer->end();
    untilEnds(1);
    settle();
    worker.peers.clear();
  }
};

const std::string kBodies[] = {"", "abc", "twenty bytes of text", std::string(400, 'x')};

// A late second answer that is cut anywhere joins the head of the next answer, or swallows its begin.
TEST_F(JoinedResponses, ALateAnswerCutAnywhereIsNoPartOfTheNextOne) {
  for (const Framing framing : kFramings)
    for (const bool fails : {false, true})
      for (const bool atOnce : {false, true}) {
        if (framing == Framing::none) continue;  // its connection carries no other request
        const Answer first = answerOf(framing, "a", fails ? 500 : 200, kBodies[2]);
        const Answer second = answerOf(Framing::length, "b", fails ? 200 : 500, "the second one's");
        for (std::size_t cut = 1; cut <= first.text.size(); ++cut) {
          const PeerPtr peer = askOnUsedConnection(first);
          const std::string copy = first.text.substr(0, cut);
          sendToEnd(peer, atOnce ? std::vector{copy + second.text} : std::vector{copy, second.text});
          EXPECT_TRUE(isIntact(second))
              << static_cast<int>(framing) << " cut at " << cut << ", " << ends.front().body;
          if (cut < first.text.size()) continue;
          EXPECT_TRUE(isServed(second)) << static_cast<int>(framing);
        }
      }
}

// An answer that is cut anywhere and sent again: the repetition's head joins the head that was cut, or fills
// up the length that was told.
TEST_F(JoinedResponses, AnAnswerThatIsCutAnywhereAndRepeatedIsNotServedAsWhole) {
  for (const Framing framing : kFramings)
    for (const std::string& body : kBodies)
      for (const bool atOnce : {false, true}) {
        const Answer answer = answerOf(framing, "a", 200, body);
        for (std::size_t cut = 1; cut <= answer.text.size(); ++cut) {
          ends.clear();
          ask(1, "a");
          const std::string start = answer.text.substr(0, cut);
          sendToEnd(worker.peers.back(),
                    atOnce ? std::vector{start + answer.text} : std::vector{start, answer.text});
          EXPECT_TRUE(isIntact(answer))
              << static_cast<int>(framing) << " cut at " << cut << ", " << ends.front().body;
          if (cut < answer.text.size() || framing == Framing::none) continue;
          EXPECT_TRUE(isServed(answer)) << static_cast<int>(framing);
        }
      }
}

// The same with the repetition cut over two reads at each of its first bytes, so that the length is full
// before the repetition shows itself.
TEST_F(JoinedResponses, ARepetitionThatComesInTwoReadsIsFoundBehindTheLength) {
  const Answer answer = answerOf(Framing::length, "a", 200, kBodies[2]);
  for (std::size_t missing = 1; missing <= kBodies[2].size(); ++missing) {
    ends.clear();
    ask(1, "a");
    const std::string start = answer.text.substr(0, answer.text.size() - missing);
    sendToEnd(worker.peers.back(), {start, answer.text.substr(0, missing), answer.text.substr(missing)});
    EXPECT_TRUE(isIntact(answer)) << missing << " bytes missing, " << ends.front().body;
  }
}

// Known to be red: until the pause ends, the bytes are those of ABodyThatEndsLikeAHeadsBeginIsServed.
TEST_F(JoinedResponses, ARepetitionThatPausesWithinItsFirstBytesIsFound) {
  const Answer answer = answerOf(Framing::length, "a", 200, kBodies[2]);
  ask(1, "a");
  const PeerPtr peer = worker.peers.back();
  peer->send(answer.text.substr(0, answer.text.size() - 3) + answer.text.substr(0, 3));
  untilEnds(1);  // the server goes on after that
  peer->send(answer.text.substr(3));
  EXPECT_TRUE(isIntact(answer)) << ends.front().body;
}

// A whole second answer to an earlier request comes between two pieces of the next one.
TEST_F(JoinedResponses, ALateAnswerBetweenThePiecesOfTheNextOneIsNoPartOfIt) {
  const Answer first = answerOf(Framing::length, "a", 200, kBodies[2]);
  for (const Framing framing : kFramings) {
    const Answer second = answerOf(framing, "b", 200, kBodies[3]);
    for (std::size_t cut = 1; cut < second.text.size(); ++cut) {
      const PeerPtr peer = askOnUsedConnection(first);
      sendToEnd(peer, {second.text.substr(0, cut), first.text, second.text.substr(cut)});
      EXPECT_TRUE(isIntact(second)) << static_cast<int>(framing) << " cut at " << cut << ", "
                                    << ends.front().body;
    }
  }
}

// A large answer streams as it comes: the client gets no byte of the repetition, and no whole answer.
TEST_F(JoinedResponses, AStreamThatIsCutAnywhereAndRepeatedEndsAsBrokenOff) {
  const std::string body(70'000, 'b');
  for (const Framing framing : {Framing::length, Framing::chunked, Framing::none}) {
    const Answer answer = answerOf(framing, "a", 200, body);
    const std::size_t size = answer.text.size();
    for (std::size_t cut = 60; cut<size; cut += cut + 1200> size ? 1 : 4999) {
      ends.clear();
      pieces.clear();
      ask(1, "a");
      const PeerPtr peer = worker.peers.back();
      peer->sendLater(answer.text.substr(0, cut) + answer.text, true);
      const std::string got = streamUntilEnd(1);
      EXPECT_TRUE(ends.front().outcome.result != AttemptResult::ok) << "cut at " << cut;
      EXPECT_EQ(got, answer.body.substr(0, got.size())) << "cut at " << cut;
      settle();
      worker.peers.clear();
    }
  }
}

// An answer whose end cannot be told from a repetition's begin is whole if nothing follows it.
TEST_F(JoinedResponses, ABodyThatEndsLikeAHeadsBeginIsServed) {
  const std::string large(70'000, 'b');
  for (const std::string& body : {std::string("H"), std::string("some HTTP"), std::string("HTTP/1.1"),
                                  std::string("HTTP/1.1 20"), large + "H", large + "HTTP/1.1 2"}) {
    ends.clear();
    pieces.clear();
    const Answer answer = answerOf(Framing::length, "a", 200, body);
    ask(1, "a");
    worker.peers.back()->sendLater(answer.text);
    const std::string streamed = streamUntilEnd(1);
    EXPECT_EQ(ends.front().outcome.result, AttemptResult::ok) << body.substr(body.size() - 1);
    EXPECT_EQ(streamed + ends.front().body, body);
  }
}

// A document about HTTP is no second answer: it names no attempt.
TEST_F(JoinedResponses, ABodyThatHoldsAHeadWithoutAnAttemptIsServed) {
  const std::string body = "An example:\r\nHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nits body\r\n";
  const Answer answer = answerOf(Framing::length, "a", 200, body);
  ask(1, "a");
  worker.peers.back()->send(answer.text);
  untilEnds(1);
  EXPECT_TRUE(isServed(answer));
}

// Bytes that come while the connection rests are seen by the request that would use it next, also if that
// begins within the end of the one before: they never stand before its answer.
TEST_F(JoinedResponses, WhatCameBeforeARequestIsNoPartOfItsAnswer) {
  const std::size_t head = answerOf(Framing::length, "a", 200, std::string(1000, 'x')).text.size() - 1000;
  // The read that takes the answer takes no byte behind it.
  const Answer first = answerOf(Framing::length, "a", 200, std::string(kReadStep - head, 'x'));
  ASSERT_EQ(first.text.size(), kReadStep);
  const Answer second = answerOf(Framing::length, "b", 500, "the second one's");
  onEnd = [this] {
    if (ends.size() == 1) begin(2, "b");
  };
  ask(1, "a");
  worker.peers[0]->send(first.text + statusLine(200).substr(0, 16));
  untilSeen(2);
  ASSERT_EQ(worker.peers.size(), 2u) << "the connection is used again";
  worker.peers[1]->send(second.text);
  untilEnds(2);
  ends.erase(ends.begin());
  EXPECT_TRUE(isServed(second));
}

}  // namespace
}  // namespace lilacmux::test
