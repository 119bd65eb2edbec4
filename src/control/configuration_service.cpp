#include "control/configuration_service.hpp"

#include <utility>

namespace lilacmux {
namespace {

// Returns the result for a verdict other than `Accept`.
ChangeResult resultOf(const Verdict& verdict) {
  if (std::holds_alternative<AlreadyAccepted>(verdict)) return {ChangeOutcome::acknowledged, "taken already"};
  if (const auto* conflict = std::get_if<Conflict>(&verdict))
    return {ChangeOutcome::conflict, "the version in place is " + std::to_string(conflict->currentRevision)};
  if (const auto* invalid = std::get_if<Invalid>(&verdict)) return {ChangeOutcome::invalid, invalid->reason};
  if (const auto* unknown = std::get_if<OutcomeUnknown>(&verdict))
    return {ChangeOutcome::unavailable, unknown->reason};
  return {};
}

}  // namespace

void ConfigurationService::submit(Millis now, Replica& replica, ChangeRequest&& request, Callback callback) {
  if (!replica.hasLease(now)) return callback({ChangeOutcome::notPrimary, "this node is not the primary"});
  if (queue_.size() >= limits_.queueLength)
    return callback({ChangeOutcome::unavailable, "too many changes at once"});
  queue_.push_back({std::move(request), std::move(callback), now});
  processQueue(now, replica);
}

// Processes one change at a time, because each is decided on against the state that the previous one left.
void ConfigurationService::processQueue(Millis now, Replica& replica) {
  while (!queue_.empty() && !proposal_ && replica.canPropose(now)) {
    QueuedChange next = std::move(queue_.front());
    queue_.pop_front();
    decide(now, replica, std::move(next));
  }
  expireQueued(now);
}

// `now` is the time for which canPropose() was true. A later time must not be used for the proposal: the
// lease may have expired while the body was parsed, the replica would ignore the proposal, and the submitter
// would never get a result.
void ConfigurationService::decide(Millis now, Replica& replica, QueuedChange&& change) {
  Verdict verdict = register_.decide(replica.committed(), std::move(change.request));
  auto* accept = std::get_if<Accept>(&verdict);
  if (!accept) return change.callback(resultOf(verdict));
  proposal_ = std::move(change.callback);
  replica.propose(now, accept->next);
}

void ConfigurationService::expireQueued(Millis now) {
  while (!queue_.empty() && now - queue_.front().queuedAt >= limits_.queueTimeout) {
    const Callback callback = std::move(queue_.front().callback);
    queue_.pop_front();
    callback({ChangeOutcome::unavailable, "no change can be made at present"});
  }
}

void ConfigurationService::onCommitted() {
  if (!proposal_) return;
  const Callback callback = std::exchange(proposal_, std::nullopt).value();
  ++acknowledgedCount_;
  callback({ChangeOutcome::acknowledged, "taken"});
}

void ConfigurationService::onPrimacyLost() {
  std::deque<QueuedChange> queue = std::exchange(queue_, {});
  const std::optional<Callback> proposal = std::exchange(proposal_, std::nullopt);
  const ChangeResult result{ChangeOutcome::unavailable, "the primary has changed"};
  if (proposal) (*proposal)(result);
  for (const QueuedChange& change : queue) change.callback(result);
}

}  // namespace lilacmux
