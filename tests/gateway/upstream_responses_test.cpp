// An answer goes to the request whose id it carries, and to no other, however surplus ones come.
#include "gateway/upstream_responses.hpp"

#include <thread>

namespace lilacmux::test {
namespace {

TEST_F(UpstreamResponses, ALateSurplusAnswerIsPassedOverAndEndsItsConnection) {
  ask(1, "a");
  worker.peers.back()->send(seal("a", "first"));
  untilEnds(1);
  EXPECT_EQ(byId->connections(), 1u);
  ask(2, "b");  // on the same connection
  ASSERT_EQ(worker.peers.size(), 1u);
  worker.peers.back()->send(seal("a", "first, once more") + seal("b", "second"));
  untilEnds(2);
  EXPECT_EQ(ends[1].outcome.result, AttemptResult::ok);
  EXPECT_EQ(ends[1].body, "second");
  EXPECT_EQ(byId->connections(), 0u) << "what sent a surplus answer is used no further";
}

// In one piece, or cut anywhere.
TEST_F(UpstreamResponses, ASurplusAnswerCutOverReadsIsPassedOverToo) {
  const std::string surplus = seal("a", "once more"), mine = seal("b", "mine"), all = surplus + mine;
  for (std::size_t cut : {std::size_t{5}, surplus.size() - 4, surplus.size(), surplus.size() + 9}) {
    ends.clear();
    ask(7, "b");
    const auto peer = worker.peers.back();
    peer->send(all.substr(0, cut));
    io.restart();
    io.poll();
    peer->send(all.substr(cut));
    untilEnds(1);
    EXPECT_EQ(ends[0].outcome.result, AttemptResult::ok) << cut;
    EXPECT_EQ(ends[0].body, "mine") << cut;
  }
}

// Behind the answer in the same read, it never meets another request.
TEST_F(UpstreamResponses, ASecondAnswerBehindTheFirstEndsTheConnection) {
  ask(1, "a");
  worker.peers.back()->send(seal("a", "first") + seal("a", "first, once more"));
  untilEnds(1);
  EXPECT_EQ(ends[0].body, "first");
  EXPECT_EQ(byId->connections(), 0u);
}

TEST_F(UpstreamResponses, WhatCarriesNoIdOrTwoIsNobodysAndMayHaveRun) {
  const std::string two = "X-Server-Seal: s\r\nX-Attempt-Id: a\r\nX-Attempt-Id: a\r\n";
  for (const std::string& text :
       {reply("200 OK", "whose", "X-Server-Seal: s\r\n"), reply("200 OK", "whose", two)}) {
    ends.clear();
    ask(1, "a");
    worker.peers.back()->send(text);
    untilEnds(1);
    EXPECT_EQ(ends[0].outcome.result, AttemptResult::malformed);
    EXPECT_EQ(byId->connections(), 0u);
  }
}

// A worker that goes on with surplus answers for ever is given up.
TEST_F(UpstreamResponses, SurplusWithoutEndIsGivenUp) {
  ask(1, "b");
  std::string many;
  for (int i = 0; i < 20; ++i) many += seal("a", "once more");
  worker.peers.back()->send(many);
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::malformed);
}

// What turned a request away may do so twice. Sent once more, the request carries the same id, so it goes
// where no late copy of that answer can come; others use the connection on.
TEST_F(UpstreamResponses, ARequestThatWasTurnedAwayIsNotAskedAgainOnTheSameConnection) {
  const std::string away = reply("503 Full", "", "X-Not-Executed: 1\r\nX-Attempt-Id: a\r\n");
  ask(1, "a");
  worker.peers[0]->send(away);
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::full);
  ask(2, "a");
  ASSERT_EQ(worker.peers.size(), 2u);
  worker.peers[0]->send(away);
  worker.peers[1]->send(seal("a", "mine"));
  untilEnds(2);
  EXPECT_EQ(ends[1].outcome.result, AttemptResult::ok);
  EXPECT_EQ(ends[1].body, "mine");
}

TEST_F(UpstreamResponses, AConnectionOnWhichOneWasTurnedAwayServesOthers) {
  ask(1, "a");
  worker.peers[0]->send(reply("503 Full", "", "X-Not-Executed: 1\r\nX-Attempt-Id: a\r\n"));
  untilEnds(1);
  ask(2, "b");
  EXPECT_EQ(worker.peers.size(), 1u);
}

