#include <limits>
#include <random>
#include <set>

#include "decision/recorder.hpp"

namespace lilacmux::test {
namespace {

TEST(Attempts, UnsafeRequestThatMayHaveRunFails) {
  for (const AttemptResult result : {AttemptResult::error, AttemptResult::timeout, AttemptResult::reset,
                                     AttemptResult::cancelled, AttemptResult::malformed}) {
    EngineFixture b;
    b.updateServers({listedServer(1), listedServer(2)});
    const RequestId id = b.sendRequest(2);
    EXPECT_EQ(b.recorder.sends.back().timeout, 0);  // an early time-out would end the request
    b.endAttempt(id, result);
    EXPECT_TRUE(b.hasFailed(id));
    EXPECT_EQ(b.attempts(id), 1u);
  }
}

// Any server may send malformed responses: they fail the attempt but do not eject the server.
TEST(Attempts, MalformedResponseCountsAsRunAndDoesNotEjectItsServer) {
  for (const AttemptResult result : {AttemptResult::malformed, AttemptResult::error}) {
    EngineFixture b;
    b.updateServers({listedServer(1), listedServer(2)});
    std::map<ServerId, unsigned> sent;
    for (int i = 0; i < 40; ++i) {
      b.now += 50;
      const RequestId id = b.sendRequest(2, 0, static_cast<TenantId>(i));
      ASSERT_TRUE(b.wasSent(id));
      ++sent[b.lastServer()];
      b.endAttempt(id, b.lastServer() == 1 ? result : AttemptResult::ok);
      EXPECT_EQ(b.hasFailed(id), b.lastServer() == 1);
    }
    EXPECT_EQ(sent[1] > 8, result == AttemptResult::malformed) << sent[1];
  }
}

TEST(Attempts, UnsafeRequestThatDidNotRunIsRetriedAtAnotherServer) {
  for (const AttemptResult result : {AttemptResult::full, AttemptResult::connectFailed}) {
    EngineFixture b;
    b.updateServers({listedServer(1), listedServer(2)});
    const RequestId id = b.sendRequest(2);
    const ServerId first = b.lastServer();
    b.endAttempt(id, result);
    EXPECT_EQ(b.attempts(id), 2u);
    EXPECT_NE(b.lastServer(), first);
  }
}

TEST(Attempts, KeyedRequestIsRetriedOnlyInItsDeduplicationZoneAndWindow) {
  EngineFixture b;
  b.updateServers({listedServer(1, 0), listedServer(2, 0), listedServer(3, 1), listedServer(4, 1)});
  const RequestId id = b.sendRequest(1);
  const unsigned zone = b.lastServer() > 2;
  b.endAttempt(id, AttemptResult::reset);
  ASSERT_EQ(b.attempts(id), 2u);
  EXPECT_EQ(b.lastServer() > 2, zone != 0);
  b.now += 2500;  // past the deduplication window
  b.endAttempt(id, AttemptResult::reset);
  EXPECT_EQ(b.attempts(id), 2u);
  EXPECT_TRUE(b.hasFailed(id));
}

TEST(Attempts, RequestTimedOutAtItsDeadlineGetsAFinalAnswer) {
  for (unsigned classIndex = 0; classIndex < 3; ++classIndex) {
    EngineFixture b;
    b.updateServers({listedServer(1)});
    const RequestId id = b.sendRequest(classIndex, 0, 1, 1, 2, 500);
    b.now += 500;
    b.endAttempt(id, AttemptResult::timeout, 500);
    EXPECT_EQ(b.recorder.finalAnswers[id], 1u);
    EXPECT_EQ(b.engine.pendingRequestCount(), 0u);
  }
}

TEST(Attempts, RequestThatWaitsForAServerGetsAFinalAnswer) {
  EngineFixture b;
  b.updateServers({listedServer(1)});
  const RequestId id = b.sendRequest(1);
  ListedServer gone = listedServer(1);
  gone.phase = ServerPhase::gone;
  b.updateServers({gone}, ListUpdateKind::delta);
  b.endAttempt(id, AttemptResult::reset);
  ASSERT_FALSE(b.recorder.timers.empty());
  for (int i = 0; i < 200 && b.recorder.finalAnswers[id] == 0; ++i) {
    b.now += b.recorder.timers.back().first;
    b.engine.handleTimer(b.now, id);
  }
  EXPECT_EQ(b.recorder.finalAnswers[id], 1u);
  EXPECT_LE(b.now, 3000);
}

TEST(Attempts, NoAttemptOrFinalAnswerAfterTheClientDisconnected) {
  EngineFixture b;
  b.updateServers({listedServer(1), listedServer(2)});
  const RequestId id = b.sendRequest();
  b.engine.handleClientDisconnect(b.now, id);
  b.endAttempt(id, AttemptResult::reset, 10, -1, true);
  EXPECT_EQ(b.attempts(id), 1u);
  EXPECT_EQ(b.recorder.finalAnswers[id], 0u);
}

TEST(Attempts, RetriesUseNoQuota) {
  EngineFixture b;
  b.updateServers({listedServer(1), listedServer(2)});
  const RequestId id = b.sendRequest();
  b.endAttempt(id, AttemptResult::full);
  ASSERT_EQ(b.attempts(id), 2u);
  b.endAttempt(id, AttemptResult::ok);
  int admitted = 0;
  for (;;) {
    const RequestId next = b.sendRequest();
    if (!b.wasSent(next)) break;
    b.endAttempt(next, AttemptResult::ok);
    ++admitted;
  }
  EXPECT_EQ(admitted, 9);
}

TEST(OutlierDetection, FailingServerIsEjectedAndReturnsOnceItRecovers) {
  EngineFixture b;
  b.updateServers({listedServer(1), listedServer(2)});
  int attemptsAtFailingServer = 0;
  TenantId c = 0;
  const auto drive = [&](Time span, bool isFailing) {
    for (Time end = b.now + span; b.now < end; b.now += 20) {
      const RequestId id = b.sendRequest(0, 0, ++c);
      while (b.recorder.sends.back().id == id && b.recorder.finalAnswers[id] == 0) {
        const bool isTarget = b.lastServer() == 1;
        attemptsAtFailingServer += isTarget;
        const unsigned before = b.attempts(id);
        b.endAttempt(id, isTarget && isFailing ? AttemptResult::connectFailed : AttemptResult::ok, 50);
        if (b.attempts(id) == before) break;
      }
    }
  };
  drive(3000, true);
  EXPECT_LT(attemptsAtFailingServer, 12);
  attemptsAtFailingServer = 0;
  drive(15000, false);
  EXPECT_GT(attemptsAtFailingServer, 100);
}

// Random connection failures at all servers eject none of them, but a dead server is still ejected.
TEST(OutlierDetection, RandomFailuresEjectNoServerButADeadServerIsEjected) {
  EngineSettings s = settings();
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  EngineFixture b(s);
  b.updateServers({listedServer(1), listedServer(2), listedServer(3), listedServer(4)});
  std::mt19937 chance(1);
  std::size_t linesBefore = 0;
  for (int i = 0; i < 4000; ++i) {
    // By then the engine has learned the share of random failures.
    if (i == 1000) linesBefore = b.recorder.logLines.size();
    b.now += 20;
    const RequestId id = b.sendRequest(0, 0, b.lastId);
    while (b.wasSent(id) && b.recorder.finalAnswers[id] == 0) {
      if (chance() % 8 != 0) {
        b.endAttempt(id, AttemptResult::ok, 50);
        break;
      }
      b.endAttempt(id, AttemptResult::reset, 1);
    }
  }
  EXPECT_LE(b.recorder.logLines.size() - linesBefore, 1u);
  int attemptsAtDeadServer = 0;
  for (int i = 0; i < 100; ++i) {
    b.now += 10;
    const RequestId id = b.sendRequest(0, 0, b.lastId);
    for (; b.lastServer() == 1; ++attemptsAtDeadServer) b.endAttempt(id, AttemptResult::connectFailed, 1);
    b.endAttempt(id, AttemptResult::ok, 50);
  }
  EXPECT_LE(attemptsAtDeadServer, 10);
}

// Servers that reject attempts at once look idle: a selection by load alone would send most attempts to them.
TEST(ServerSelection, FullServersAreNotSelectedRepeatedly) {
  EngineFixture b;
  std::vector<ListedServer> all;
  for (ServerId w = 1; w <= 6; ++w) all.push_back(listedServer(w));
  b.updateServers(all);
  TenantId c = 0;
  for (int i = 0; i < 300; ++i) {
    b.now += 10;
    const RequestId id = b.sendRequest(0, 0, ++c);
    while (b.wasSent(id) && b.recorder.finalAnswers[id] == 0) b.endAttempt(id, AttemptResult::full, 2);
  }
  EXPECT_LT(b.recorder.sends.size(), 60u);
}

// Latencies above half of the latency target lower the limit, which prevents overload after a start or a slow
// phase.
TEST(ConcurrencyLimit, LateResponsesLowerIt) {
  const auto maxAttemptsInFlight = [](Time elapsed) {
    EngineFixture b;
    b.updateServers({listedServer(1)});
    TenantId c = 0;
    for (int i = 0; i < 60; ++i) {
      b.now += 250;
      const RequestId id = b.sendRequest(2, 0, ++c);
      if (b.wasSent(id)) b.endAttempt(id, AttemptResult::ok, elapsed);
    }
    int inFlight = 0;
    while (b.wasSent(b.sendRequest(2, 0, ++c))) ++inFlight;
    return inFlight;
  };
  EXPECT_GE(maxAttemptsInFlight(100), 6);
  EXPECT_LE(maxAttemptsInFlight(700), 2);
}

// A partitioned server holds its attempts without a response; it is avoided long before they time out.
TEST(ServerSelection, UnresponsiveServerIsAvoided) {
  EngineFixture b;
  b.updateServers({listedServer(1), listedServer(2)});
  TenantId c = 0;
  const auto drive = [&](Time span, bool isPartitioned) {
    int attemptsAtPartitionedServer = 0;
    for (Time end = b.now + span; b.now < end; b.now += 25) {
      const RequestId id = b.sendRequest(2, 0, ++c);
      if (!b.wasSent(id)) continue;
      attemptsAtPartitionedServer += b.lastServer() == 1;
      if (!isPartitioned || b.lastServer() != 1) b.endAttempt(id, AttemptResult::ok, 50);
    }
    return attemptsAtPartitionedServer;
  };
  drive(2000, false);
  const int first = drive(500, true);
  EXPECT_LE(first, 3);
  EXPECT_EQ(drive(1500, true), 0);
}

TEST(EngineSettings, ValuesOutOfRangeThrowAtConstruction) {
  Recorder r;
  const auto expectThrow = [&](auto change) {
    EngineSettings s = settings();
    change(s);
    EXPECT_THROW(DecisionEngine(s, 1, 0, r), std::invalid_argument);
  };
  expectThrow([](EngineSettings& s) { s.plans[0].rate = -1; });
  expectThrow([](EngineSettings& s) { s.plans[0].burst = std::numeric_limits<double>::quiet_NaN(); });
  expectThrow([](EngineSettings& s) { s.warmUpTime = std::numeric_limits<double>::infinity(); });
  expectThrow([](EngineSettings& s) { s.gatewayIndex = 2; });
  expectThrow([](EngineSettings& s) { s.gatewayCount = 0; });
  expectThrow([](EngineSettings& s) { s.classes.clear(); });
}

// Arbitrary valid event sequences: every request gets one final answer in time, and attempts respect its
// class.
TEST(Invariants, HoldUnderArbitraryValidEvents) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    std::mt19937 rng(seed);
    EngineFixture b;
    std::vector<ListedServer> all;
    for (ServerId w = 1; w <= 6; ++w) all.push_back(listedServer(w, w > 3));
    b.updateServers(all);
    struct OpenRequest {
      unsigned classIndex;
      Time expires, ranSince = -1;
      bool out = false, done = false, ran = false;
      unsigned zone = 0;
    };
    std::map<RequestId, OpenRequest> open;
    std::set<ServerId> excluded;
    std::vector<std::pair<Time, std::uint64_t>> due;
    std::size_t checkedSends = 0, checkedTimers = 0;
    const auto check = [&] {
      for (; checkedSends < b.recorder.sends.size(); ++checkedSends) {
        const SentAttempt& s = b.recorder.sends[checkedSends];
        OpenRequest& o = open.at(s.id);
        EXPECT_FALSE(o.out) << "two attempts out at once";
        EXPECT_FALSE(o.done);
        EXPECT_FALSE(excluded.contains(s.server));
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
        if (b.recorder.finalAnswers[id]) o.done = true;
      }
      for (; checkedTimers < b.recorder.timers.size(); ++checkedTimers)
        due.emplace_back(b.now + b.recorder.timers[checkedTimers].first,
                         b.recorder.timers[checkedTimers].second);
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
        b.engine.handleTimer(b.now, tag);
        check();
      }
      if (step < 3400 && rng() % 3 == 0) {
        const unsigned classIndex = rng() % 3;
        const Time timeLimit = static_cast<Time>(200 + rng() % 2500);
        open.emplace(b.lastId + 1, OpenRequest{classIndex, b.now + timeLimit});
        b.sendRequest(classIndex, rng() % 3, rng() % 40, static_cast<double>(1 + rng() % 3), 2, timeLimit);
        check();
      }
      for (auto& [id, o] : open) {
        if (!o.out || (b.now < o.expires && rng() % 12)) continue;
        constexpr AttemptResult kResults[] = {
            AttemptResult::ok,    AttemptResult::error, AttemptResult::full,         AttemptResult::timeout,
            AttemptResult::reset, AttemptResult::ok,    AttemptResult::connectFailed};
        const AttemptResult result = b.now >= o.expires ? AttemptResult::timeout : kResults[rng() % 7];
        ServerId server = 0;
        for (const SentAttempt& s : b.recorder.sends)
          if (s.id == id) server = s.server;
        o.out = false;
        if (result != AttemptResult::full && result != AttemptResult::connectFailed && !o.ran) {
          o.ran = true, o.zone = server > 3;
          o.ranSince = b.now;
        }
        if (result == AttemptResult::ok) o.done = true;
        b.endAttempt(id, result, 30, rng() % 2 ? static_cast<int>(rng() % 300) : -1, o.done);
        check();
      }
      if (rng() % 60 == 0) {
        ListedServer m = all[rng() % all.size()];
        m.phase = rng() % 2 ? ServerPhase::ready : rng() % 2 ? ServerPhase::draining : ServerPhase::gone;
        if (m.phase == ServerPhase::ready)
          excluded.erase(m.id);
        else
          excluded.insert(m.id);
        b.updateServers({m}, ListUpdateKind::delta);
      }
    }
    for (auto& [id, o] : open) EXPECT_TRUE(o.done || b.now < o.expires + 8) << "request " << id << " is lost";
  }
}

