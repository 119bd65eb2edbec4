// The decision engine. Its interface (settings, events, actions) is include/lilacmux/decision_engine.hpp.
//
// Core dispatches each event to the components concerned and tracks a request from its arrival to its final
// answer. The components make the decisions. Admission: quota_admission (with tenant_table, quota_estimate,
// concurrency_cap, meter). Server selection: load_balancer (with server_pool, slow_start, outlier_detector,
// concurrency_limiter, latency_model). Retries: retry_policy. Handover: learned_state. The tuning constants
// of a component are at the top of its file. Identical events must give bit-identical actions, so the order
// of random draws and of floating-point operations is part of the behaviour.
#include "lilacmux/decision_engine.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "decision/concurrency_limiter.hpp"
#include "decision/latency_model.hpp"
#include "decision/learned_state.hpp"
#include "decision/load_balancer.hpp"
#include "decision/outlier_detector.hpp"
#include "decision/pending_request.hpp"
#include "decision/quota_admission.hpp"
#include "decision/random.hpp"
#include "decision/retry_policy.hpp"
#include "decision/server_pool.hpp"
#include "decision/settings_check.hpp"
#include "decision/slow_start.hpp"

namespace lilacmux {
namespace {

using decision::Attempt;
using decision::PendingRequest;
using decision::Server;
using decision::Tenant;

// Upper bound of the latency ratio that one attempt can report, in baseline latencies.
constexpr double kMaxLatencyRatio = 20;
// Ms for which no attempts are sent to a server that responded that it is full. Doubles up to
// kMaxFullBackoff.
constexpr Time kMinFullBackoff = 150;
constexpr Time kMaxFullBackoff = 2000;
// Ms between searches for a server for a request that must not be rejected.
constexpr Time kServerSearchInterval = 40;
// Ms: the retry delay advised when no server is available, and the delay before resubscribing after a server
// list could not be read.
constexpr Time kRetryAfter = 250;
// Ms, the shortest interval between log lines.
constexpr Time kLogInterval = 2000;

// Tag of the timer that renews the subscription; above every RequestId.
constexpr std::uint64_t kSubscribeTag = ~std::uint64_t{0};

bool provesNotRun(AttemptResult result) {
  return result == AttemptResult::full || result == AttemptResult::connectFailed ||
         result == AttemptResult::abandoned;
}

std::uint64_t attemptKey(RequestId id, unsigned attempt) {
  return std::uint64_t{id} << 16 | (attempt & 0xffff);
}

}  // namespace

class DecisionEngine::Core {
 public:
  Core(const EngineSettings& settings, std::uint64_t salt, Time now, EngineActions& actions)
      : settings_(decision::checked(settings)),
        actions_(actions),
        random_(salt),
        latency_(settings_, now),
        quota_(settings_, latency_, random_, now),
        pool_(settings_, random_),
        slowStart_(settings_, pool_),
        outliers_(latency_),
        limiter_(settings_, pool_, latency_, random_),
        balancer_(settings_, pool_, slowStart_, outliers_, limiter_, random_),
        retries_(settings_, latency_),
        learned_(settings_, quota_, latency_, pool_, limiter_, retries_, slowStart_, outliers_) {
    if (settings_.requiresSubscription) actions_.subscribe();
  }

  // Not copyable: the components hold references to one another.
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  // --- Events -------------------------------------------------------------------------------------------

  void handleRequest(Time now, const EngineRequest& request) {
    if (pending_.contains(request.id)) return;
    if (request.classIndex >= settings_.classes.size() || request.plan >= settings_.plans.size() ||
        !std::isfinite(request.units) || !std::isfinite(request.expiresAt)) {
      actions_.reject(request.id, kRetryAfter);
      return;
    }
    Tenant& tenant = quota_.lookUp(now, request);
    if (const auto wait = quota_.admit(tenant, request)) return reject(request.id, *wait);
    PendingRequest pending;
    pending.request = request;
    pending.arrived = now;
    Server* server = balancer_.select(now, pending);
    quota_.noteSelection(now, server != nullptr);
    if (!server) return reject(request.id, kRetryAfter);
    quota_.debit(tenant, request.units);
    send(now, pending_.emplace(request.id, pending).first->second, *server);
  }

