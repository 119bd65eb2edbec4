#include <cmath>
#include <deque>

#include "decision/recorder.hpp"

namespace lilacmux::test {
namespace {

double admittedHardLimitUnits(EngineFixture& b, Time span, TenantId tenant = 1) {
  double units = 0;
  for (Time end = b.now + span; b.now < end; b.now += 10) {
    const RequestId id = b.sendRequest(0, 2, tenant, 2);
    if (!b.wasSent(id)) continue;
    units += 2;
    b.endAttempt(id, AttemptResult::ok, 10, 0);
  }
  return units;
}

TEST(HardLimit, GatewayKeepsToItsEvenShare) {
  EngineSettings s = settings();
  s.plans[2].rate = 1000, s.plans[2].burst = 1000;  // the hard limit, not the quota, is the bound here
  EngineFixture b(s);
  b.updateServers({listedServer(1)});
  b.now += 60000;
  EXPECT_LE(admittedHardLimitUnits(b, 10000), 20 + 10 * 10);
}

TEST(HardLimit, RestartDoesNotRefillIt) {
  EngineSettings s = settings();
  s.plans[2].rate = 1000, s.plans[2].burst = 1000;
  EngineFixture b(s, 50000);
  b.updateServers({listedServer(1)});
  EXPECT_LE(admittedHardLimitUnits(b, 1000), 10);
}

TEST(HardLimit, EvictionDoesNotRefillIt) {
  EngineSettings s = settings();
  s.plans[2].rate = 1000, s.plans[2].burst = 1000;
  EngineFixture b(s);
  b.updateServers({listedServer(1)});
  b.now += 60000;
  admittedHardLimitUnits(b, 5000);
  for (TenantId c = 100; c < 9000; ++c) {
    const RequestId id = b.sendRequest(0, 2, c, 2);
    if (b.wasSent(id)) b.endAttempt(id, AttemptResult::ok, 10);
  }
  EXPECT_LE(admittedHardLimitUnits(b, 1000), 12);
}

TEST(Drain, NoNewRequestsToDrainingGoneOrUnlistedServers) {
  EngineFixture b;
  b.updateServers({listedServer(1), listedServer(2), listedServer(3), listedServer(4)});
  ListedServer draining = listedServer(1), gone = listedServer(2);
  draining.phase = ServerPhase::draining, gone.phase = ServerPhase::gone;
  b.updateServers({draining, gone}, ListUpdateKind::delta);
  b.updateServers({draining, listedServer(4)});  // server 3 is missing from the complete list
  for (TenantId c = 0; c < 40; ++c) {
    const RequestId id = b.sendRequest(0, 0, c);
    ASSERT_TRUE(b.wasSent(id));
    EXPECT_EQ(b.lastServer(), 4u);
    b.endAttempt(id, AttemptResult::ok);
  }
}

TEST(Drain, RequestIsRejectedWithoutServers) {
  EngineFixture b;
  const RequestId id = b.sendRequest();
  EXPECT_TRUE(b.wasRejected(id));
}

TEST(SlowStart, SendsStayBelowAShareOfAWarmServersAndAreSpreadOut) {
  EngineSettings s = settings();
  EngineFixture b(s, 100000);
  b.updateServers({listedServer(1), listedServer(2), listedServer(3)});
  std::map<ServerId, int> countBeforeStart, count;
  std::deque<RequestId> out;
  const auto drive = [&](Time span, std::map<ServerId, int>& into) {
    for (Time end = b.now + span; b.now < end; b.now += 10) {
      const RequestId id = b.sendRequest(0, 0, b.lastId);
      if (!b.wasSent(id)) continue;
      ++into[b.lastServer()];
      out.push_back(id);
      if (out.size() > 8) {
        b.endAttempt(out.front(), AttemptResult::ok, 50);
        out.pop_front();
      }
    }
  };
  drive(5000, countBeforeStart);
  b.updateServers({listedServer(4, 0, b.now)}, ListUpdateKind::delta);
  std::map<ServerId, int> burst;
  drive(100, burst);
  EXPECT_LE(burst[4], 1);
  drive(2000, count);
  const double warm = (count[1] + count[2] + count[3]) / 3.0;
  EXPECT_GT(count[4], 0);
  EXPECT_LE(count[4], 0.36 * warm + 1);
}

// All gateways have just restarted and all servers are warming up: together the gateways keep to what one
// request per server and overload duration allows, instead of one request each at once.
TEST(SlowStart, RestartedGatewaysSendLittleToServersThatAreAllWarmingUp) {
  EngineSettings s = settings();
  s.gatewayCount = 200;
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  unsigned sent = 0;
  for (unsigned g = 0; g < s.gatewayCount; ++g) {
    s.gatewayIndex = g;
    Recorder recorder;
    DecisionEngine engine(s, 1000 + g, 50000, recorder);
    engine.updateServers(50000, ListUpdateKind::cached,
                         {listedServer(1, 0, 50000), listedServer(2, 0, 50000)});
    for (RequestId i = 0; i < 20; ++i) engine.handleRequest(50000 + 50 * i, {i, 0, 0, 1, 60000, 1, 200});
    sent += static_cast<unsigned>(recorder.sends.size());
  }
  // overloadFactor requests for each of two servers in one overloadDuration
  EXPECT_LE(sent, 2 * s.overloadFactor);
}

// A growing set of gateways reduces this gateway's share of the tenant's hard limit at once.
TEST(HardLimit, FollowsTheTenantsSetOfGateways) {
  EngineSettings s = settings();
  s.gatewayCount = 40;
  s.plans[2].rate = 1000, s.plans[2].burst = 1000;
  EngineFixture b(s);
  b.updateServers({listedServer(1), listedServer(2), listedServer(3), listedServer(4)});
  b.now += 60000;
  b.endAttempt(b.sendRequest(0, 2, 1, 1, 2), AttemptResult::ok);
  int admitted = 0;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = b.sendRequest(0, 2, 1, 1, 20);
    if (!b.wasSent(id)) continue;
    ++admitted;
    b.endAttempt(id, AttemptResult::ok);
  }
  EXPECT_LE(admitted, 2);  // a twentieth of a bucket of forty
}

TEST(ServerPool, DuplicateOrRestartedEntriesAreOneServer) {
  EngineFixture b(settings(), 50000);
  b.updateServers({listedServer(1), listedServer(1), listedServer(2)});
  const RequestId id = b.sendRequest();
  b.updateServers({listedServer(1, 0, 50000), listedServer(2, 0, 50000), listedServer(2, 0, 50000)},
                  ListUpdateKind::delta);
  b.endAttempt(id, AttemptResult::reset);
  EXPECT_LE(b.attempts(id), 2u);
  b.now += 60000;
  EXPECT_TRUE(b.wasSent(b.sendRequest()));
}

TEST(Clock, GapOfAnHourIsHandled) {
  EngineFixture b;
  b.updateServers({listedServer(1)});
  const RequestId id = b.sendRequest(0, 0, 1, 1, 2, 5e6);
  b.now += 3.6e6;
  b.endAttempt(id, AttemptResult::ok, 3.6e6, 300);
  int admitted = 0;
  for (int i = 0; i < 10; ++i) {
    const RequestId next = b.sendRequest();
    if (!b.wasSent(next)) continue;
    ++admitted;
    b.endAttempt(next, AttemptResult::ok);
  }
  EXPECT_GT(admitted, 0);
}

// Bounded memory over a long stream of new tenants, some of whose attempts end only by time-out.
TEST(TenantTable, StaysBoundedOverALongStreamOfNewTenants) {
  EngineFixture b;
  b.updateServers({listedServer(1), listedServer(2)});
  for (int i = 0; i < 20000; ++i) {
    b.now += 20;
    const RequestId id = b.sendRequest(0, 0, 1000 + i);
    if (b.wasSent(id)) b.endAttempt(id, i % 3 ? AttemptResult::ok : AttemptResult::timeout, 100, -1, true);
  }
  EXPECT_LE(b.engine.tenantCount(), 4096u);
  EXPECT_EQ(b.engine.pendingRequestCount(), 0u);
}

// An attempt without a response at a server that answers later attempts at once was lost, or its response
// was. However long it took, it says nothing about load.
TEST(ConcurrencyLimit, AttemptLostAtARespondingServerDoesNotLowerIt) {
  EngineFixture b;
  b.updateServers({listedServer(1)});
  TenantId tenant = 1;
  for (int i = 0; i < 20; ++i) {
    const RequestId lost = b.sendRequest(2, 0, tenant++);
    ASSERT_TRUE(b.wasSent(lost));
    for (int j = 0; j < 10; ++j) {
      b.now += 100;
      const RequestId answered = b.sendRequest(0, 0, tenant++);
      if (b.wasSent(answered)) b.endAttempt(answered, AttemptResult::ok, 10);
    }
    b.endAttempt(lost, i % 2 ? AttemptResult::timeout : AttemptResult::malformed, 1000);
  }
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(b.wasSent(b.sendRequest(0, 0, tenant++)));
}

TEST(Suspension, OverridesTheServerListUntilTheFirstResume) {
  EngineFixture fixture;
  fixture.updateServers({listedServer(1), listedServer(2)});
  fixture.engine.suspend(fixture.now, 1);
  fixture.engine.suspend(fixture.now += 10, 1);
  const auto sendAndRetry = [&] {
    const RequestId id = fixture.sendRequest(0, 0, 100 + fixture.lastId);
    EXPECT_TRUE(fixture.wasSent(id));
    const ServerId server = fixture.lastServer();
    fixture.endAttempt(id,
                       AttemptResult::connectFailed);  // a retry must not go to the suspended server either
    EXPECT_EQ(fixture.lastServer(), 2u);
    fixture.endAttempt(id, AttemptResult::ok, 10);
    return server;
  };
  EXPECT_EQ(sendAndRetry(), 2u);
  fixture.updateServers({listedServer(1, 0, fixture.now), listedServer(2)});  // server 1 has restarted
  EXPECT_EQ(sendAndRetry(), 2u);
  fixture.updateServers({listedServer(2)});
  fixture.updateServers({listedServer(1), listedServer(2)});
  EXPECT_EQ(sendAndRetry(), 2u);
  EXPECT_EQ(fixture.engine.poolView(fixture.now).avoided, 1u);
  fixture.engine.resume(fixture.now += 100, 1);
  EXPECT_EQ(fixture.engine.poolView(fixture.now).avoided, 0u);
  bool sent = false;
  for (int i = 0; i < 200 && !sent; ++i) {
    fixture.now += 25;
    const RequestId id = fixture.sendRequest(0, 0, 1000 + fixture.lastId);
    sent = fixture.wasSent(id) && fixture.lastServer() == 1;
    if (fixture.wasSent(id)) fixture.endAttempt(id, AttemptResult::ok, 10);
  }
  EXPECT_TRUE(sent);
}

// A server is restarted while it is suspended; the list may report the restart later or not at all.
TEST(Suspension, ResumedServerWarmsUpEvenIfNoRestartIsListed) {
  for (const bool isRestartListed : {false, true}) {
    EngineFixture fixture;
    fixture.updateServers({listedServer(1), listedServer(2)});
    unsigned sentWhileWarming = 0, sentBefore = 0;
    const auto run = [&](Time span, unsigned& count) {
      for (const Time end = fixture.now + span; fixture.now < end; fixture.now += 10) {
        const RequestId id = fixture.sendRequest(0, 0, 100 + fixture.lastId);
        if (!fixture.wasSent(id)) continue;
        count += fixture.lastServer() == 1;
        fixture.endAttempt(id, AttemptResult::ok, 5);
      }
    };
    run(3000, sentBefore);
    fixture.engine.suspend(fixture.now, 1);
    fixture.now += 1000;
    if (isRestartListed) fixture.updateServers({listedServer(1, 0, fixture.now)}, ListUpdateKind::delta);
    fixture.engine.resume(fixture.now, 1);
    run(3000, sentWhileWarming);
    EXPECT_GT(sentWhileWarming, 3u);
    EXPECT_LT(sentWhileWarming, sentBefore * 2 / 3) << isRestartListed;
  }
}

// The next process of a gateway with a tenant that has used up its quota, a failed server, and warming
// servers that are paced by the success rate of the warm ones.
TEST(LearnedState, NextProcessContinuesWithTheStateOfTheOldOne) {
  EngineFixture old(settings(), 100000);
  old.updateServers({listedServer(1), listedServer(2)});
  for (int i = 0; i < 200; ++i, old.now += 10) {
    const RequestId id = old.sendRequest(0, 0, 100 + i % 50);
    if (old.wasSent(id)) old.endAttempt(id, AttemptResult::ok, 5, 20);
  }
  while (!old.wasRejected(old.sendRequest(0, 0, 7))) old.endAttempt(old.lastId, AttemptResult::ok, 1);
  EXPECT_TRUE(old.wasSent(old.sendRequest(0, 1, 8)));  // this gateway's share of the concurrency cap
  const auto learnedState = old.engine.exportLearnedState(old.now);

  EngineFixture next(settings(), old.now), fresh(settings(), old.now);
  for (EngineFixture* fixture : {&next, &fresh})
    fixture->updateServers({listedServer(1), listedServer(2), listedServer(3, 0, old.now - 5000)});
  EXPECT_TRUE(next.engine.importLearnedState(next.now, learnedState));
  EXPECT_TRUE(next.wasRejected(next.sendRequest(0, 0, 7)));
  EXPECT_FALSE(fresh.wasRejected(fresh.sendRequest(0, 0, 7)));
  EXPECT_TRUE(next.wasRejected(next.sendRequest(0, 1, 8)));  // its attempt is in flight at the old process
  unsigned sent[2] = {0, 0};  // to the warming server, while the others are suspended
  for (EngineFixture* fixture : {&next, &fresh}) {
    fixture->engine.suspend(fixture->now, 1);
    fixture->engine.suspend(fixture->now, 2);
    for (TenantId tenant = 200; tenant < 300; ++tenant) {
      fixture->now += 10;
      const RequestId id = fixture->sendRequest(0, 0, tenant);
      if (!fixture->wasSent(id)) continue;
      ++sent[fixture == &fresh];
      fixture->endAttempt(id, AttemptResult::ok, 5);
    }
  }
  EXPECT_GT(sent[0], 3 * sent[1]);
}

TEST(LearnedState, MalformedStateIsRejectedWithoutEffect) {
  EngineFixture old;
  old.updateServers({listedServer(1)});
  old.endAttempt(old.sendRequest(), AttemptResult::ok);
  const auto valid = old.engine.exportLearnedState(old.now);
  auto truncated = valid, otherVersion = valid, infinite = valid, tooMany = valid;
  truncated.pop_back(), otherVersion[0] += 1, infinite.back() = HUGE_VAL, tooMany[8] = 1e300;
  for (const auto& malformed : {truncated, otherVersion, infinite, tooMany, std::vector<double>{}}) {
    EngineFixture next;
    EXPECT_FALSE(next.engine.importLearnedState(next.now, malformed));
  }
  std::vector<double> outOfRange = valid;  // of the right format, with values that no gateway has
  for (std::size_t i = 10; i < outOfRange.size(); ++i) outOfRange[i] = i % 2 ? -1e200 : 1e200;
  EngineFixture next;
  next.updateServers({listedServer(1)});
  next.engine.importLearnedState(next.now, outOfRange);
  EngineSettings singleGateway = settings();
  singleGateway.gatewayCount = 1;
  EngineFixture otherSettings(singleGateway);
  EXPECT_FALSE(otherSettings.engine.importLearnedState(otherSettings.now, valid));
}

TEST(PoolView, CountsListedAndAvoidedServers) {
  EngineFixture fixture;
  fixture.updateServers({listedServer(1), listedServer(2), listedServer(3)});
  EXPECT_EQ(fixture.engine.poolView(fixture.now).listed, 3u);
  EXPECT_EQ(fixture.engine.poolView(fixture.now).avoided, 0u);
  std::vector<RequestId> failing;
  for (int i = 0; i < 12; ++i) failing.push_back(fixture.sendRequest(2, 0, 100 + static_cast<TenantId>(i)));
  for (const RequestId id : failing)
    if (fixture.attempts(id) > 0) fixture.endAttempt(id, AttemptResult::reset);
  EXPECT_EQ(fixture.engine.poolView(fixture.now).avoided, 3u);
  fixture.updateServers({listedServer(1)}, ListUpdateKind::full);
  EXPECT_EQ(fixture.engine.poolView(fixture.now).listed, 1u);
}

}  // namespace
}  // namespace lilacmux::test
