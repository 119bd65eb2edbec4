#include <cmath>
#include <list>

#include "decision/recorder.hpp"

namespace lilacmux::test {
namespace {

// Asks and, when sent, serves at once. Returns whether it was let in.
bool served(Bench& b, unsigned plan = 0, TenantId tenant = 1, int percent = -1, double units = 1,
            unsigned gatewaySetSize = 2) {
  const RequestId id = b.ask(0, plan, tenant, units, gatewaySetSize);
  if (!b.wasSent(id)) return false;
  b.end(id, AttemptResult::ok, 50, percent);
  return true;
}

// What a meter of all gateways tells of a tenant of plan 0 (ten a second): the units of the last finished
// second in percent, some time after its end; below 0 before the first.
class Meter {
 public:
  explicit Meter(Time lag) : lag_(lag) {}
  void add(Time now) { ++units_[static_cast<long>(now / 1000)]; }
  int percent(Time now) const {
    const long second = static_cast<long>(std::floor((now - lag_) / 1000)) - 1;
    if (second < 0) return -1;
    const auto found = units_.find(second);
    return found == units_.end() ? 0 : 10 * found->second;
  }

 private:
  Time lag_;
  std::map<long, int> units_;
};

std::vector<ListedServer> fleet() {
  std::vector<ListedServer> all;
  for (ServerId w = 1; w <= 50; ++w) all.push_back(member(w));
  return all;
}

TEST(Quota, NewTenantStartsAtBurstOverItsGateways) {
  Bench b;
  b.list({member(1)});
  int in = 0;
  while (served(b)) ++in;
  EXPECT_EQ(in, 10);
}

TEST(Quota, FillsTowardTheWholeRateAndBurst) {
  EngineSettings s = settings();
  s.gatewayCount = 1;
  Bench b(s);
  b.list({member(1)});
  while (served(b, 0, 1, -1, 1, 1)) {
  }
  b.now += 500;
  int in = 0;
  while (served(b, 0, 1, -1, 1, 1)) ++in;
  EXPECT_EQ(in, 5);
  b.now += 60000;
  in = 0;
  while (served(b, 0, 1, -1, 1, 1)) ++in;
  EXPECT_EQ(in, 20);
}

TEST(Quota, EmptyBucketRefusesAtOnceWithAnHonestRetryAfter) {
  Bench b;
  b.list({member(1)});
  while (served(b)) {
  }
  EXPECT_TRUE(b.wasRejected(b.last));
  EXPECT_NEAR(b.recorder.rejected[b.last], 100, 1);  // one unit at ten a second
  EXPECT_TRUE(b.recorder.timers.empty());
}

TEST(Quota, TrueUnitsCorrectTheGuess) {
  EngineSettings s = settings();
  s.gatewayCount = 1, s.hasEstimatedUnits = true;
  Bench b(s);
  b.list({member(1)});
  const RequestId id = b.ask(0, 0, 1, 8, 1);
  b.end(id, AttemptResult::ok, 50, -1, true, 3);  // five come back
  int in = 0;
  while (served(b, 0, 1, -1, 1, 1)) ++in;
  EXPECT_EQ(in, 17);
}

// A reading counts once, however many answers of its period it rides on.
TEST(Quota, RepeatedReadingTrimsOnce) {
  EngineSettings s = settings();
  s.gatewayCount = 1;
  const auto admitted = [&](int repeats) {
    Bench b(s);
    b.list({member(1)});
    for (int i = 0; i < 20; ++i) served(b, 0, 1, -1, 1, 1);
    b.now += 1100;
    for (int i = 0; i < repeats; ++i) served(b, 0, 1, 200, 1, 1);
    int in = 0;
    for (int i = 0; i < 400; ++i) {
      b.now += 100;
      in += served(b, 0, 1, -1, 1, 1);
    }
    return in;
  };
  EXPECT_NEAR(admitted(1), admitted(6), 12);
}

// Two gateways' worth of traffic: readings well above the quota trim what is let in past it.
TEST(Quota, ReadingsAboveTheQuotaTrim) {
  const auto admitted = [](int percent) {
    Bench b;
    b.list({member(1)});
    int in = 0;
    for (int i = 0; i < 600; ++i) {
      b.now += 50;
      in += served(b, 0, 1, percent);
    }
    return in;
  };
  EXPECT_LT(admitted(200), 0.75 * admitted(100));
}

TEST(Quota, AdmitFractionRecoversWithoutReadings) {
  Bench b;
  b.list({member(1)});
  for (int i = 0; i < 200; ++i) {
    b.now += 50;
    served(b, 0, 1, 400);
  }
  b.now += 60000;
  int in = 0;
  for (int i = 0; i < 40; ++i) {
    b.now += 500;  // two a second against ten
    in += served(b);
  }
  EXPECT_EQ(in, 40);
}

TEST(Quota, CapOnAttemptsInFlight) {
  Bench b;
  b.list({member(1)});
  const auto ask = [&] { return b.ask(0, 1, 1, 1, 1); };
  const RequestId first = ask(), second = ask(), third = ask();
  EXPECT_TRUE(b.wasSent(first));
  EXPECT_TRUE(b.wasSent(second));
  EXPECT_TRUE(b.wasRejected(third));
  b.end(first, AttemptResult::ok);
  EXPECT_TRUE(b.wasSent(ask()));
}

// What the gateways of a set have out together is the cap, also while the meter tells of none out where it
// goes up evenly.
TEST(Quota, GatewaysTogetherHoldACapOnAttemptsInFlight) {
  for (const unsigned cap : {2u, 5u, 6u}) {
    EngineSettings s = settings();
    s.plans[1].maxInFlight = cap;
    unsigned out = 0;
    for (s.gatewayIndex = 0; s.gatewayIndex < s.gatewayCount; ++s.gatewayIndex) {
      Bench b(s);
      b.list({member(1)});
      const RequestId told = b.ask(0, 1);
      b.end(told, AttemptResult::ok, 50, cap % 2 == 0 ? 0 : 100);
      for (unsigned i = 0; i < cap; ++i) out += b.wasSent(b.ask(0, 1));
    }
    EXPECT_EQ(out, cap);
  }
}

// Gateways that outnumber a cap, and a set that goes round past the last gateway: once the meter tells that
// the cap is reached, they take turns, and each has one.
TEST(Quota, GatewaysThatOutnumberACapTakeTurns) {
  EngineSettings s = settings();
  s.gatewayCount = 4;
  std::vector<int> turns(s.gatewayCount, 0);
  for (Time at = 0; at < 6000; at += 500) {
    int out = 0;
    for (const unsigned self : {3u, 0u, 1u}) {
      s.gatewayIndex = self;
      Bench b(s, 100000 + at);
      b.list({member(1)});
      const auto ask = [&] {
        b.gateway.handleRequest(b.now, {++b.last, 0, 1, 1, b.now + 3000, 1, 3, 3});
        return b.last;
      };
      const RequestId told = ask();
      ASSERT_TRUE(b.wasSent(told));
      b.end(told, AttemptResult::ok, 50, 100);
      const int mine = b.wasSent(ask()) + b.wasSent(ask());
      out += mine;
      turns[self] += mine;
    }
    EXPECT_EQ(out, 2) << at;
  }
  for (const unsigned self : {3u, 0u, 1u}) EXPECT_EQ(turns[self], 8) << self;
}

// All the gateways of the settings, each before the whole fleet of servers, and one of them at chance.
class Gateways {
 public:
  explicit Gateways(EngineSettings s) {
    for (s.gatewayIndex = 0; s.gatewayIndex < s.gatewayCount; ++s.gatewayIndex) {
      all_.emplace_back(s, 100000, s.gatewayIndex + 1);
      all_.back().list(fleet());
    }
  }
  std::uint64_t draw() {
    random_ = random_ * 6364136223846793005u + 1442695040888963407u;
    return random_ >> 33;
  }
  Bench& any(Time now) {
    Bench& b = *std::next(all_.begin(), static_cast<long>(draw() % all_.size()));
    b.now = now;
    return b;
  }

