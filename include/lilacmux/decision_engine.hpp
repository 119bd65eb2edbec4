// The interface of the decision engine (implemented in src/decision/decision_engine.cpp).
//
// A host feeds events to one DecisionEngine per gateway and carries out the actions that the engine requests.
// The engine reads no clock and opens no sockets. The salt is its only source of randomness, so the same
// events give the same actions. It is not thread-safe: the host makes all calls on one thread, and the engine
// calls EngineActions on that thread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lilacmux {

using Time = double;              // milliseconds of the host's monotonic clock: a point in time or a duration
using RequestId = std::uint32_t;  // chosen by the host; unique among a gateway's pending requests
using ServerId = std::uint64_t;   // opaque
using TenantId = std::uint64_t;

// Whether a request may be retried after an attempt that may have run. safe: always. keyed: only at servers
// that drop duplicates by the request's idempotency key. unsafe: never.
enum class Idempotency { safe, keyed, unsafe };
// The servers that drop a duplicate of a keyed request: all servers, or those in the zone or in the cell of
// the first attempt that may have run.
enum class DeduplicationScope { all, zone, cell };
enum class ServerPhase { gone, ready, draining };
// The result of an attempt. full: the server was at its limit and did not run it. connectFailed: the attempt
// was never sent. cancelled: the gateway ended it. abandoned: its response is no longer needed, and it did
// not run. malformed: the attempt has run; the malformed response says nothing about its server's health.
enum class AttemptResult { ok, error, full, timeout, connectFailed, reset, cancelled, abandoned, malformed };

// Settings of a request class. All numbers are finite and at least 0.
struct ClassSettings {
  Time latencyTarget = 0;  // ms; a response within this time earns the full priority weight
  Time deadline = 0;       // ms that a client waits in total
  Idempotency idempotency = Idempotency::unsafe;
  DeduplicationScope deduplicationScope = DeduplicationScope::all;  // for keyed requests
  Time deduplicationWindow = 0;  // ms for which servers drop duplicates of a keyed request
  double priorityWeight = 1;
  double lateWeight =
      0;  // share of the priority weight, 0 to 1, earned by a response after the latency target
};

// The quota and the hard limits of a plan's tenants. All numbers are finite and at least 0.
struct PlanSettings {
  double rate = 0;             // quota, in units per second over all gateways; 0: no quota
  double burst = 0;            // units, the size of the quota's token bucket
  unsigned maxInFlight = 0;    // concurrency cap: attempts in flight over all gateways; 0: no cap
  double hardLimitRate = 0;    // hard rate limit, in units per second over all gateways; 0: no hard limit
  double hardLimitBurst = 0;   // units, the size of the hard limit's token bucket
  double hardLimitSlack = 0;   // tolerated excess over the hard limit; not used by the engine
  double price = 1;            // price of the plan; not used by the engine
  double overQuotaWeight = 0;  // share of its priority weight earned by a request beyond the quota
  double overQuotaCost = 0;    // share of its priority weight that such a request costs
};

// Settings of an engine, fixed at its construction. All numbers are finite and at least 0.
struct EngineSettings {
  unsigned gatewayIndex = 0;                  // index of this gateway, below gatewayCount
  unsigned gatewayCount = 1;                  // at least 1
  unsigned zone = 0;                          // zone of this gateway
  std::vector<ClassSettings> classes;         // at least one
  std::vector<PlanSettings> plans;            // at least one
  std::vector<std::string> loadReportFields;  // names of the values in AttemptOutcome::loadReport, in order
  bool requiresSubscription = false;          // the server list is sent only after a subscription
  Time subscribeWithin = 0;         // ms within which to subscribe; the engine subscribes when constructed
  unsigned maxAttempts = 1;         // per request; the engine makes at most four
  Time maxRetryAfter = 0;           // ms, the longest retry delay advised to a rejected client; 0: no bound
  Time meterPeriod = 0;             // ms covered by one metered reading; 0: responses carry no readings
  bool hasEstimatedUnits = false;   // a request's units are an estimate that its response corrects
  double maxUnits = 1;              // units of the largest request
  Time drainGracePeriod = 0;        // ms after which no more attempts may be sent to a draining server
  double initialCapacityShare = 1;  // share of its capacity that a server has right after its start
  Time warmUpTime = 0;              // ms from a server's start until it has its full capacity
  double overloadFactor = 1;        // load, as a multiple of its capacity, at which a server fails
  Time overloadDuration = 0;        // ms for which that load must last to make the server fail
  double crossZonePrice = 0;        // price of an attempt in another zone
};

// An entry of the server list.
struct ListedServer {
  ServerId id = 0;
  ServerPhase phase = ServerPhase::ready;
  unsigned zone = 0;
  unsigned kind = 0;   // machine type; servers of the same kind are expected to be equally fast
  unsigned cell = 0;   // deduplication group (DeduplicationScope::cell)
  Time startedAt = 0;  // on the host's clock; 0: long ago, the server is warm
};

