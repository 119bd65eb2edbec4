#include "gateway/key_router.hpp"

#include <algorithm>
#include <utility>

namespace lilacmux {
namespace {

constexpr Time kCheckInterval = 40;         // between two looks for an owner
constexpr Time kRetryAfter = 600;           // advice to a client whose key has no owner
constexpr double kWaitShareOfTarget = 0.2;  // of the latency target that a request waits for an owner

bool isExecutedNowhere(AttemptResult result) {
  return result == AttemptResult::full || result == AttemptResult::connectFailed ||
         result == AttemptResult::abandoned;
}

}  // namespace

KeyRouter::KeyRouter(std::vector<ClassSettings> classes, FindOwner findOwner, EngineActions& actions)
    : classes_(std::move(classes)), findOwner_(std::move(findOwner)), actions_(actions) {}

void KeyRouter::handleRequest(Time now, const EngineRequest& request, std::optional<Key> key) {
  if (!key) return actions_.reject(request.id, kRetryAfter);
  PendingRequest pending;
  pending.key = *key;
  pending.classIndex = request.classIndex;
  pending.expiresAt = request.expiresAt;
  pending.waitsUntil = now + kWaitShareOfTarget * classes_.at(request.classIndex).latencyTarget;
  sendToOwner(now, request.id, requests_[request.id] = pending);
}

void KeyRouter::sendToOwner(Time now, RequestId id, PendingRequest& request) {
  const auto owner = findOwner_(request.key);
  if (!owner) {
    if (now >= std::min(request.waitsUntil, request.expiresAt)) return giveUp(id, request);
    return wait(id, request);
  }
  request.isInFlight = true;
  actions_.send(id, *owner, 0);
}

void KeyRouter::wait(RequestId id, PendingRequest& request) {
  request.timer = ++lastTimer_;
  timers_[request.timer] = id;
  actions_.setTimer(kCheckInterval, request.timer);
}

void KeyRouter::giveUp(RequestId id, const PendingRequest& request) {
  const bool mayHaveRun = request.mayHaveRun;
  requests_.erase(id);
  mayHaveRun ? actions_.fail(id) : actions_.reject(id, kRetryAfter);
}

void KeyRouter::handleTimer(Time now, std::uint64_t tag) {
  const auto timer = timers_.find(tag);
  if (timer == timers_.end()) return;
  const RequestId id = timer->second;
  timers_.erase(timer);
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.isInFlight || found->second.timer != tag) return;
  sendToOwner(now, id, found->second);
}

void KeyRouter::handleOutcome(Time now, const AttemptOutcome& outcome) {
  const auto found = requests_.find(outcome.id);
  if (found == requests_.end()) return;
  PendingRequest& request = found->second;
  request.isInFlight = false;
  if (outcome.isRequestFinished) {
    requests_.erase(found);
    return;
  }
  if (!isExecutedNowhere(outcome.result)) request.mayHaveRun = true;
  retry(now, outcome.id, request);
}

// The owner does not hold the key, cannot be reached, or has failed: the next attempt waits, as the directory
// may be about to change.
void KeyRouter::retry(Time now, RequestId id, PendingRequest& request) {
  const bool isSafe = classes_.at(request.classIndex).idempotency == Idempotency::safe;
  if (request.mayHaveRun && !isSafe) return giveUp(id, request);
  if (now + kCheckInterval >= request.expiresAt) return giveUp(id, request);
  wait(id, request);
}

}  // namespace lilacmux