 private:
  std::list<Bench> all_;
  std::uint64_t random_ = 1;
};

// A hundred gateways serve one tenant whose cap on attempts out is two. Counts, over all of them, its tries
// let in and those of them that found the cap used up.
struct Crowd {
  int tries = 0, in = 0, beyond = 0;
};
Crowd crowdAtACap(double triesPerSecond) {
  constexpr Time kServed = 200;
  EngineSettings s = settings();
  s.gatewayCount = 100;
  s.plans[1].overQuotaCost = 1.2;
  Gateways gateways(s);
  struct Out {
    Time until;
    Bench* at;
    RequestId id;
  };
  std::list<Out> out;
  std::map<long, int> peaks;  // of each second
  Crowd crowd;
  for (Time now = 100000; now < 125000; now += 1000 / triesPerSecond) {
    while (!out.empty() && out.front().until <= now) {
      const Out ended = out.front();
      out.pop_front();
      ended.at->now = ended.until;
      const long told = static_cast<long>((ended.until - 800) / 1000) - 1;
      ended.at->end(ended.id, AttemptResult::ok, kServed, told < 100 ? -1 : 50 * peaks[told]);
    }
    Bench& b = gateways.any(now);
    const RequestId id = b.ask(0, 1, 1, 1, 100);
    ++crowd.tries;
    if (!b.wasSent(id)) continue;
    ++crowd.in;
    crowd.beyond += out.size() >= s.plans[1].maxInFlight;
    out.push_back({now + kServed, &b, id});
    int& peak = peaks[static_cast<long>(now / 1000)];
    peak = std::max(peak, static_cast<int>(out.size()));
  }
  return crowd;
}

TEST(Quota, AHundredGatewaysHoldTheCapOfOneThatAsksForManyTimesIt) {
  const Crowd crowd = crowdAtACap(60);
  EXPECT_GT(crowd.in, 50);
  EXPECT_LT(crowd.beyond, crowd.in / 3) << crowd.in;
}

// A cap of two attempts of 200 ms bears ten tries a second at the very most.
TEST(Quota, AHundredGatewaysServeOneThatKeepsToItsCap) {
  const Crowd crowd = crowdAtACap(2);
  EXPECT_GT(crowd.in, crowd.tries / 6);
  EXPECT_LT(crowd.beyond, crowd.in / 10);
}

// A hundred gateways before a plan whose rate brings each of them one request in fifty seconds. One tenant
// asks for eight times the rate, and fifty for a tenth of it; nobody is told any reading.
TEST(Quota, AHundredGatewaysDoNotEachTakeASlowPlansBucketForFull) {
  EngineSettings s = settings();
  s.gatewayCount = 100;
  s.plans[0].rate = 2, s.plans[0].burst = 10;
  Gateways gateways(s);
  int heavy = 0, light = 0, lightAsked = 0;
  for (Time now = 102000; now < 122000; now += 50) {
    const auto ask = [&](TenantId tenant) { return served(gateways.any(now), 0, tenant, -1, 1, 100); };
    heavy += ask(1);
    if (gateways.draw() % 2 == 0) light += ask(2 + gateways.draw() % 50), ++lightAsked;
  }
  EXPECT_GT(heavy, 30);
  EXPECT_LT(heavy, 100);  // a store of 10 and 2 a second for 20 s: 50
  EXPECT_GT(light, lightAsked / 2);
}

TEST(Quota, OneOffTenantsDoNotBringAHeavyOneBackRefilled) {
  EngineSettings s = settings();
  s.plans[0].rate = 0.001;
  Bench b(s);
  b.list({member(1)});
  while (served(b)) {
  }
  for (TenantId c = 100; c < 9000; ++c) {
    b.gateway.handleRequest(b.now,
                            {++b.last, 0, 0, c, b.now + 3000, 100000, 2});  // never let in: loses nothing
  }
  EXPECT_LE(b.gateway.tenantCount(), 4096u);
  EXPECT_FALSE(served(b));
}

// A trickle past the fraction's floor, for a tenant that asks many times its quota, adds up to a good part
// of it.
TEST(Quota, NoTrickleWhileTheEstimateOwes) {
  Bench b;
  b.list({member(1)});
  int in = 0;
  for (int i = 0; i < 4000; ++i) {
    b.now += 5;  // 200 a second against ten, and the meter tells twice the rate
    in += served(b, 0, 1, 200);
  }
  EXPECT_LT(in, 20 * 10 / 2 + 20);  // half the rate, and the first burst
}

// Many gateways: each meets a tenant rarely, and its part of a small burst is under one request. A gateway
// that has long been up lets the first one in.
TEST(Quota, FirstRequestOfATenantAtAGatewayLongUpIsAdmitted) {
  EngineSettings s = settings();
  s.gatewayCount = 200;
  s.plans[0].rate = 1, s.plans[0].burst = 4;
  Bench b(s);
  b.list(fleet());
  b.now += 20000;
  EXPECT_TRUE(served(b, 0, 1, -1, 1, 30));
}

// Its own rare requests and readings of little use say nothing against a calm tenant among thirty gateways;
// readings of three times the quota trim it.
TEST(Quota, RareRequestsGoByTheReadings) {
  const auto admitted = [](int percent) {
    EngineSettings s = settings();
    s.gatewayCount = 200;
    s.plans[0].rate = 1, s.plans[0].burst = 4;
    Bench b(s);
    b.list(fleet());
    int in = 0;
    for (int i = 0; i < 40; ++i) {
      b.now += 5000;
      in += served(b, 0, 1, percent, 1, 30);
    }
    return in;
  };
  EXPECT_EQ(admitted(0), 40);
  EXPECT_LT(admitted(300), 25);
}

// A tenant far past its quota, spread evenly over ten gateways: each lets in about its tenth of the rate,
// whatever it makes of the demand. Together they would else go past the quota by what they misjudge.
TEST(Quota, WhileTheBucketIsEmptyAGatewayAdmitsItsShareOfTheRate) {
  EngineSettings s = settings();
  s.gatewayCount = 10;
  std::list<Bench> gates;
  for (s.gatewayIndex = 0; s.gatewayIndex < s.gatewayCount; ++s.gatewayIndex)
    gates.emplace_back(s).list({member(1)});
  Meter meter(500);
  int in = 0;
  for (Time now = 50; now < 60000; now += 50) {  // twenty a second at each, two hundred in all, against ten
    for (Bench& gate : gates) {
      gate.now = now;
      const bool let = served(gate, 0, 1, meter.percent(now), 1, 10);
      if (let) meter.add(now);
      if (now > 10000) in += let;
    }
  }
  EXPECT_GT(in, 250);
  EXPECT_LT(in, 750);  // of 50 seconds at ten a second
}

// A gateway through which all of a tenant's requests come, at odd times and inside its quota. Held against
// another time than the meter's, its own sends look like those of others, and the room is refused.
TEST(Quota, LearnsWhichPeriodReadingsCover) {
  for (const Time lag : {300.0, 900.0, 1700.0}) {
    Bench b;
    b.list(fleet());
    Meter meter(lag);
    int asked = 0, in = 0;
    std::uint32_t dice = 1;
    for (Time now = 0; now < 60000; now += 100) {
      dice = dice * 1664525 + 1013904223;
      if ((dice >> 16) % 50 >= 10) continue;
      for (int i = 0; i < 4; ++i) {  // eight a second against ten, four at a time
        b.now = now + 10 * i;
        const bool let = served(b, 0, 1, meter.percent(b.now));
        if (let) meter.add(b.now);
        if (now > 10000) ++asked, in += let;
      }
    }
    EXPECT_GT(in, 0.9 * asked) << "lag " << lag;
  }
}

TEST(Quota, ZeroRatesAndAbsentReadingsAreLegal) {
  EngineSettings s = settings();
  s.meterPeriod = 0;
  s.plans = {PlanSettings{}};
  Bench b(s);
  b.list({member(1)});
  for (int i = 0; i < 50; ++i) EXPECT_TRUE(served(b, 0, 1, i % 2 ? 0 : -1));
}

}  // namespace
}  // namespace lilacmux::test
