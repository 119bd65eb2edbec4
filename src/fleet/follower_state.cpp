#include "fleet/follower_state.hpp"

#include <algorithm>
#include <utility>

namespace lilacmux {

FollowerState::Update FollowerState::apply(const FollowResponse& response, Millis sentAt,
                                           std::uint64_t revision) {
  Update out;
  if (!accepts(response)) return out;
  if (const auto& changes = response.delta.servers)
    out = changes->isSnapshot ? applySnapshot(*changes) : applyChanges(*changes);
  epoch_ = response.epoch;
  if (response.delta.hasServerList) position_ = {epoch_, response.delta.index};
  renewLease(response, sentAt, revision);
  return out;
}

void FollowerState::renewLease(const FollowResponse& response, Millis sentAt, std::uint64_t revision) {
  if (!response.listAgeMs) return;
  // With an older configuration in force than the one that the relay knows of, as where that could not be
  // read, the response confirms nothing about the one in force.
  if (revision == 0 || revision < response.delta.revision) return;
  // A relay's response is as old as its own request to the primary.
  const Millis askedAt = sentAt - response.ageMs - *response.listAgeMs;
  leaseUntil_ = std::max(leaseUntil_, askedAt + lease_);
}

FollowerState::Update FollowerState::applySnapshot(const ServerChanges& changes) {
  Update out;
  std::map<std::string, Instance> before;
  before.swap(instances_);
  for (Instance instance : changes.updated) {
    if (const auto known = before.find(instance.id); known != before.end()) instance.inherit(known->second);
    out.updated.push_back(instance);
    instances_[instance.id] = std::move(instance);
  }
  for (const auto& [id, instance] : before)
    if (!instances_.contains(id)) out.removed.push_back(instance);
  hasServerList_ = true;
  return out;
}

FollowerState::Update FollowerState::applyChanges(const ServerChanges& changes) {
  Update out;
  for (Instance instance : changes.updated) {
    if (const auto known = instances_.find(instance.id); known != instances_.end())
      instance.inherit(known->second);
    out.updated.push_back(instance);
    instances_[instance.id] = std::move(instance);
  }
  for (const std::string& id : changes.removed) {
    const auto found = instances_.find(id);
    if (found == instances_.end()) continue;
    out.removed.push_back(std::move(found->second));
    instances_.erase(found);
  }
  hasServerList_ = true;
  return out;
}

}  // namespace lilacmux
