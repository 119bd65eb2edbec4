#include <cmath>
#include <list>

#include "decision/recorder.hpp"

namespace lilacmux::test {
namespace {

// Sends a request and, if it was admitted, ends its attempt at once. Returns whether it was admitted.
bool sendAndServe(EngineFixture& b, unsigned plan = 0, TenantId tenant = 1, int percent = -1,
                  double units = 1, unsigned gatewaySetSize = 2) {
  const RequestId id = b.sendRequest(0, plan, tenant, units, gatewaySetSize);
  if (!b.wasSent(id)) return false;
  b.endAttempt(id, AttemptResult::ok, 50, percent);
  return true;
}

// A meter of all gateways for a tenant of plan 0 (rate: ten units per second). Gives the units of the last
// complete second in percent, `lag` ms after its end; below 0 before the first.
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
  for (ServerId w = 1; w <= 50; ++w) all.push_back(listedServer(w));
  return all;
}

TEST(Quota, NewTenantStartsWithItsGatewaysShareOfTheBurst) {
  EngineFixture b;
  b.updateServers({listedServer(1)});
  int admitted = 0;
  while (sendAndServe(b)) ++admitted;
  EXPECT_EQ(admitted, 10);
}

TEST(Quota, SingleGatewayRefillsAtTheFullRateUpToTheBurst) {
  EngineSettings s = settings();
  s.gatewayCount = 1;
  EngineFixture b(s);
  b.updateServers({listedServer(1)});
  while (sendAndServe(b, 0, 1, -1, 1, 1)) {
  }
  b.now += 500;
  int admitted = 0;
  while (sendAndServe(b, 0, 1, -1, 1, 1)) ++admitted;
  EXPECT_EQ(admitted, 5);
  b.now += 60000;
  admitted = 0;
  while (sendAndServe(b, 0, 1, -1, 1, 1)) ++admitted;
  EXPECT_EQ(admitted, 20);
}

TEST(Quota, EmptyBucketRejectsAtOnceWithTheTimeToRefill) {
  EngineFixture b;
  b.updateServers({listedServer(1)});
  while (sendAndServe(b)) {
  }
  EXPECT_TRUE(b.wasRejected(b.lastId));
  EXPECT_NEAR(b.recorder.rejected[b.lastId], 100, 1);  // one unit at ten a second
  EXPECT_TRUE(b.recorder.timers.empty());
}

TEST(Quota, ActualUnitsCorrectTheEstimate) {
  EngineSettings s = settings();
  s.gatewayCount = 1, s.hasEstimatedUnits = true;
  EngineFixture b(s);
  b.updateServers({listedServer(1)});
  const RequestId id = b.sendRequest(0, 0, 1, 8, 1);
  b.endAttempt(id, AttemptResult::ok, 50, -1, true, 3);  // five units are refunded
  int admitted = 0;
  while (sendAndServe(b, 0, 1, -1, 1, 1)) ++admitted;
  EXPECT_EQ(admitted, 17);
}

// A reading counts once, however many responses carry it.
TEST(Quota, RepeatedReadingCountsOnce) {
  EngineSettings s = settings();
  s.gatewayCount = 1;
  const auto admittedRequests = [&](int repeats) {
    EngineFixture b(s);
    b.updateServers({listedServer(1)});
    for (int i = 0; i < 20; ++i) sendAndServe(b, 0, 1, -1, 1, 1);
    b.now += 1100;
    for (int i = 0; i < repeats; ++i) sendAndServe(b, 0, 1, 200, 1, 1);
    int admitted = 0;
    for (int i = 0; i < 400; ++i) {
      b.now += 100;
      admitted += sendAndServe(b, 0, 1, -1, 1, 1);
    }
    return admitted;
  };
  EXPECT_NEAR(admittedRequests(1), admittedRequests(6), 12);
}

// Two gateways share the traffic: readings well above the quota reduce the units admitted beyond it.
TEST(Quota, ReadingsAboveTheQuotaReduceAdmission) {
  const auto admittedRequests = [](int percent) {
    EngineFixture b;
    b.updateServers({listedServer(1)});
    int admitted = 0;
    for (int i = 0; i < 600; ++i) {
      b.now += 50;
      admitted += sendAndServe(b, 0, 1, percent);
    }
    return admitted;
  };
  EXPECT_LT(admittedRequests(200), 0.75 * admittedRequests(100));
}

TEST(Quota, AdmitFractionRecoversWithoutReadings) {
  EngineFixture b;
  b.updateServers({listedServer(1)});
  for (int i = 0; i < 200; ++i) {
    b.now += 50;
    sendAndServe(b, 0, 1, 400);
  }
  b.now += 60000;
  int admitted = 0;
  for (int i = 0; i < 40; ++i) {
    b.now += 500;  // two per second, at a rate of ten
    admitted += sendAndServe(b);
  }
  EXPECT_EQ(admitted, 40);
}

TEST(Quota, ConcurrencyCapLimitsAttemptsInFlight) {
  EngineFixture b;
  b.updateServers({listedServer(1)});
  const auto send = [&] { return b.sendRequest(0, 1, 1, 1, 1); };
  const RequestId first = send(), second = send(), third = send();
  EXPECT_TRUE(b.wasSent(first));
  EXPECT_TRUE(b.wasSent(second));
  EXPECT_TRUE(b.wasRejected(third));
  b.endAttempt(first, AttemptResult::ok);
  EXPECT_TRUE(b.wasSent(send()));
}

// The gateways of a set together have as many attempts in flight as the cap allows, also while the meter
// reports none in flight if the cap divides evenly.
TEST(Quota, GatewaysTogetherKeepToAConcurrencyCap) {
  for (const unsigned cap : {2u, 5u, 6u}) {
    EngineSettings s = settings();
    s.plans[1].maxInFlight = cap;
    unsigned out = 0;
    for (s.gatewayIndex = 0; s.gatewayIndex < s.gatewayCount; ++s.gatewayIndex) {
      EngineFixture b(s);
      b.updateServers({listedServer(1)});
      const RequestId metered = b.sendRequest(0, 1);
      b.endAttempt(metered, AttemptResult::ok, 50, cap % 2 == 0 ? 0 : 100);
      for (unsigned i = 0; i < cap; ++i) out += b.wasSent(b.sendRequest(0, 1));
    }
    EXPECT_EQ(out, cap);
  }
}

// More gateways than the cap has attempts, and a set that continues past the last gateway index: once the
// meter reports that the cap is reached, the gateways take turns, and each gets one.
TEST(Quota, GatewaysThatOutnumberAConcurrencyCapTakeTurns) {
  EngineSettings s = settings();
  s.gatewayCount = 4;
  std::vector<int> turns(s.gatewayCount, 0);
  for (Time elapsed = 0; elapsed < 6000; elapsed += 500) {
    int out = 0;
    for (const unsigned gatewayIndex : {3u, 0u, 1u}) {
      s.gatewayIndex = gatewayIndex;
      EngineFixture b(s, 100000 + elapsed);
      b.updateServers({listedServer(1)});
      const auto send = [&] {
        b.engine.handleRequest(b.now, {++b.lastId, 0, 1, 1, b.now + 3000, 1, 3, 3});
        return b.lastId;
      };
      const RequestId metered = send();
      ASSERT_TRUE(b.wasSent(metered));
      b.endAttempt(metered, AttemptResult::ok, 50, 100);
      const int own = b.wasSent(send()) + b.wasSent(send());
      out += own;
      turns[gatewayIndex] += own;
    }
    EXPECT_EQ(out, 2) << elapsed;
  }
  for (const unsigned gatewayIndex : {3u, 0u, 1u}) EXPECT_EQ(turns[gatewayIndex], 8) << gatewayIndex;
}

// All gateways of the settings, each with the same servers; any() returns one of them at random.
class Gateways {
 public:
  explicit Gateways(EngineSettings s) {
    for (s.gatewayIndex = 0; s.gatewayIndex < s.gatewayCount; ++s.gatewayIndex) {
      all_.emplace_back(s, 100000, s.gatewayIndex + 1);
      all_.back().updateServers(fleet());
    }
  }
  std::uint64_t draw() {
    random_ = random_ * 6364136223846793005u + 1442695040888963407u;
    return random_ >> 33;
  }
  EngineFixture& any(Time now) {
    EngineFixture& b = *std::next(all_.begin(), static_cast<long>(draw() % all_.size()));
    b.now = now;
    return b;
  }