// The server answers and ends while the request is still being written: its own failure says that it has run.
TEST_F(UpstreamResponses, AnAnswerAheadOfTheWholeRequestCountsAlsoWhereTheRestCannotBeWritten) {
  const auto body = std::make_shared<const std::string>(32'000'000, 'b');
  byId->start(1, 0, 1, {"POST / HTTP/1.1\r\nX-Attempt-Id: a\r\n\r\n", body, 0, "a"}, std::nullopt);
  untilStuck();
  worker.peers[0]->send(reply("500 Failed", "early", "X-Server-Seal: s\r\nX-Attempt-Id: a\r\n"));
  worker.peers[0]->end();  // with bytes unread: a reset
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::error);
  EXPECT_EQ(ends[0].body, "early");
  EXPECT_EQ(byId->connections(), 0u);
}

// The same, cut off: it has begun to answer, so it may have run.
TEST_F(UpstreamResponses, AnAnswerBegunAheadOfTheWholeRequestMayHaveRun) {
  const auto body = std::make_shared<const std::string>(32'000'000, 'b');
  byId->start(1, 0, 1, {"POST / HTTP/1.1\r\nX-Attempt-Id: a\r\n\r\n", body, 0, "a"}, std::nullopt);
  untilStuck();
  worker.peers[0]->send("HTTP/1.1 500 Fail");
  worker.peers[0]->end();
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::reset);
}

// Guards against a booking that runs twice: a server runs a request before it has read a long body, and the
// connection is reset before its answer comes.
TEST_F(UpstreamResponses, ARequestWhoseBodyIsHalfWrittenWhenItsConnectionBreaksMayHaveRun) {
  const auto body = std::make_shared<const std::string>(32'000'000, 'b');
  byId->start(1, 0, 1, {"POST / HTTP/1.1\r\nX-Attempt-Id: a\r\n\r\n", body, 0, "a"}, std::nullopt);
  untilStuck();
  worker.peers[0]->end();
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::reset);
}

// The end of its head was never written, so no server can know what is asked.
TEST_F(UpstreamResponses, ARequestWhoseHeadIsHalfWrittenWhenItsConnectionBreaksHasNotRun) {
  std::string head = "GET / HTTP/1.1\r\nX-Attempt-Id: a\r\nX-Long: ";
  head.append(32'000'000, 'h').append("\r\n\r\n");
  byId->start(1, 0, 1, {head, nullptr, 0, "a"}, std::nullopt);
  untilStuck();
  worker.peers[0]->end();
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::connectFailed);
}

TEST_F(UpstreamResponses, AnAnswerWithoutLengthThatIsResetWhileTheRequestIsStillWrittenIsNotWhole) {
  const auto body = std::make_shared<const std::string>(32'000'000, 'b');
  byId->start(1, 0, 1, {"POST / HTTP/1.1\r\nX-Attempt-Id: a\r\n\r\n", body, 0, "a"}, std::nullopt);
  untilStuck();
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Attempt-Id: a\r\n\r\na part of the bo");
  worker.peers[0]->end();  // with bytes unread: a reset
  untilEnds(1);
  EXPECT_NE(ends[0].outcome.result, AttemptResult::ok) << "body: " << ends[0].body;
}

// The same with the whole request written: the system tells the reset to the read.
TEST_F(UpstreamResponses, AnAnswerWithoutLengthThatIsResetIsNotWhole) {
  const auto body = std::make_shared<const std::string>(200'000, 'b');
  byId->start(1, 0, 1, {"POST / HTTP/1.1\r\nX-Attempt-Id: a\r\n\r\n", body, 0, "a"}, std::nullopt);
  untilStuck();
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Attempt-Id: a\r\n\r\na part of the bo");
  worker.peers[0]->end();
  untilEnds(1);
  EXPECT_NE(ends[0].outcome.result, AttemptResult::ok) << "body: " << ends[0].body;
}

// A stutter behind an answer without length: the second answer's bytes are no part of the first one's body.
TEST_F(UpstreamResponses, ASecondAnswerBehindOneWithoutLengthIsNoPartOfIt) {
  ask(1, "a");
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Attempt-Id: a\r\n\r\nfirst" +
                        seal("a", "first"));
  worker.peers[0]->end();
  untilEnds(1);
  EXPECT_TRUE(ends[0].outcome.result != AttemptResult::ok || ends[0].body == "first")
      << "body: " << ends[0].body;
}

