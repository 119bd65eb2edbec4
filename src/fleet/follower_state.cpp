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
  // If the active configuration is older than the newest one that the relay knows of, for example because the
  // newer one could not be parsed, the response does not confirm the active one.
  if (revision == 0 || revision < response.delta.revision) return;
  // A relay's response is as old as the relay's own request to the primary.
  const Millis requestedAt = sentAt - response.ageMs - *response.listAgeMs;
  leaseUntil_ = std::max(leaseUntil_, requestedAt + lease_);
}

FollowerState::Update FollowerState::applySnapshot(const ServerChanges& changes) {
  Update out;
  std::map<std::string, Instance> previous;
  previous.swap(instances_);
  for (Instance instance : changes.updated) {
    if (const auto found = previous.find(instance.id); found != previous.end())
      instance.inherit(found->second);
    out.updated.push_back(instance);
    instances_[instance.id] = std::move(instance);
  }
  for (const auto& [id, instance] : previous)
    if (!instances_.contains(id)) out.removed.push_back(instance);
  hasServerList_ = true;
  return out;
}

FollowerState::Update FollowerState::applyChanges(const ServerChanges& changes) {
  Update out;
  for (Instance instance : changes.updated) {
    if (const auto found = instances_.find(instance.id); found != instances_.end())
      instance.inherit(found->second);
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
