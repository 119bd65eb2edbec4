#include <limits>
#include <random>
#include <set>

#include "decision/recorder.hpp"

namespace lilacmux::test {
namespace {

TEST(Attempts, UnsafeThatMayHaveRunFails) {
  for (const AttemptResult result : {AttemptResult::error, AttemptResult::timeout, AttemptResult::reset,
                                     AttemptResult::cancelled, AttemptResult::malformed}) {
    Bench b;
    b.list({member(1), member(2)});
    const RequestId id = b.ask(2);
    EXPECT_EQ(b.recorder.sends.back().timeout, 0);  // an early time-out would end it
    b.end(id, result);
    EXPECT_TRUE(b.hasFailed(id));
    EXPECT_EQ(b.attempts(id), 1u);
  }
}

// Malformed responses come from any server alike: they fail the attempt and leave the server in.
TEST(Attempts, AMalformedResponseMayHaveRunAndDoesNotEjectItsServer) {
  for (const AttemptResult result : {AttemptResult::malformed, AttemptResult::error}) {
    Bench b;
    b.list({member(1), member(2)});
    std::map<ServerId, unsigned> sent;
    for (int i = 0; i < 40; ++i) {
      b.now += 50;
      const RequestId id = b.ask(2, 0, static_cast<TenantId>(i));
      ASSERT_TRUE(b.wasSent(id));
      ++sent[b.lastServer()];
      b.end(id, b.lastServer() == 1 ? result : AttemptResult::ok);
      EXPECT_EQ(b.hasFailed(id), b.lastServer() == 1);
    }
    EXPECT_EQ(sent[1] > 8, result == AttemptResult::malformed) << sent[1];
  }
}

TEST(Attempts, UnsafeThatNeverRanGoesElsewhere) {
  for (const AttemptResult result : {AttemptResult::full, AttemptResult::connectFailed}) {
    Bench b;
    b.list({member(1), member(2)});
    const RequestId id = b.ask(2);
    const ServerId first = b.lastServer();
    b.end(id, result);
    EXPECT_EQ(b.attempts(id), 2u);
    EXPECT_NE(b.lastServer(), first);
  }
}

TEST(Attempts, KeyedStaysInItsZoneAndWindowAndEndsInAFailure) {
  Bench b;
  b.list({member(1, 0), member(2, 0), member(3, 1), member(4, 1)});
  const RequestId id = b.ask(1);
  const unsigned zone = b.lastServer() > 2;
  b.end(id, AttemptResult::reset);
  ASSERT_EQ(b.attempts(id), 2u);
  EXPECT_EQ(b.lastServer() > 2, zone != 0);
  b.now += 2500;  // past the window
  b.end(id, AttemptResult::reset);
  EXPECT_EQ(b.attempts(id), 2u);
  EXPECT_TRUE(b.hasFailed(id));
}

TEST(Attempts, TimeOutAtTheDeadlineStillGetsItsAnswer) {
  for (unsigned classIndex = 0; classIndex < 3; ++classIndex) {
    Bench b;
    b.list({member(1)});
    const RequestId id = b.ask(classIndex, 0, 1, 1, 2, 500);
    b.now += 500;
    b.end(id, AttemptResult::timeout, 500);
    EXPECT_EQ(b.recorder.finals[id], 1u);
    EXPECT_EQ(b.gateway.pendingRequestCount(), 0u);
  }
}

TEST(Attempts, PendingRequestKeepsATimerAndIsAnswered) {
  Bench b;
  b.list({member(1)});
  const RequestId id = b.ask(1);
  ListedServer gone = member(1);
  gone.phase = ServerPhase::gone;
  b.list({gone}, ListUpdateKind::delta);
  b.end(id, AttemptResult::reset);
  ASSERT_FALSE(b.recorder.timers.empty());
  for (int i = 0; i < 200 && b.recorder.finals[id] == 0; ++i) {
    b.now += b.recorder.timers.back().first;
    b.gateway.handleTimer(b.now, id);
  }
  EXPECT_EQ(b.recorder.finals[id], 1u);
  EXPECT_LE(b.now, 3000);
}

TEST(Attempts, NothingAfterTheClientLeft) {
  Bench b;
  b.list({member(1), member(2)});
  const RequestId id = b.ask();
  b.gateway.handleClientDisconnect(b.now, id);
  b.end(id, AttemptResult::reset, 10, -1, true);
  EXPECT_EQ(b.attempts(id), 1u);
  EXPECT_EQ(b.recorder.finals[id], 0u);
}

TEST(Attempts, RetriesTakeNoQuota) {
  Bench b;
  b.list({member(1), member(2)});
  const RequestId id = b.ask();
  b.end(id, AttemptResult::full);
  ASSERT_EQ(b.attempts(id), 2u);
  b.end(id, AttemptResult::ok);
  int in = 0;
  for (;;) {
    const RequestId next = b.ask();
    if (!b.wasSent(next)) break;
    b.end(next, AttemptResult::ok);
    ++in;
  }
  EXPECT_EQ(in, 9);
}

TEST(OutlierDetection, AServerThatKeepsFailingIsEjectedAndReturns) {
  Bench b;
  b.list({member(1), member(2)});
  int toBad = 0;
  TenantId c = 0;
  const auto drive = [&](Time span, bool bad) {
    for (Time end = b.now + span; b.now < end; b.now += 20) {
      const RequestId id = b.ask(0, 0, ++c);
      while (b.recorder.sends.back().id == id && b.recorder.finals[id] == 0) {
        const bool hit = b.lastServer() == 1;
        toBad += hit;
        const unsigned before = b.attempts(id);
        b.end(id, hit && bad ? AttemptResult::connectFailed : AttemptResult::ok, 50);
        if (b.attempts(id) == before) break;
      }
    }
  };
  drive(3000, true);
  EXPECT_LT(toBad, 12);
  toBad = 0;
  drive(15000, false);
  EXPECT_GT(toBad, 100);
}

// Least-loaded choice herds onto servers that turn work away at once: they look idle.
// Connections that break by chance, at all servers alike, leave all in; one that is dead goes all the same.
TEST(OutlierDetection, FailuresByChanceEjectNobodyAndADeadServerStillGoes) {
  EngineSettings s = settings();
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  Bench b(s);
  b.list({member(1), member(2), member(3), member(4)});
  std::mt19937 chance(1);
  std::size_t linesBefore = 0;
  for (int i = 0; i < 4000; ++i) {
    if (i == 1000) linesBefore = b.recorder.lines.size();  // by then it is known how many break
    b.now += 20;
    const RequestId id = b.ask(0, 0, b.last);
    while (b.wasSent(id) && b.recorder.finals[id] == 0) {
      if (chance() % 8 != 0) {
        b.end(id, AttemptResult::ok, 50);
        break;
      }
      b.end(id, AttemptResult::reset, 1);
    }
  }
  EXPECT_LE(b.recorder.lines.size() - linesBefore, 1u);
  int toDead = 0;
  for (int i = 0; i < 100; ++i) {
    b.now += 10;
    const RequestId id = b.ask(0, 0, b.last);
    for (; b.lastServer() == 1; ++toDead) b.end(id, AttemptResult::connectFailed, 1);
    b.end(id, AttemptResult::ok, 50);
  }
  EXPECT_LE(toDead, 10);
}

TEST(ServerSelection, FullServersAreNotHerdedOn) {
  Bench b;
  std::vector<ListedServer> all;
  for (ServerId w = 1; w <= 6; ++w) all.push_back(member(w));
  b.list(all);
  TenantId c = 0;
  for (int i = 0; i < 300; ++i) {
    b.now += 10;
    const RequestId id = b.ask(0, 0, ++c);
    while (b.wasSent(id) && b.recorder.finals[id] == 0) b.end(id, AttemptResult::full, 2);
  }
  EXPECT_LT(b.recorder.sends.size(), 60u);
}

// Latencies past half of the aim shrink what is sent, so that a start or a slow spell does not drive servers
// over.
TEST(ConcurrencyLimit, LateAnswersShrinkIt) {
  const auto outAtOnce = [](Time elapsed) {
    Bench b;
    b.list({member(1)});
    TenantId c = 0;
    for (int i = 0; i < 60; ++i) {
      b.now += 250;
      const RequestId id = b.ask(2, 0, ++c);
      if (b.wasSent(id)) b.end(id, AttemptResult::ok, elapsed);
    }
    int out = 0;
    while (b.wasSent(b.ask(2, 0, ++c))) ++out;
    return out;
  };
  EXPECT_GE(outAtOnce(100), 6);
  EXPECT_LE(outAtOnce(700), 2);
}

// A server that is cut off keeps its attempts and answers nothing: passed over long before they time out.
TEST(ServerSelection, AnUnresponsiveServerIsAvoided) {
  Bench b;
  b.list({member(1), member(2)});
  TenantId c = 0;
  const auto drive = [&](Time span, bool cut) {
    int toCut = 0;
    for (Time end = b.now + span; b.now < end; b.now += 25) {
      const RequestId id = b.ask(2, 0, ++c);
      if (!b.wasSent(id)) continue;
      toCut += b.lastServer() == 1;
      if (!cut || b.lastServer() != 1) b.end(id, AttemptResult::ok, 50);
    }
    return toCut;
  };
  drive(2000, false);
  const int first = drive(500, true);
  EXPECT_LE(first, 3);
  EXPECT_EQ(drive(1500, true), 0);
}

TEST(EngineSettings, ValuesOutOfRangeThrowAtConstruction) {
  Recorder r;
  const auto broken = [&](auto change) {
    EngineSettings s = settings();
    change(s);
    EXPECT_THROW(DecisionEngine(s, 1, 0, r), std::invalid_argument);
  };
  broken([](EngineSettings& s) { s.plans[0].rate = -1; });
  broken([](EngineSettings& s) { s.plans[0].burst = std::numeric_limits<double>::quiet_NaN(); });
  broken([](EngineSettings& s) { s.warmUpTime = std::numeric_limits<double>::infinity(); });
  broken([](EngineSettings& s) { s.gatewayIndex = 2; });
  broken([](EngineSettings& s) { s.gatewayCount = 0; });
  broken([](EngineSettings& s) { s.classes.clear(); });
}

// Arbitrary legal orders of events: every request gets one final answer in time, attempts obey its class.
TEST(Invariants, HoldUnderArbitraryLegalEvents) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    std::mt19937 rng(seed);
    Bench b;
    std::vector<ListedServer> all;
    for (ServerId w = 1; w <= 6; ++w) all.push_back(member(w, w > 3));
    b.list(all);
    struct Open {
      unsigned classIndex;
      Time expires, ranSince = -1;
      bool out = false, done = false, ran = false;
      unsigned zone = 0;
    };
    std::map<RequestId, Open> open;
    std::set<ServerId> barred;
    std::vector<std::pair<Time, std::uint64_t>> due;
    std::size_t seenSends = 0, seenTimers = 0;
    const auto check = [&] {
      for (; seenSends < b.recorder.sends.size(); ++seenSends) {
        const Sent& s = b.recorder.sends[seenSends];
        Open& o = open.at(s.id);
        EXPECT_FALSE(o.out) << "two attempts out at once";
        EXPECT_FALSE(o.done);
        EXPECT_FALSE(barred.contains(s.server));
        if (o.ran && o.classIndex == 2) ADD_FAILURE() << "an unsafe request was repeated";
        if (o.ran && o.classIndex == 1) {
          EXPECT_EQ(o.zone, static_cast<unsigned>(s.server > 3));
          EXPECT_LE(b.now, o.ranSince + 2000);
        }
        o.out = true;
      }
      for (auto& [id, o] : open) {
        if (b.recorder.rejected.contains(id) && o.ran) {
          EXPECT_EQ(o.classIndex, 0u);
        }
        if (b.recorder.finals[id]) o.done = true;
      }
      for (; seenTimers < b.recorder.timers.size(); ++seenTimers)
        due.emplace_back(b.now + b.recorder.timers[seenTimers].first, b.recorder.timers[seenTimers].second);
    };
    for (int step = 0; step < 4000; ++step) {
      b.now += static_cast<Time>(rng() % 8);
      for (std::size_t i = 0; i < due.size();) {
        if (due[i].first > b.now) {
          ++i;
          continue;
        }
        const auto tag = due[i].second;
        due.erase(due.begin() + static_cast<long>(i));
        b.gateway.handleTimer(b.now, tag);
        check();
      }
      if (step < 3400 && rng() % 3 == 0) {
        const unsigned classIndex = rng() % 3;
        const Time patience = static_cast<Time>(200 + rng() % 2500);
        open.emplace(b.last + 1, Open{classIndex, b.now + patience});
        b.ask(classIndex, rng() % 3, rng() % 40, static_cast<double>(1 + rng() % 3), 2, patience);
        check();
      }
      for (auto& [id, o] : open) {
        if (!o.out || (b.now < o.expires && rng() % 12)) continue;
        constexpr AttemptResult kResults[] = {
            AttemptResult::ok,    AttemptResult::error, AttemptResult::full,         AttemptResult::timeout,
            AttemptResult::reset, AttemptResult::ok,    AttemptResult::connectFailed};
        const AttemptResult result = b.now >= o.expires ? AttemptResult::timeout : kResults[rng() % 7];
        ServerId at = 0;
        for (const Sent& s : b.recorder.sends)
          if (s.id == id) at = s.server;
        o.out = false;
        if (result != AttemptResult::full && result != AttemptResult::connectFailed && !o.ran) {
          o.ran = true, o.zone = at > 3;
          o.ranSince = b.now;
        }
        if (result == AttemptResult::ok) o.done = true;
        b.end(id, result, 30, rng() % 2 ? static_cast<int>(rng() % 300) : -1, o.done);
        check();
      }
      if (rng() % 60 == 0) {
        ListedServer m = all[rng() % all.size()];
        m.phase = rng() % 2 ? ServerPhase::ready : rng() % 2 ? ServerPhase::draining : ServerPhase::gone;
        if (m.phase == ServerPhase::ready)
          barred.erase(m.id);
        else
          barred.insert(m.id);
        b.list({m}, ListUpdateKind::delta);
      }
    }
    for (auto& [id, o] : open) EXPECT_TRUE(o.done || b.now < o.expires + 8) << "request " << id << " is lost";
  }
}