// Known to be red: nothing on the wire tells such bytes from the body's own.
TEST_F(UpstreamResponses, BytesBehindAnAnswerWithoutLengthAreNoPartOfIt) {
  ask(1, "a");
  worker.peers[0]->send(
      "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Attempt-Id: a\r\n\r\nfirst, and no answer at all");
  worker.peers[0]->end();
  untilEnds(1);
  EXPECT_TRUE(ends[0].outcome.result != AttemptResult::ok || ends[0].body == "first")
      << "body: " << ends[0].body;
}

// However it is cut, over reads or by the connection's end.
TEST_F(UpstreamResponses, ASecondAnswerCutAnywhereIsNoPartOfOneWithoutLength) {
  const std::string first = "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Attempt-Id: a\r\n\r\nfirst";
  const std::string second = seal("a", "first");
  for (std::size_t came = 1; came <= second.size(); ++came) {
    ends.clear();
    ask(1, "a");
    const auto peer = worker.peers.back();
    peer->send(first + second.substr(0, came / 2));
    io.restart();
    io.poll();
    peer->send(second.substr(came / 2, came - came / 2));
    peer->end();
    untilEnds(1);
    EXPECT_NE(ends[0].outcome.result, AttemptResult::ok) << came << " bytes, body: " << ends[0].body;
  }
}

// A large one goes on piece by piece: no byte of the second is among the pieces, and it does not end as
// whole.
TEST_F(UpstreamResponses, ASecondAnswerBehindAStreamWithoutLengthIsNoPartOfIt) {
  const std::string large(200'000, 'b');
  ask(1, "a");
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Attempt-Id: a\r\n\r\n" + large +
                        seal("a", large));
  worker.peers[0]->end();
  const std::string got = streamUntilEnd(1);
  EXPECT_NE(ends[0].outcome.result, AttemptResult::ok);
  EXPECT_LE(got.size(), large.size());
  EXPECT_EQ(got, large.substr(0, got.size()));
}

// One without a length, ended in order, is whole, also ahead of the whole request.
TEST_F(UpstreamResponses, AnAnswerWithoutLengthThatEndsInOrderIsWhole) {
  ask(1, "a");
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Attempt-Id: a\r\n\r\nHTTP is whole");
  worker.peers[0]->end();
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::ok);
  EXPECT_EQ(ends[0].body, "HTTP is whole");
}

// A server is told what is left when the request is written, not when its connection was begun.
TEST_F(UpstreamResponses, TheTimeToldToAServerIsThatOfTheFirstByte) {
  UpstreamRequest message{"GET / HTTP/1.1\r\nX-Attempt-Id: a\r\n", nullptr, 0, "a"};
  message.notAfter = std::chrono::steady_clock::now() + std::chrono::milliseconds(5000);
  message.deadlineField = "X-Deadline-Remaining-Ms";
  byId->start(1, 0, 1, message, std::nullopt);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  untilSeen(1);
  const std::string& got = worker.peers[0]->got;
  const auto field = got.find("X-Deadline-Remaining-Ms: ");
  ASSERT_NE(field, std::string::npos) << got;
  EXPECT_LE(std::stoi(got.substr(field + 25)), 4900);
  EXPECT_GT(std::stoi(got.substr(field + 25)), 1000);
}

// The process stood still while the connection came up: nobody waits for an answer any more.
TEST_F(UpstreamResponses, WhatHasRunOutOfTimeBeforeItsConnectionIsUpIsNotSent) {
  byId->start(1, 0, 1, {"GET / HTTP/1.1\r\n\r\n", nullptr, 0, "a"}, std::chrono::milliseconds(2));
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  untilEnds(1);
  EXPECT_EQ(ends[0].outcome.result, AttemptResult::connectFailed);
  until([&] { return worker.peers.size() == 1 && worker.peers[0]->ended; }, "the connection ends");
  EXPECT_EQ(worker.peers[0]->got, "");
}

}  // namespace
}  // namespace lilacmux::test
