#include <cmath>
#include <deque>

#include "decision/recorder.hpp"

namespace lilacmux::test {
namespace {

double ceilingUnits(Bench& b, Time span, TenantId tenant = 1) {
  double units = 0;
  for (Time end = b.now + span; b.now < end; b.now += 10) {
    const RequestId id = b.ask(0, 2, tenant, 2);
    if (!b.wasSent(id)) continue;
    units += 2;
    b.end(id, AttemptResult::ok, 10, 0);
  }
  return units;
}

TEST(HardLimit, OneGatewayKeepsToItsShareHoweverTheTrafficIsSplit) {
  EngineSettings s = settings();
  s.plans[2].rate = 1000, s.plans[2].burst = 1000;  // the quota is not what holds here
  Bench b(s);
  b.list({member(1)});
  b.now += 60000;
  EXPECT_LE(ceilingUnits(b, 10000), 20 + 10 * 10);
}

TEST(HardLimit, ARestartDoesNotRefillIt) {
  EngineSettings s = settings();
  s.plans[2].rate = 1000, s.plans[2].burst = 1000;
  Bench b(s, 50000);
  b.list({member(1)});
  EXPECT_LE(ceilingUnits(b, 1000), 10);
}

TEST(HardLimit, AnEvictionDoesNotRefillIt) {
  EngineSettings s = settings();
  s.plans[2].rate = 1000, s.plans[2].burst = 1000;
  Bench b(s);
  b.list({member(1)});
  b.now += 60000;
  ceilingUnits(b, 5000);
  for (TenantId c = 100; c < 9000; ++c) {
    const RequestId id = b.ask(0, 2, c, 2);
    if (b.wasSent(id)) b.end(id, AttemptResult::ok, 10);
  }
  EXPECT_LE(ceilingUnits(b, 1000), 12);
}

TEST(Drain, NothingNewToADrainingGoneOrUnlistedServer) {
  Bench b;
  b.list({member(1), member(2), member(3), member(4)});
  ListedServer draining = member(1), gone = member(2);
  draining.phase = ServerPhase::draining, gone.phase = ServerPhase::gone;
  b.list({draining, gone}, ListUpdateKind::delta);
  b.list({draining, member(4)});  // server 3 is missing from the whole list
  for (TenantId c = 0; c < 40; ++c) {
    const RequestId id = b.ask(0, 0, c);
    ASSERT_TRUE(b.wasSent(id));
    EXPECT_EQ(b.lastServer(), 4u);
    b.end(id, AttemptResult::ok);
  }
}

TEST(Drain, EmptyListRefuses) {
  Bench b;
  const RequestId id = b.ask();
  EXPECT_TRUE(b.wasRejected(id));
}

TEST(SlowStart, SendsStayUnderTheShareOfAWarmServersAndAreSpreadOut) {
  EngineSettings s = settings();
  Bench b(s, 100000);
  b.list({member(1), member(2), member(3)});
  std::map<ServerId, int> first, count;
  std::deque<RequestId> out;
  const auto drive = [&](Time span, std::map<ServerId, int>& into) {
    for (Time end = b.now + span; b.now < end; b.now += 10) {
      const RequestId id = b.ask(0, 0, b.last);
      if (!b.wasSent(id)) continue;
      ++into[b.lastServer()];
      out.push_back(id);
      if (out.size() > 8) {
        b.end(out.front(), AttemptResult::ok, 50);
        out.pop_front();
      }
    }
  };
  drive(5000, first);
  b.list({member(4, 0, b.now)}, ListUpdateKind::delta);
  std::map<ServerId, int> burst;
  drive(100, burst);
  EXPECT_LE(burst[4], 1);
  drive(2000, count);
  const double warm = (count[1] + count[2] + count[3]) / 3.0;
  EXPECT_GT(count[4], 0);
  EXPECT_LE(count[4], 0.36 * warm + 1);
}

// Every gateway has just restarted and the whole fleet is cold: together they keep to what one request a span
// at every server allows, instead of one each at once.
TEST(SlowStart, RestartedGatewaysBeforeAFleetThatWarmsUpSendLittleAtFirst) {
  EngineSettings s = settings();
  s.gatewayCount = 200;
  s.plans[0].rate = 1000, s.plans[0].burst = 100000;
  unsigned sent = 0;
  for (unsigned g = 0; g < s.gatewayCount; ++g) {
    s.gatewayIndex = g;
    Recorder recorder;
    DecisionEngine gateway(s, 1000 + g, 50000, recorder);
    gateway.updateServers(50000, ListUpdateKind::cached, {member(1, 0, 50000), member(2, 0, 50000)});
    for (RequestId i = 0; i < 20; ++i) gateway.handleRequest(50000 + 50 * i, {i, 0, 0, 1, 60000, 1, 200});
    sent += static_cast<unsigned>(recorder.sends.size());
  }
  EXPECT_LE(sent, 2 * s.overloadFactor);  // a multiple of one for each of two servers in one span
}

// A tenant whose set of gateways grows leaves this gateway a smaller part of its ceiling at once.
TEST(HardLimit, FollowsTheTenantsSetOfGateways) {
  EngineSettings s = settings();
  s.gatewayCount = 40;
  s.plans[2].rate = 1000, s.plans[2].burst = 1000;
  Bench b(s);
  b.list({member(1), member(2), member(3), member(4)});
  b.now += 60000;
  b.end(b.ask(0, 2, 1, 1, 2), AttemptResult::ok);
  int in = 0;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = b.ask(0, 2, 1, 1, 20);
    if (!b.wasSent(id)) continue;
    ++in;
    b.end(id, AttemptResult::ok);
  }
  EXPECT_LE(in, 2);  // a twentieth of a store of forty
}

TEST(ServerPool, ServersListedTwiceOrBackUnderANewStartAreOne) {
  Bench b(settings(), 50000);
  b.list({member(1), member(1), member(2)});
  const RequestId id = b.ask();
  b.list({member(1, 0, 50000), member(2, 0, 50000), member(2, 0, 50000)}, ListUpdateKind::delta);
  b.end(id, AttemptResult::reset);
  EXPECT_LE(b.attempts(id), 2u);
  b.now += 60000;
  EXPECT_TRUE(b.wasSent(b.ask()));
}

TEST(Clock, AGapOfAnHourIsLegal) {
  Bench b;
  b.list({member(1)});
  const RequestId id = b.ask(0, 0, 1, 1, 2, 5e6);
  b.now += 3.6e6;
  b.end(id, AttemptResult::ok, 3.6e6, 300);
  int in = 0;
  for (int i = 0; i < 10; ++i) {
    const RequestId next = b.ask();
    if (!b.wasSent(next)) continue;
    ++in;
    b.end(next, AttemptResult::ok);
  }
  EXPECT_GT(in, 0);
}

// Memory over a long stream of new tenants, with answers that never come but end by their time-outs.
TEST(TenantTable, StaysBoundedOverALongStreamOfNewTenants) {
  Bench b;
  b.list({member(1), member(2)});
  for (int i = 0; i < 20000; ++i) {
    b.now += 20;
    const RequestId id = b.ask(0, 0, 1000 + i);
    if (b.wasSent(id)) b.end(id, i % 3 ? AttemptResult::ok : AttemptResult::timeout, 100, -1, true);
  }
  EXPECT_LE(b.gateway.tenantCount(), 4096u);
  EXPECT_EQ(b.gateway.pendingRequestCount(), 0u);
}

// An attempt that gets no answer while the server answers later ones at once
// was lost on the way, or its answer was: that tells nothing of load, however
// long it took.
TEST(ConcurrencyLimit, AnAttemptLostAtAServerThatAnswersCutsNothing) {
  Bench b;
  b.list({member(1)});
  TenantId tenant = 1;
  for (int i = 0; i < 20; ++i) {
    const RequestId lost = b.ask(2, 0, tenant++);
    ASSERT_TRUE(b.wasSent(lost));
    for (int j = 0; j < 10; ++j) {
      b.now += 100;
      const RequestId quick = b.ask(0, 0, tenant++);
      if (b.wasSent(quick)) b.end(quick, AttemptResult::ok, 10);
    }
    b.end(lost, i % 2 ? AttemptResult::timeout : AttemptResult::malformed, 1000);
  }
  for (int i = 0; i < 3; ++i) EXPECT_TRUE(b.wasSent(b.ask(0, 0, tenant++)));
}

TEST(Suspension, HoldsWhateverTheListSaysAndOneResumeEndsIt) {
  Bench bench;
  bench.list({member(1), member(2)});
  bench.gateway.suspend(bench.now, 1);
  bench.gateway.suspend(bench.now += 10, 1);
  const auto ask = [&] {
    const RequestId id = bench.ask(0, 0, 100 + bench.last);
    EXPECT_TRUE(bench.wasSent(id));
    const ServerId server = bench.lastServer();
    bench.end(id, AttemptResult::connectFailed);  // a further attempt must not go there either
    EXPECT_EQ(bench.lastServer(), 2u);
    bench.end(id, AttemptResult::ok, 10);
    return server;
  };
  EXPECT_EQ(ask(), 2u);
  bench.list({member(1, 0, bench.now), member(2)});  // it has restarted
  EXPECT_EQ(ask(), 2u);
  bench.list({member(2)});
  bench.list({member(1), member(2)});
  EXPECT_EQ(ask(), 2u);
  EXPECT_EQ(bench.gateway.poolView(bench.now).avoided, 1u);
  bench.gateway.resume(bench.now += 100, 1);
  EXPECT_EQ(bench.gateway.poolView(bench.now).avoided, 0u);
  bool sent = false;
  for (int i = 0; i < 200 && !sent; ++i) {
    bench.now += 25;
    const RequestId id = bench.ask(0, 0, 1000 + bench.last);
    sent = bench.wasSent(id) && bench.lastServer() == 1;
    if (bench.wasSent(id)) bench.end(id, AttemptResult::ok, 10);
  }
  EXPECT_TRUE(sent);
}

// A server is restarted while it is left out, and the list may tell so later or not at all.
TEST(Suspension, AResumedServerWarmsUpAlsoWhereNoStartIsListed) {
  for (const bool told : {false, true}) {
    Bench bench;
    bench.list({member(1), member(2)});
    unsigned cold = 0, usual = 0;
    const auto run = [&](Time span, unsigned& at) {
      for (const Time end = bench.now + span; bench.now < end; bench.now += 10) {
        const RequestId id = bench.ask(0, 0, 100 + bench.last);
        if (!bench.wasSent(id)) continue;
        at += bench.lastServer() == 1;
        bench.end(id, AttemptResult::ok, 5);
      }
    };
    run(3000, usual);
    bench.gateway.suspend(bench.now, 1);
    bench.now += 1000;
    if (told) bench.list({member(1, 0, bench.now)}, ListUpdateKind::delta);
    bench.gateway.resume(bench.now, 1);
    run(3000, cold);
    EXPECT_GT(cold, 3u);
    EXPECT_LT(cold, usual * 2 / 3) << told;
  }
}

// The next process of a gateway in the middle of its day: a tenant that has used its quota up, a server
// that failed, cold ones that are sent to by the rate of the warm ones.
TEST(LearnedState, TheNextProcessGoesOnWhereTheOldOneStood) {
  Bench old(settings(), 100000);
  old.list({member(1), member(2)});
  for (int i = 0; i < 200; ++i, old.now += 10) {
    const RequestId id = old.ask(0, 0, 100 + i % 50);
    if (old.wasSent(id)) old.end(id, AttemptResult::ok, 5, 20);
  }
  while (!old.wasRejected(old.ask(0, 0, 7))) old.end(old.last, AttemptResult::ok, 1);
  EXPECT_TRUE(old.wasSent(old.ask(0, 1, 8)));  // its part of the cap
  const auto known = old.gateway.exportLearnedState(old.now);

  Bench next(settings(), old.now), blank(settings(), old.now);
  for (Bench* bench : {&next, &blank}) bench->list({member(1), member(2), member(3, 0, old.now - 5000)});
  EXPECT_TRUE(next.gateway.importLearnedState(next.now, known));
  EXPECT_TRUE(next.wasRejected(next.ask(0, 0, 7)));
  EXPECT_FALSE(blank.wasRejected(blank.ask(0, 0, 7)));
  EXPECT_TRUE(next.wasRejected(next.ask(0, 1, 8)));  // it is out at the old one
  unsigned sent[2] = {0, 0};                         // to the cold one, where there is no other
  for (Bench* bench : {&next, &blank}) {
    bench->gateway.suspend(bench->now, 1);
    bench->gateway.suspend(bench->now, 2);
    for (TenantId tenant = 200; tenant < 300; ++tenant) {
      bench->now += 10;
      const RequestId id = bench->ask(0, 0, tenant);
      if (!bench->wasSent(id)) continue;
      ++sent[bench == &blank];
      bench->end(id, AttemptResult::ok, 5);
    }
  }
  EXPECT_GT(sent[0], 3 * sent[1]);
}

TEST(LearnedState, WhatIsMalformedIsTakenAsNone) {
  Bench old;
  old.list({member(1)});
  old.end(old.ask(), AttemptResult::ok);
  const auto sound = old.gateway.exportLearnedState(old.now);
  auto shorter = sound, other = sound, endless = sound, many = sound;
  shorter.pop_back(), other[0] += 1, endless.back() = HUGE_VAL, many[8] = 1e300;
  for (const auto& bad : {shorter, other, endless, many, std::vector<double>{}}) {
    Bench next;
    EXPECT_FALSE(next.gateway.importLearnedState(next.now, bad));
  }
  std::vector<double> wild = sound;  // of the right form, with figures that no gateway has
  for (std::size_t i = 10; i < wild.size(); ++i) wild[i] = i % 2 ? -1e200 : 1e200;
  Bench next;
  next.list({member(1)});
  next.gateway.importLearnedState(next.now, wild);
  EngineSettings alone = settings();
  alone.gatewayCount = 1;
  Bench foreign(alone);
  EXPECT_FALSE(foreign.gateway.importLearnedState(foreign.now, sound));
}

TEST(PoolView, CountsTheListedAndThoseAvoided) {
  Bench bench;
  bench.list({member(1), member(2), member(3)});
  EXPECT_EQ(bench.gateway.poolView(bench.now).listed, 3u);
  EXPECT_EQ(bench.gateway.poolView(bench.now).avoided, 0u);
  std::vector<RequestId> failing;
  for (int i = 0; i < 12; ++i) failing.push_back(bench.ask(2, 0, 100 + static_cast<TenantId>(i)));
  for (const RequestId id : failing)
    if (bench.attempts(id) > 0) bench.end(id, AttemptResult::reset);
  EXPECT_EQ(bench.gateway.poolView(bench.now).avoided, 3u);
  bench.list({member(1)}, ListUpdateKind::full);
  EXPECT_EQ(bench.gateway.poolView(bench.now).listed, 1u);
}

}  // namespace
}  // namespace lilacmux::test