  void handleOutcome(Time now, const AttemptOutcome& outcome) {
    const auto sent = attempts_.find(attemptKey(outcome.id, outcome.attemptIndex));
    if (sent == attempts_.end()) return;  // repeated or unknown
    const Attempt attempt = sent->second;
    attempts_.erase(sent);
    Tenant* tenant = quota_.find(attempt.tenant);
    if (tenant && tenant->inFlight > 0) quota_.noteInFlight(*tenant, now, -1);
    Server* server = pool_.find(outcome.server);
    if (server) noteAttemptEnd(*server, now, attempt, outcome);
    retries_.noteResult(outcome.result);
    if (tenant && outcome.quotaUsePercent >= 0) quota_.noteReading(*tenant, now, outcome.quotaUsePercent);
    if (outcome.result == AttemptResult::ok && outcome.quotaUsePercent < 0) quota_.noteNoReading(now);
    const auto found = pending_.find(outcome.id);
    if (found == pending_.end()) return;
    PendingRequest& pending = found->second;
    pending.attemptInFlight = false;
    if (settings_.hasEstimatedUnits && outcome.result == AttemptResult::ok && tenant &&
        outcome.actualUnits > 0)
      quota_.refund(*tenant, now, pending.request.units - outcome.actualUnits);
    if (outcome.isRequestFinished || outcome.result == AttemptResult::ok) {
      pending_.erase(found);
      return;
    }
    if (!provesNotRun(outcome.result) && !pending.mayHaveRun) noteMayHaveRun(pending, server);
    if (outcome.result == AttemptResult::abandoned || now >= pending.request.expiresAt)
      return giveUp(pending);
    retry(now, pending);
  }

  void handleClientDisconnect(RequestId id) { pending_.erase(id); }

  void handleTimer(Time now, std::uint64_t tag) {
    if (tag == kSubscribeTag) return actions_.subscribe();
    const auto found = pending_.find(static_cast<RequestId>(tag));
    if (found == pending_.end() || found->second.attemptInFlight) return;
    retry(now, found->second);
  }

  void updateServers(Time now, ListUpdateKind kind, const std::vector<ListedServer>& list) {
    if (kind == ListUpdateKind::failed) return actions_.setTimer(kRetryAfter, kSubscribeTag);
    pool_.update(now, kind, list);
    limiter_.start(pool_.size());
    pool_.eraseGone();
  }

  void suspend(Time now, ServerId id) { pool_.suspend(now, id); }
  void resume(Time now, ServerId id) { pool_.resume(now, id); }

  std::vector<double> exportLearnedState(Time now) { return learned_.write(now); }
  bool importLearnedState(Time now, const std::vector<double>& learnedState) {
    return learned_.read(now, learnedState);
  }

  PoolView poolView(Time now) const {
    PoolView out;
    for (const Server& server : pool_.servers()) {
      if (server.listed.phase == ServerPhase::gone) continue;
      ++out.listed;
      out.avoided += pool_.isSuspended(server) || outliers_.isAvoided(server, now);
    }
    return out;
  }
  std::size_t tenantCount() const { return quota_.tenants().size(); }
  std::size_t pendingRequestCount() const { return pending_.size(); }

 private:
  // --- Feedback from attempts ---------------------------------------------------------------------------

  void noteAttemptEnd(Server& server, Time now, const Attempt& attempt, const AttemptOutcome& outcome) {
    const AttemptResult result = outcome.result;
    if (server.inFlight > 0) --server.inFlight;
    limiter_.noteEnded();
    if (result != AttemptResult::timeout && result != AttemptResult::connectFailed)
      server.lastResponseAt = now;
    if (!outcome.loadReport.empty()) balancer_.noteReport(server, now, outcome.loadReport);
    limiter_.adjustLimits(server, now, attempt, outcome);
    if (result == AttemptResult::full) {
      server.fullBackoff = std::clamp(2 * server.fullBackoff, kMinFullBackoff, kMaxFullBackoff);
      server.fullUntil = now + server.fullBackoff;
      return;
    }
    if (result == AttemptResult::cancelled || result == AttemptResult::abandoned ||
        result == AttemptResult::malformed)
      return;
    noteLatency(server, now, attempt, outcome);
    if (result == AttemptResult::ok) {
      slowStart_.noteSuccess(server, now);
      outliers_.noteSuccess(server);
      server.fullBackoff = 0;
    } else if (outliers_.noteFailure(server, now)) {
      log(now, "worker ejected: attempts in a row failed");
    }
  }

  // A time-out gives only a lower bound of the latency, and an error says nothing about it.
  void noteLatency(Server& server, Time now, const Attempt& attempt, const AttemptOutcome& outcome) {
    const AttemptResult result = outcome.result;
    if (result != AttemptResult::ok && result != AttemptResult::timeout) return;
    if (result == AttemptResult::ok)
      latency_.addSample(attempt.classIndex, attempt.units, now, outcome.elapsed);
    const double ratio =
        std::min(kMaxLatencyRatio, outcome.elapsed / latency_.baseline(attempt.classIndex, attempt.units));
    if (result == AttemptResult::ok || ratio > outliers_.latencyRatio(server))
      outliers_.noteLatency(server, now, ratio);
  }

  // --- Attempts and final answers -----------------------------------------------------------------------