 private:
  std::list<EngineFixture> all_;
  std::uint64_t random_ = 1;
};

// A hundred gateways serve one tenant with a concurrency cap of two. Counts, over all gateways, its requests,
// those admitted, and those admitted beyond the cap.
struct CapUse {
  int requests = 0, admitted = 0, beyondCap = 0;
};
CapUse useOfACap(double requestsPerSecond) {
  constexpr Time kAttemptTime = 200;
  EngineSettings s = settings();
  s.gatewayCount = 100;
  s.plans[1].overQuotaCost = 1.2;
  Gateways gateways(s);
  struct InFlight {
    Time until;
    EngineFixture* gateway;
    RequestId id;
  };
  std::list<InFlight> out;
  std::map<long, int> peaks;  // by second
  CapUse use;
  for (Time now = 100000; now < 125000; now += 1000 / requestsPerSecond) {
    while (!out.empty() && out.front().until <= now) {
      const InFlight ended = out.front();
      out.pop_front();
      ended.gateway->now = ended.until;
      const long meteredSecond = static_cast<long>((ended.until - 800) / 1000) - 1;
      ended.gateway->endAttempt(ended.id, AttemptResult::ok, kAttemptTime,
                                meteredSecond < 100 ? -1 : 50 * peaks[meteredSecond]);
    }
    EngineFixture& b = gateways.any(now);
    const RequestId id = b.sendRequest(0, 1, 1, 1, 100);
    ++use.requests;
    if (!b.wasSent(id)) continue;
    ++use.admitted;
    use.beyondCap += out.size() >= s.plans[1].maxInFlight;
    out.push_back({now + kAttemptTime, &b, id});
    int& peak = peaks[static_cast<long>(now / 1000)];
    peak = std::max(peak, static_cast<int>(out.size()));
  }
  return use;
}

TEST(Quota, HundredGatewaysKeepToTheCapOfATenantFarBeyondIt) {
  const CapUse use = useOfACap(60);
  EXPECT_GT(use.admitted, 50);
  EXPECT_LT(use.beyondCap, use.admitted / 3) << use.admitted;
}

// A cap of two attempts of 200 ms each allows at most ten requests per second.
TEST(Quota, HundredGatewaysServeATenantWithinItsCap) {
  const CapUse use = useOfACap(2);
  EXPECT_GT(use.admitted, use.requests / 6);
  EXPECT_LT(use.beyondCap, use.admitted / 10);
}

// A hundred gateways share a plan whose rate gives each of them one request in fifty seconds. One tenant
// requests eight times the rate, and fifty tenants a tenth of it; no readings arrive.
TEST(Quota, HundredGatewaysDoNotEachAssumeAFullBucketOfASlowPlan) {
  EngineSettings s = settings();
  s.gatewayCount = 100;
  s.plans[0].rate = 2, s.plans[0].burst = 10;
  Gateways gateways(s);
  int heavy = 0, light = 0, lightRequested = 0;
  for (Time now = 102000; now < 122000; now += 50) {
    const auto send = [&](TenantId tenant) { return sendAndServe(gateways.any(now), 0, tenant, -1, 1, 100); };
    heavy += send(1);
    if (gateways.draw() % 2 == 0) light += send(2 + gateways.draw() % 50), ++lightRequested;
  }
  EXPECT_GT(heavy, 30);
  EXPECT_LT(heavy, 100);  // a burst of 10 and 2 per second for 20 s: 50
  EXPECT_GT(light, lightRequested / 2);
}

TEST(Quota, OneOffTenantsDoNotRefillAHeavyTenantByItsEviction) {
  EngineSettings s = settings();
  s.plans[0].rate = 0.001;
  EngineFixture b(s);
  b.updateServers({listedServer(1)});
  while (sendAndServe(b)) {
  }
  for (TenantId c = 100; c < 9000; ++c) {
    // Never admitted: the tenant loses nothing by its eviction.
    b.engine.handleRequest(b.now, {++b.lastId, 0, 0, c, b.now + 3000, 100000, 2});
  }
  EXPECT_LE(b.engine.tenantCount(), 4096u);
  EXPECT_FALSE(sendAndServe(b));
}

// For a tenant that requests many times its quota, a small rate admitted by the minimum admit fraction would
// add up to a good part of the quota.
TEST(Quota, NothingIsAdmittedWhileTheGlobalBucketIsInDebt) {
  EngineFixture b;
  b.updateServers({listedServer(1)});
  int admitted = 0;
  for (int i = 0; i < 4000; ++i) {
    b.now += 5;  // 200 per second at a rate of ten, and the meter reports twice the rate
    admitted += sendAndServe(b, 0, 1, 200);
  }
  EXPECT_LT(admitted, 20 * 10 / 2 + 20);  // half the rate, and the first burst
}

// With many gateways, each rarely receives a tenant's requests, and its share of a small burst is less than
// one request. A gateway that has been running for long admits the first one.
TEST(Quota, FirstRequestAtALongRunningGatewayIsAdmitted) {
  EngineSettings s = settings();
  s.gatewayCount = 200;
  s.plans[0].rate = 1, s.plans[0].burst = 4;
  EngineFixture b(s);
  b.updateServers(fleet());
  b.now += 20000;
  EXPECT_TRUE(sendAndServe(b, 0, 1, -1, 1, 30));
}

// A gateway's own rare requests and low readings do not reject a light tenant that uses thirty gateways;
// readings of three times the quota do.
TEST(Quota, RareRequestsAreAdmittedByTheReadings) {
  const auto admittedRequests = [](int percent) {
    EngineSettings s = settings();
    s.gatewayCount = 200;
    s.plans[0].rate = 1, s.plans[0].burst = 4;
    EngineFixture b(s);
    b.updateServers(fleet());
    int admitted = 0;
    for (int i = 0; i < 40; ++i) {
      b.now += 5000;
      admitted += sendAndServe(b, 0, 1, percent, 1, 30);
    }
    return admitted;
  };
  EXPECT_EQ(admittedRequests(0), 40);
  EXPECT_LT(admittedRequests(300), 25);
}

// A tenant far beyond its quota, spread evenly over ten gateways: each admits about a tenth of the rate,
// whatever its estimate of the demand. Otherwise errors of the estimates would add up beyond the quota.
TEST(Quota, GatewayAdmitsItsShareOfTheRateWhileTheBucketIsEmpty) {
  EngineSettings s = settings();
  s.gatewayCount = 10;
  std::list<EngineFixture> gateways;
  for (s.gatewayIndex = 0; s.gatewayIndex < s.gatewayCount; ++s.gatewayIndex)
    gateways.emplace_back(s).updateServers({listedServer(1)});
  Meter meter(500);
  int admitted = 0;
  // Twenty requests per second at each gateway, two hundred in total, at a rate of ten.
  for (Time now = 50; now < 60000; now += 50) {
    for (EngineFixture& gateway : gateways) {
      gateway.now = now;
      const bool isAdmitted = sendAndServe(gateway, 0, 1, meter.percent(now), 1, 10);
      if (isAdmitted) meter.add(now);
      if (now > 10000) admitted += isAdmitted;
    }
  }
  EXPECT_GT(admitted, 250);
  EXPECT_LT(admitted, 750);  // of 50 seconds at ten per second
}

// A gateway that receives all of a tenant's requests, at irregular times and within its quota. Compared with
// another period than the meter's, the gateway's own sends look like other gateways' use, and requests would
// be rejected although tokens are left.
TEST(Quota, LearnsWhichPeriodReadingsCover) {
  for (const Time lag : {300.0, 900.0, 1700.0}) {
    EngineFixture b;
    b.updateServers(fleet());
    Meter meter(lag);
    int requested = 0, admitted = 0;
    std::uint32_t random = 1;
    for (Time now = 0; now < 60000; now += 100) {
      random = random * 1664525 + 1013904223;
      if ((random >> 16) % 50 >= 10) continue;
      for (int i = 0; i < 4; ++i) {  // eight per second at a rate of ten, four at a time
        b.now = now + 10 * i;
        const bool isAdmitted = sendAndServe(b, 0, 1, meter.percent(b.now));
        if (isAdmitted) meter.add(b.now);
        if (now > 10000) ++requested, admitted += isAdmitted;
      }
    }
    EXPECT_GT(admitted, 0.9 * requested) << "lag " << lag;
  }
}

TEST(Quota, ZeroRatesAndAbsentReadingsAreValid) {
  EngineSettings s = settings();
  s.meterPeriod = 0;
  s.plans = {PlanSettings{}};
  EngineFixture b(s);
  b.updateServers({listedServer(1)});
  for (int i = 0; i < 50; ++i) EXPECT_TRUE(sendAndServe(b, 0, 1, i % 2 ? 0 : -1));
}

}  // namespace
}  // namespace lilacmux::test