// With two hundred gateways and twenty servers, one attempt of each gateway at every server would be ten
// times the servers' capacity. Late responses lower a gateway's limit far below one attempt per server, and
// early responses raise it again.
TEST(ConcurrencyLimit, OfAGatewayFallsFarBelowOneAttemptPerServer) {
  EngineSettings s = settings();
  s.gatewayCount = 200;
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  EngineFixture b(s);
  std::vector<ListedServer> fleet;
  for (ServerId w = 1; w <= 20; ++w) fleet.push_back(listedServer(w));
  b.updateServers(fleet);
  const auto sent = [&](Time latency) {
    int admitted = 0;
    for (int i = 0; i < 40; ++i) {
      b.now += 250;
      const RequestId id = b.sendRequest(0, 0, b.lastId, 1, 200);
      if (!b.wasSent(id)) continue;
      ++admitted;
      b.now += 10;
      b.endAttempt(id, AttemptResult::ok, latency);
    }
    return admitted;
  };
  EXPECT_EQ(sent(100), 40);
  sent(900);
  EXPECT_LT(sent(900), 20);
  sent(100);
  sent(100);
  EXPECT_GT(sent(100), 30);
}

// Servers that reject attempts as full, while most others respond at once, do not reduce the room at the
// others.
TEST(ConcurrencyLimit, FewFullServersDoNotLowerTheGatewaysLimit) {
  EngineSettings s = settings();
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  EngineFixture b(s);
  std::vector<ListedServer> fleet;
  for (ServerId w = 1; w <= 9; ++w) fleet.push_back(listedServer(w));
  b.updateServers(fleet);
  for (int i = 0; i < 1000; ++i) {
    b.now += 20;
    const RequestId id = b.sendRequest(0, 0, b.lastId);
    ASSERT_TRUE(b.wasSent(id)) << i;
    while (b.lastServer() <= 3 && !b.wasRejected(id)) b.endAttempt(id, AttemptResult::full, 25);
    if (!b.wasRejected(id)) b.endAttempt(id, AttemptResult::ok, 300);  // neither late nor early
  }
  int inFlight = 0;
  while (inFlight < 100 && b.wasSent(b.sendRequest(0, 0, b.lastId))) ++inFlight;
  EXPECT_GE(inFlight, 12);
}

// The additional time of a large request compared with a small one is work, not a sign of load.
TEST(ConcurrencyLimit, LargeRequestsAmongSmallOnesDoNotLowerIt) {
  EngineSettings s = settings();
  s.maxUnits = 4;
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  EngineFixture b(s);
  b.updateServers({listedServer(1), listedServer(2), listedServer(3), listedServer(4)});
  for (int i = 0; i < 400; ++i) {
    b.now += 50;
    const bool large = i % 4 == 3;
    const RequestId id = b.sendRequest(0, 0, b.lastId, large ? 4 : 1);
    ASSERT_TRUE(b.wasSent(id)) << i;
    b.now += large ? 700 : 100;
    b.endAttempt(id, AttemptResult::ok, large ? 700 : 100);
  }
  int inFlight = 0;
  while (inFlight < 100 && b.wasSent(b.sendRequest(0, 0, b.lastId))) ++inFlight;
  EXPECT_GE(inFlight, 8);  // two for each server
}

}  // namespace
}  // namespace lilacmux::test
