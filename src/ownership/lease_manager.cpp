#include "ownership/lease_manager.hpp"

#include <algorithm>

namespace lilacmux {
namespace {

constexpr LeaseManager::Millis kRetryInterval = 150;    // after a call that failed
constexpr LeaseManager::Millis kCheckInterval = 100;    // while something else must happen first
constexpr LeaseManager::Millis kUnreachableWait = 500;  // between looks at a server that is not listed
constexpr double kUnresponsiveShareOfHold = 0.5;        // without an answer, as a share of the hold

}  // namespace

LeaseManager::LeaseManager(Millis now, const Rule& rule, LeaseCaller& caller, const OwnershipTable& committed)
    : rule_(rule), caller_(caller) {
  const Hold held = earlierPrimariesHold(now, committed);
  for (const auto& [service, assignments] : committed.services()) {
    for (const Assignment& each : assignments) {
      Lease lease;
      lease.service = service;
      lease.assignment = each;
      lease.hold = held;
      if (each.hasPrevious())
        lease.predecessor = Predecessor{each.previousServer, each.previousFence, held, 0, now};
      schedule(leases_[each.fence] = std::move(lease), now);
    }
  }
}

// Earlier primaries may have sent until now.
LeaseManager::Hold LeaseManager::earlierPrimariesHold(Millis now, const OwnershipTable& table) const {
  Hold out;
  out.arrivalsEndBy = now + rule_.delayBound;
  out.endsBy = out.arrivalsEndBy + rule_.holdBound(std::max(rule_.hold, table.maxHoldMs()));
  return out;
}

void LeaseManager::setTable(Millis now, const OwnershipTable& committed) {
  Leases earlier;
  earlier.swap(leases_);
  due_.clear();
  awaitingPredecessor_.clear();
  for (const auto& [service, assignments] : committed.services()) {
    for (const Assignment& each : assignments) {
      const auto known = earlier.find(each.fence);
      Lease lease =
          known == earlier.end() ? makeLease(now, committed, service, each, earlier) : known->second;
      lease.assignment = each;
      if (lease.predecessor && lease.predecessor->hold.pendingGrant != 0)
        awaitingPredecessor_.insert(each.fence);
      schedule(leases_[each.fence] = std::move(lease), known == earlier.end() ? now : known->second.dueAt);
    }
  }
}

// What the server may hold of these keys under fences that the assignment replaces.
LeaseManager::Hold LeaseManager::heldBefore(const std::string& service, const Assignment& assignment,
                                            const Leases& earlier) const {
  Hold out;
  for (const auto& [fence, lease] : earlier) {
    const bool replaced = lease.service == service && lease.assignment.server == assignment.server &&
                          lease.assignment.keys.overlaps(assignment.keys);
    if (!replaced) continue;
    out.endsBy = std::max(out.endsBy, holdEndsBy(lease.hold));
    const Millis arrivals =
        lease.hold.pendingGrant != 0 ? lease.hold.pendingSentAt + rule_.delayBound : lease.hold.arrivalsEndBy;
    out.arrivalsEndBy = std::max(out.arrivalsEndBy, arrivals);
  }
  return out;
}

LeaseManager::Lease LeaseManager::makeLease(Millis now, const OwnershipTable& table,
                                            const std::string& service, const Assignment& assignment,
                                            const Leases& earlier) const {
  Lease out;
  out.service = service;
  out.assignment = assignment;
  if (!assignment.hasPrevious()) {
    out.hold = heldBefore(service, assignment, earlier);
    return out;
  }
  const auto previous = earlier.find(assignment.previousFence);
  out.predecessor = Predecessor{assignment.previousServer, assignment.previousFence, {}, 0, now};
  out.predecessor->hold =
      previous == earlier.end() ? earlierPrimariesHold(now, table) : previous->second.hold;
  return out;
}

// The end of the hold, where a grant in flight arrives as late as it can.
LeaseManager::Millis LeaseManager::holdEndsBy(const Hold& hold) const {
  if (hold.pendingGrant == 0) return hold.endsBy;
  return std::max(hold.endsBy, hold.pendingSentAt + rule_.delayBound + rule_.holdBound(rule_.hold));
}

void LeaseManager::schedule(Lease& lease, Millis at) {
  due_.erase({lease.dueAt, lease.assignment.fence});
  lease.dueAt = at;
  due_.insert({at, lease.assignment.fence});
}

void LeaseManager::tick(Millis now) {
  callsLeft_ = rule_.maxCallsPerTick;
  while (!due_.empty() && due_.begin()->first <= now && callsLeft_ > 0)
    step(now, leases_.at(due_.begin()->second));
}

void LeaseManager::step(Millis now, Lease& lease) {
  lease.predecessor ? stepHandover(now, lease) : stepGrant(now, lease);
}

void LeaseManager::stepHandover(Millis now, Lease& lease) {
  Predecessor& previous = *lease.predecessor;
  const Millis endsBy = holdEndsBy(previous.hold);
  if (now >= endsBy) {
    ++counts_.lapses;
    return handOver(now, lease, {});
  }
  const bool mayRelease = previous.pendingRelease == 0 && previous.hold.pendingGrant == 0 &&
                          now >= previous.hold.arrivalsEndBy && now >= previous.retryAt &&
                          servers_.contains(previous.server);
  if (mayRelease) sendRelease(now, lease);
  schedule(lease, std::min(endsBy, now + kCheckInterval));
}

void LeaseManager::sendRelease(Millis now, Lease& lease) {
  Predecessor& previous = *lease.predecessor;
  --callsLeft_;
  previous.pendingRelease = ++lastCall_;
  previous.retryAt = now + kRetryInterval;
  pending_[lastCall_] = lease.assignment.fence;
  LeaseCall call;
  call.id = lastCall_;
  call.kind = LeaseCall::Kind::release;
  call.server = previous.server;
  call.keys = lease.assignment.keys;
  call.fence = previous.fence;
  caller_.send(call);
}

void LeaseManager::handOver(Millis now, Lease& lease, std::string token) {
  lease.predecessor.reset();
  lease.handoff = std::move(token);
  awaitingPredecessor_.erase(lease.assignment.fence);
  schedule(lease, now);
}

void LeaseManager::stepGrant(Millis now, Lease& lease) {
  if (lease.isRejected || !servers_.contains(lease.assignment.server))
    return schedule(lease, now + kUnreachableWait);
  if (lease.hold.pendingGrant != 0) return schedule(lease, now + kCheckInterval);
  --callsLeft_;
  lease.hold.pendingGrant = ++lastCall_;
  lease.hold.pendingSentAt = now;
  pending_[lastCall_] = lease.assignment.fence;
  schedule(lease, now + rule_.renewInterval);
  LeaseCall call;
  call.id = lastCall_;
  call.server = lease.assignment.server;
  call.keys = lease.assignment.keys;
  call.fence = lease.assignment.fence;
  call.holdMs = rule_.hold;
  call.handoff = lease.handoff;
  caller_.send(call);
}

void LeaseManager::callEnded(Millis now, std::uint64_t call, const LeaseCallResult& result) {
  const auto pending = pending_.find(call);
  if (pending == pending_.end()) return;
  const Fence fence = pending->second;
  pending_.erase(pending);
  // A grant that was in flight when its range was moved also counts for the successors of its lease.
  std::set<Fence> stillAwaiting;
  for (const Fence each : awaitingPredecessor_) {
    Lease& lease = leases_.at(each);
    if (lease.predecessor->hold.pendingGrant != call) {
      stillAwaiting.insert(each);
      continue;
    }
    resolve(now, lease.predecessor->hold, result.outcome);
    schedule(lease, now);
  }
  awaitingPredecessor_ = std::move(stillAwaiting);
  const auto found = leases_.find(fence);
  if (found == leases_.end()) return;
  Lease& lease = found->second;
  if (lease.hold.pendingGrant == call) return grantEnded(now, lease, result);
  if (lease.predecessor && lease.predecessor->pendingRelease == call) releaseEnded(now, lease, result);
}

void LeaseManager::resolve(Millis now, Hold& hold, LeaseCallResult::Outcome outcome) const {
  const Millis sentAt = hold.pendingSentAt;
  hold.pendingGrant = 0;
  switch (outcome) {
    case LeaseCallResult::Outcome::done:
      hold.endsBy = std::max(hold.endsBy, now + rule_.holdBound(rule_.hold));
      break;
    case LeaseCallResult::Outcome::unknown:
      hold.arrivalsEndBy = std::max(hold.arrivalsEndBy, sentAt + rule_.delayBound);
      hold.endsBy = std::max(hold.endsBy, hold.arrivalsEndBy + rule_.holdBound(rule_.hold));
      break;
    case LeaseCallResult::Outcome::fenceRejected:
    case LeaseCallResult::Outcome::notDelivered:
      break;
  }
}

void LeaseManager::grantEnded(Millis now, Lease& lease, const LeaseCallResult& result) {
  resolve(now, lease.hold, result.outcome);
  recordContact(now, lease.assignment.server, result.outcome);
  switch (result.outcome) {
    case LeaseCallResult::Outcome::done:
      ++counts_.grants;
      break;
    case LeaseCallResult::Outcome::fenceRejected:
      ++counts_.rejected;
      lease.isRejected = true;
      break;
    case LeaseCallResult::Outcome::notDelivered:
    case LeaseCallResult::Outcome::unknown:
      ++counts_.failures;
      schedule(lease, now + kRetryInterval);
      break;
  }
}

void LeaseManager::releaseEnded(Millis now, Lease& lease, const LeaseCallResult& result) {
  lease.predecessor->pendingRelease = 0;
  recordContact(now, lease.predecessor->server, result.outcome);
  if (result.outcome == LeaseCallResult::Outcome::done) {
    ++counts_.releases;
    return handOver(now, lease, result.handoff);
  }
  ++counts_.failures;
  lease.predecessor->retryAt = now + kRetryInterval;
}

void LeaseManager::recordContact(Millis now, const std::string& server, LeaseCallResult::Outcome outcome) {
  ServerContact& contact = contacts_[server];
  const bool answered =
      outcome == LeaseCallResult::Outcome::done || outcome == LeaseCallResult::Outcome::fenceRejected;
  if (answered)
    contact = {now, kNever};
  else if (contact.firstFailureAt == kNever)
    contact.firstFailureAt = now;
}

bool LeaseManager::isHandedOver(Fence fence) const {
  const auto found = leases_.find(fence);
  return found != leases_.end() && !found->second.predecessor;
}

bool LeaseManager::isRejected(Fence fence) const {
  const auto found = leases_.find(fence);
  return found != leases_.end() && found->second.isRejected;
}

bool LeaseManager::isUnresponsive(Millis now, const std::string& server) const {
  const auto found = contacts_.find(server);
  if (found == contacts_.end() || found->second.firstFailureAt == kNever) return false;
  return now - found->second.firstFailureAt >= kUnresponsiveShareOfHold * rule_.hold;
}

}  // namespace lilacmux
