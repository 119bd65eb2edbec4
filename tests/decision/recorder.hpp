// Test helpers for the decision engine alone: an EngineActions that records all actions, and builders for
// settings and events.
#pragma once

#include <gtest/gtest.h>

#include <map>

#include "lilacmux/decision_engine.hpp"

namespace lilacmux::test {

struct SentAttempt {
  RequestId id;
  ServerId server;
  Time timeout;
  unsigned attemptIndex;
};

class Recorder : public EngineActions {
 public:
  std::vector<SentAttempt> sends;
  std::map<RequestId, Time> rejected;
  std::map<RequestId, unsigned> failed, finalAnswers, attempts;
  std::vector<std::pair<Time, std::uint64_t>> timers;
  std::vector<std::string> logLines;
  unsigned subscriptions = 0;

  void send(RequestId id, ServerId server, Time timeout) override {
    EXPECT_EQ(finalAnswers[id], 0u) << "an attempt after the final answer of " << id;
    sends.push_back({id, server, timeout, attempts[id]++});
  }
  void reject(RequestId id, Time retryAfter) override {
    rejected[id] = retryAfter;
    EXPECT_GT(retryAfter, 0);
    EXPECT_EQ(++finalAnswers[id], 1u);
  }
  void fail(RequestId id) override {
    ++failed[id];
    EXPECT_EQ(++finalAnswers[id], 1u);
  }
  void setTimer(Time wait, std::uint64_t tag) override { timers.emplace_back(wait, tag); }
  void subscribe() override { ++subscriptions; }
  void log(const std::string& line) override { logLines.push_back(line); }
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
  PlanSettings quota;
  quota.rate = 10, quota.burst = 20, quota.overQuotaCost = 1;
  PlanSettings cap;
  cap.maxInFlight = 2;
  PlanSettings hardLimit = quota;
  hardLimit.hardLimitRate = 20, hardLimit.hardLimitBurst = 40;
  s.plans = {quota, cap, hardLimit};
  return s;
}

inline ListedServer listedServer(ServerId id, unsigned zone = 0, Time startedAt = 0) {
  ListedServer server;
  server.id = id, server.zone = zone, server.startedAt = startedAt;
  return server;
}

class EngineFixture {  // one gateway and the recorder of its actions
 public:
  explicit EngineFixture(const EngineSettings& s = settings(), Time start = 0, std::uint64_t salt = 7)
      : now(start), engine(s, salt, start, recorder) {}

  void updateServers(const std::vector<ListedServer>& servers, ListUpdateKind kind = ListUpdateKind::full) {
    engine.updateServers(now, kind, servers);
  }
  RequestId sendRequest(unsigned classIndex = 0, unsigned plan = 0, TenantId tenant = 1, double units = 1,
                        unsigned gatewaySetSize = 2, Time timeLimit = 3000) {
    engine.handleRequest(now, {++lastId, classIndex, plan, tenant, now + timeLimit, units, gatewaySetSize});
    return lastId;
  }
  // Reports the end of the request's last attempt.
  void endAttempt(RequestId id, AttemptResult result, Time elapsed = 100, int percent = -1,
                  bool isRequestFinished = false, double actualUnits = 0) {
    for (auto it = recorder.sends.rbegin(); it != recorder.sends.rend(); ++it) {
      if (it->id != id) continue;
      AttemptOutcome out;
      out.id = id, out.result = result, out.attemptIndex = it->attemptIndex, out.server = it->server;
      out.elapsed = elapsed, out.quotaUsePercent = percent, out.actualUnits = actualUnits;
      out.isRequestFinished = isRequestFinished || result == AttemptResult::ok;
      engine.handleOutcome(now, out);
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
  RequestId lastId = 0;
  Recorder recorder;
  DecisionEngine engine;
};

}  // namespace lilacmux::test