  void send(Time now, PendingRequest& pending, Server& server) {
    const EngineRequest& request = pending.request;
    const Time timeout = retries_.attemptTimeout(now, pending);
    pending.sentAt = now;
    pending.attemptInFlight = true;
    pending.triedServers.push_back(server.listed.id);
    attempts_[attemptKey(request.id, pending.attempts)] =
        Attempt{request.tenant, request.classIndex, request.units};
    ++pending.attempts;
    limiter_.noteSent(now);
    if (++server.inFlight == 1) server.lastResponseAt = now;
    slowStart_.noteSent(server);
    if (Tenant* tenant = quota_.find(request.tenant)) quota_.noteInFlight(*tenant, now, 1);
    actions_.send(request.id, server.listed.id, timeout);
  }

  // Marks that an attempt of the request may have run. server: where it may have run; null if that server has
  // since left the list.
  static void noteMayHaveRun(PendingRequest& pending, const Server* server) {
    pending.mayHaveRun = true;
    pending.mayHaveRunSince = pending.sentAt;
    if (!server) return;
    pending.mayHaveRunZone = server->listed.zone;
    pending.mayHaveRunCell = server->listed.cell;
  }

  // Sends another attempt if the request's class and remaining time allow one; otherwise gives the final
  // answer. A request that must not be rejected waits for a server.
  void retry(Time now, PendingRequest& pending) {
    if (!retries_.mayRetry(now, pending)) return giveUp(pending);
    if (Server* server = balancer_.select(now, pending)) return send(now, pending, *server);
    if (!pending.mayHaveRun || now + kServerSearchInterval >= pending.request.expiresAt)
      return giveUp(pending);
    actions_.setTimer(kServerSearchInterval, pending.request.id);
  }

  // Rejects the request if it is safe for the client to send it again; otherwise reports a failure.
  void giveUp(const PendingRequest& pending) {
    const RequestId id = pending.request.id;
    const bool isSafe = retries_.isSafeToResend(pending);
    pending_.erase(id);
    if (isSafe)
      reject(id, kRetryAfter);
    else
      actions_.fail(id);
  }

  void reject(RequestId id, Time wait) {
    const Time longest = settings_.maxRetryAfter > 0 ? settings_.maxRetryAfter : wait;
    actions_.reject(id, std::clamp(wait, 1.0, std::max(1.0, longest)));
  }

  void log(Time now, const char* line) {
    if (now - loggedAt_ < kLogInterval) return;
    loggedAt_ = now;
    actions_.log(line);
  }

  const EngineSettings settings_;
  EngineActions& actions_;
  decision::Random random_;
  decision::LatencyModel latency_;
  decision::QuotaAdmission quota_;
  decision::ServerPool pool_;
  decision::SlowStart slowStart_;
  decision::OutlierDetector outliers_;
  decision::ConcurrencyLimiter limiter_;
  decision::LoadBalancer balancer_;
  decision::RetryPolicy retries_;
  decision::LearnedState learned_;
  std::unordered_map<RequestId, PendingRequest> pending_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;  // in flight, by attemptKey
  Time loggedAt_ = -kLogInterval;
};

DecisionEngine::DecisionEngine(const EngineSettings& settings, std::uint64_t salt, Time now,
                               EngineActions& actions)
    : core_(std::make_unique<Core>(settings, salt, now, actions)) {}
DecisionEngine::~DecisionEngine() = default;
DecisionEngine::DecisionEngine(DecisionEngine&&) noexcept = default;
DecisionEngine& DecisionEngine::operator=(DecisionEngine&&) noexcept = default;
void DecisionEngine::updateServers(Time now, ListUpdateKind kind, const std::vector<ListedServer>& list) {
  core_->updateServers(now, kind, list);
}
void DecisionEngine::handleRequest(Time now, const EngineRequest& request) {
  core_->handleRequest(now, request);
}
void DecisionEngine::handleOutcome(Time now, const AttemptOutcome& outcome) {
  core_->handleOutcome(now, outcome);
}
void DecisionEngine::handleClientDisconnect(Time, RequestId id) { core_->handleClientDisconnect(id); }
void DecisionEngine::suspend(Time now, ServerId server) { core_->suspend(now, server); }
void DecisionEngine::resume(Time now, ServerId server) { core_->resume(now, server); }
void DecisionEngine::handleTimer(Time now, std::uint64_t tag) { core_->handleTimer(now, tag); }
std::vector<double> DecisionEngine::exportLearnedState(Time now) { return core_->exportLearnedState(now); }
bool DecisionEngine::importLearnedState(Time now, const std::vector<double>& learnedState) {
  return core_->importLearnedState(now, learnedState);
}
PoolView DecisionEngine::poolView(Time now) const { return core_->poolView(now); }
std::size_t DecisionEngine::tenantCount() const { return core_->tenantCount(); }
std::size_t DecisionEngine::pendingRequestCount() const { return core_->pendingRequestCount(); }

}  // namespace lilacmux