// failed: the list could not be read. delta: the list holds only the servers that changed. cached and full:
// the list is complete.
enum class ListUpdateKind { failed, delta, cached, full };

// A client's request. The engine rejects a request whose class or plan does not exist, or whose units or
// expiry are not finite.
struct EngineRequest {
  RequestId id = 0;
  unsigned classIndex = 0;  // index into EngineSettings::classes
  unsigned plan = 0;        // index into EngineSettings::plans
  TenantId tenant = 0;
  Time expiresAt = 0;           // point in time at which the client gives up
  double units = 1;             // quota that the request uses; finite; values below 0 count as 0
  unsigned gatewaySetSize = 1;  // number of consecutive gateways that receive this tenant's requests
  unsigned firstGateway = 0;    // index of the first of these gateways
};

// The end of an attempt, reported once by the host. The engine ignores a repeated or unknown one.
struct AttemptOutcome {
  RequestId id = 0;
  AttemptResult result = AttemptResult::ok;
  unsigned attemptIndex = 0;       // from 0, in the order in which the request's attempts were sent
  double actualUnits = 0;          // units used, with EngineSettings::hasEstimatedUnits; 0: not reported
  ServerId server = 0;             // the server that the attempt was sent to
  int quotaUsePercent = -1;        // metered use of the tenant's quota over one period; below 0: not reported
  Time elapsed = 0;                // ms since the attempt was sent
  bool isRequestFinished = false;  // the request needs no more attempts and no final answer
  std::vector<double> loadReport;  // the server's load, by EngineSettings::loadReportFields
};

// The number of listed servers, and of those that the engine avoids at present.
struct PoolView {
  std::size_t listed = 0, avoided = 0;
};

// The actions that the engine requests of its host. The engine calls them from within its own functions, on
// the host's thread.
class EngineActions {
 public:
  virtual ~EngineActions() = default;
  // Starts an attempt; the host reports its end as an AttemptOutcome. timeout: ms; 0: until the client gives
  // up.
  virtual void send(RequestId id, ServerId server, Time timeout) = 0;
  // Final answer: the request had no effect and may be sent again. retryAfter: ms, more than 0.
  virtual void reject(RequestId id, Time retryAfter) = 0;
  // Final answer: the request may have had an effect.
  virtual void fail(RequestId id) = 0;
  // Requests a call of DecisionEngine::handleTimer with this tag after `wait` ms. Timers can't be cancelled.
  virtual void setTimer(Time wait, std::uint64_t tag) = 0;
  // Requests the server list and its changes.
  virtual void subscribe() = 0;
  virtual void log(const std::string& line) = 0;
};

// Makes the decisions of one gateway: admission by quotas and hard rate limits, server selection, outlier
// ejection, retries. Rejects or ignores events with invalid values. `now` should not decrease from call to
// call.
class DecisionEngine {
 public:
  // Copies the settings; `actions` must outlive the engine. `salt` seeds all random draws. Throws
  // std::invalid_argument on settings outside their ranges.
  DecisionEngine(const EngineSettings& settings, std::uint64_t salt, Time now, EngineActions& actions);
  ~DecisionEngine();
  DecisionEngine(DecisionEngine&&) noexcept;
  DecisionEngine& operator=(DecisionEngine&&) noexcept;

  // Events, to be reported in the order in which they happened.
  // The server list, its changes, or a failure to read it.
  void updateServers(Time now, ListUpdateKind kind, const std::vector<ListedServer>& list);
  // A client's request has arrived.
  void handleRequest(Time now, const EngineRequest& request);
  // An attempt has ended.
  void handleOutcome(Time now, const AttemptOutcome& outcome);
  // The client has disconnected or given up. The engine drops the request without a final answer.
  void handleClientDisconnect(Time now, RequestId id);
  // Excludes a server, listed or not, until an operator resumes it; a resumed server warms up like one that
  // has just started. Repeated calls have no effect.
  void suspend(Time now, ServerId server);
  void resume(Time now, ServerId server);
  // A timer set by EngineActions::setTimer has expired.
  void handleTimer(Time now, std::uint64_t tag);

  // Returns the learned state as plain numbers, for the process that replaces this one.
  std::vector<double> exportLearnedState(Time now);
  // Takes over the learned state of the previous process. To be called after a server list and before any
  // request. Returns false, without any change, if the state is malformed, of another version or of other
  // settings.
  bool importLearnedState(Time now, const std::vector<double>& learnedState);

  // Figures for status pages.
  PoolView poolView(Time now) const;
  std::size_t tenantCount() const;
  std::size_t pendingRequestCount() const;

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace lilacmux
