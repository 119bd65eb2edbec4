#include "fleet/follower_state.hpp"

#include <algorithm>

namespace lilacmux {

FollowerState::Update FollowerState::take(const FollowAnswer& answer, Millis sentAt, std::uint64_t revision) {
  Update out;
  if (!accepts(answer)) return out;
  const ChangeLog::News& news = answer.news;
  if (news.servers) out = news.snapshot ? takeSnapshot(news) : takeChanges(news);
  epoch_ = answer.epoch;
  if (news.listed) position_ = {epoch_, news.place};
  if (!answer.listAgeMs) return out;
  // What a relay tells is as old as its own call to the primary. Where the configuration in force here is
  // older than the one that the relay knows of, as one that could not be read, nothing is known to be in its
  // favour.
  const Millis askedAt = sentAt - answer.ageMs - *answer.listAgeMs;
  if (revision > 0 && revision >= news.revision) leaseUntil_ = std::max(leaseUntil_, askedAt + lease_);
  return out;
}

FollowerState::Update FollowerState::takeSnapshot(const ChangeLog::News& news) {
  Update out;
  std::map<std::string, Instance> before;
  before.swap(instances_);
  for (Instance instance : news.set) {
    if (const auto old = before.find(instance.id); old != before.end()) instance.inherit(old->second);
    out.set.push_back(instance);
    instances_[instance.id] = std::move(instance);
  }
  for (const auto& [id, instance] : before)
    if (!instances_.contains(id)) out.gone.push_back(instance);
  listed_ = true;
  return out;
}

FollowerState::Update FollowerState::takeChanges(const ChangeLog::News& news) {
  Update out;
  for (Instance instance : news.set) {
    if (const auto old = instances_.find(instance.id); old != instances_.end()) instance.inherit(old->second);
    out.set.push_back(instance);
    instances_[instance.id] = std::move(instance);
  }
  for (const std::string& id : news.gone) {
    const auto found = instances_.find(id);
    if (found == instances_.end()) continue;
    out.gone.push_back(std::move(found->second));
    instances_.erase(found);
  }
  listed_ = true;
  return out;
}

void FollowerState::place(FollowCall& call) const { call.at = position_; }

}  // namespace lilacmux
