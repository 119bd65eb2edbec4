// A recording action sink and small builders: the module alone, without the bench.
#pragma once

#include <gtest/gtest.h>

#include <map>

#include "lilacmux/decision_engine.hpp"

namespace lilacmux::test {

struct Sent {
  RequestId id;
  ServerId server;
  Time timeout;
  unsigned attempt;
};

class Recorder : public EngineActions {
 public:
  std::vector<Sent> sends;
  std::map<RequestId, Time> rejected;
  std::map<RequestId, unsigned> failed, finals, attempts;
  std::vector<std::pair<Time, std::uint64_t>> timers;
  std::vector<std::string> lines;
  unsigned subscriptions = 0;

  void send(RequestId id, ServerId server, Time timeout) override {
    EXPECT_EQ(finals[id], 0u) << "an attempt after the final answer of " << id;
    sends.push_back({id, server, timeout, attempts[id]++});
  }
  void reject(RequestId id, Time retryAfter) override {
    rejected[id] = retryAfter;
    EXPECT_GT(retryAfter, 0);
    EXPECT_EQ(++finals[id], 1u);
  }
  void fail(RequestId id) override {
    ++failed[id];
    EXPECT_EQ(++finals[id], 1u);
  }
  void setTimer(Time wait, std::uint64_t tag) override { timers.emplace_back(wait, tag); }
  void subscribe() override { ++subscriptions; }
  void log(const std::string& line) override { lines.push_back(line); }
};

inline EngineSettings settings() {
  EngineSettings s;
  s.gatewayCount = 2;
  s.maxAttempts = 4;
  s.maxRetryAfter = 2000;
  s.meterPeriod = 1000;
  s.initialCapacityShare = 0.2;
  s.warmUpTime = 10000;
  s.overloadFactor = 2;
  s.overloadDuration = 1000;
  s.drainGracePeriod = 1000;
  ClassSettings safe;
  safe.latencyTarget = 1000, safe.deadline = 3000, safe.idempotency = Idempotency::safe;
  ClassSettings keyed = safe;
  keyed.idempotency = Idempotency::keyed, keyed.deduplicationScope = DeduplicationScope::zone,
  keyed.deduplicationWindow = 2000;
  ClassSettings unsafe = safe;
  unsafe.idempotency = Idempotency::unsafe;
  s.classes = {safe, keyed, unsafe};
  PlanSettings rate;
  rate.rate = 10, rate.burst = 20, rate.overQuotaCost = 1;
  PlanSettings open;
  open.maxInFlight = 2;
  PlanSettings ceiling = rate;
  ceiling.hardLimitRate = 20, ceiling.hardLimitBurst = 40;
  s.plans = {rate, open, ceiling};
  return s;
}

inline ListedServer member(ServerId id, unsigned zone = 0, Time started = 0) {
  ListedServer m;
  m.id = id, m.zone = zone, m.startedAt = started;
  return m;
}

class Bench {  // one gateway with its recorder
 public:
  explicit Bench(const EngineSettings& s = settings(), Time start = 0, std::uint64_t salt = 7)
      : now(start), gateway(s, salt, start, recorder) {}

  void list(const std::vector<ListedServer>& members, ListUpdateKind kind = ListUpdateKind::full) {
    gateway.updateServers(now, kind, members);
  }
  RequestId ask(unsigned classIndex = 0, unsigned plan = 0, TenantId tenant = 1, double units = 1,
                unsigned gatewaySetSize = 2, Time patience = 3000) {
    gateway.handleRequest(now, {++last, classIndex, plan, tenant, now + patience, units, gatewaySetSize});
    return last;
  }
  // Ends the newest attempt of a request.
  void end(RequestId id, AttemptResult result, Time elapsed = 100, int percent = -1, bool finished = false,
           double actualUnits = 0) {
    for (auto it = recorder.sends.rbegin(); it != recorder.sends.rend(); ++it) {
      if (it->id != id) continue;
      AttemptOutcome out;
      out.id = id, out.result = result, out.attemptIndex = it->attempt, out.server = it->server;
      out.elapsed = elapsed, out.quotaUsePercent = percent, out.actualUnits = actualUnits;
      out.isRequestFinished = finished || result == AttemptResult::ok;
      gateway.handleOutcome(now, out);
      return;
    }
    FAIL() << "no attempt of " << id;
  }
  bool wasSent(RequestId id) const { return recorder.attempts.contains(id); }
  unsigned attempts(RequestId id) const { return wasSent(id) ? recorder.attempts.at(id) : 0; }
  bool wasRejected(RequestId id) const { return recorder.rejected.contains(id); }
  bool hasFailed(RequestId id) const { return recorder.failed.contains(id); }
  ServerId lastServer() const { return recorder.sends.back().server; }

  Time now;
  RequestId last = 0;
  Recorder recorder;
  DecisionEngine gateway;
};

}  // namespace lilacmux::test