// Two hundred gateways before twenty servers: one attempt of each at every server would be ten times what
// they hold. Late answers bring what a gateway has out far below one for each server, and early ones bring it
// back.
TEST(ConcurrencyLimit, OfAWholeGatewayFallsFarBelowOneForEachServer) {
  EngineSettings s = settings();
  s.gatewayCount = 200;
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  Bench b(s);
  std::vector<ListedServer> fleet;
  for (ServerId w = 1; w <= 20; ++w) fleet.push_back(member(w));
  b.list(fleet);
  const auto sent = [&](Time latency) {
    int in = 0;
    for (int i = 0; i < 40; ++i) {
      b.now += 250;
      const RequestId id = b.ask(0, 0, b.last, 1, 200);
      if (!b.wasSent(id)) continue;
      ++in;
      b.now += 10;
      b.end(id, AttemptResult::ok, latency);
    }
    return in;
  };
  EXPECT_EQ(sent(100), 40);
  sent(900);
  EXPECT_LT(sent(900), 20);
  sent(100);
  sent(100);
  EXPECT_GT(sent(100), 30);
}

// Workers that turn attempts away while most others answer at once leave the room at the others.
TEST(ConcurrencyLimit, AFewFullServersDoNotCloseIt) {
  EngineSettings s = settings();
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  Bench b(s);
  std::vector<ListedServer> fleet;
  for (ServerId w = 1; w <= 9; ++w) fleet.push_back(member(w));
  b.list(fleet);
  for (int i = 0; i < 1000; ++i) {
    b.now += 20;
    const RequestId id = b.ask(0, 0, b.last);
    ASSERT_TRUE(b.wasSent(id)) << i;
    while (b.lastServer() <= 3 && !b.wasRejected(id)) b.end(id, AttemptResult::full, 25);
    if (!b.wasRejected(id)) b.end(id, AttemptResult::ok, 300);  // neither late nor early
  }
  int out = 0;
  while (out < 100 && b.wasSent(b.ask(0, 0, b.last))) ++out;
  EXPECT_GE(out, 12);
}

// What a large request takes beyond a small one is its own work: it says nothing of load.
TEST(ConcurrencyLimit, LargeRequestsAmongSmallOnesDoNotCloseIt) {
  EngineSettings s = settings();
  s.maxUnits = 4;
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  Bench b(s);
  b.list({member(1), member(2), member(3), member(4)});
  for (int i = 0; i < 400; ++i) {
    b.now += 50;
    const bool large = i % 4 == 3;
    const RequestId id = b.ask(0, 0, b.last, large ? 4 : 1);
    ASSERT_TRUE(b.wasSent(id)) << i;
    b.now += large ? 700 : 100;
    b.end(id, AttemptResult::ok, large ? 700 : 100);
  }
  int out = 0;
  while (out < 100 && b.wasSent(b.ask(0, 0, b.last))) ++out;
  EXPECT_GE(out, 8);  // two for each server
}

}  // namespace
}  // namespace lilacmux::test
