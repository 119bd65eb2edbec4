#include "fleet/change_log.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace lilacmux {

ChangeLog ChangeLog::continuing(std::uint64_t epoch, const ChangeLog& earlier) {
  ChangeLog out = earlier;
  out.revision_ = 0;
  out.body_.reset();
  out.enterEpoch(epoch);
  return out;
}

// The primary of a new epoch has not read the server list yet.
void ChangeLog::enterEpoch(std::uint64_t epoch) {
  epoch_ = epoch;
  hasServerList_ = false;
}

ChangeLog::Servers ChangeLog::inheritDrainingState(const std::vector<Instance>& list) const {
  Servers out;
  for (Instance instance : list) {
    if (const auto previous = servers_.find(instance.id); previous != servers_.end())
      instance.inherit(previous->second);
    if (const auto duplicate = out.find(instance.id); duplicate != out.end())
      instance.inherit(duplicate->second);
    out[instance.id] = instance;
  }
  return out;
}

void ChangeLog::updateServers(const std::vector<Instance>& list) {
  replaceServers(inheritDrainingState(list), {epoch_, position().index + 1});
}

ChangeLog::Change ChangeLog::difference(const Servers& next, const ListPosition& position) const {
  Change change;
  change.position = position;
  for (const auto& [id, instance] : next) {
    const auto previous = servers_.find(id);
    if (previous == servers_.end() || !(previous->second == instance)) change.updated.push_back(instance);
  }
  for (const auto& [id, instance] : servers_)
    if (!next.contains(id)) change.removed.push_back(id);
  return change;
}

void ChangeLog::replaceServers(Servers&& next, const ListPosition& position) {
  Change change = difference(next, position);
  servers_ = std::move(next);
  const bool isFirstOfEpoch = !std::exchange(hasServerList_, true);
  const bool isFirstList = this->position().epoch == 0;
  if (isFirstList)
    base_ = position;  // no follower can have an earlier position
  else if (isFirstOfEpoch || change.entryCount() > 0)
    append(std::move(change));
}

void ChangeLog::applyChanges(const Delta& delta, const ListPosition& position) {
  Change change;
  change.position = position;
  if (delta.servers) {
    change.updated = delta.servers->updated;
    change.removed = delta.servers->removed;
  }
  for (Instance& instance : change.updated) {
    if (const auto previous = servers_.find(instance.id); previous != servers_.end())
      instance.inherit(previous->second);
    servers_[instance.id] = instance;
  }
  for (const std::string& id : change.removed) servers_.erase(id);
  hasServerList_ = true;
  append(std::move(change));
}

void ChangeLog::append(Change&& change) {
  entryCount_ += change.entryCount();
  changes_.push_back(std::move(change));
  const std::size_t entryLimit = std::max(kMinEntryLimit, servers_.size());
  while (changes_.size() > kMaxChanges || (entryCount_ > entryLimit && changes_.size() > 1)) {
    base_ = changes_.front().position;
    entryCount_ -= changes_.front().entryCount();
    changes_.pop_front();
  }
}

void ChangeLog::apply(std::uint64_t epoch, const Delta& delta) {
  if (epoch < epoch_) return;
  if (delta.revision > revision_)
    if (auto body = delta.configurationFor(revision_, body_.get()))
      setConfiguration(delta.revision, std::move(body));
  if (epoch > epoch_) enterEpoch(epoch);
  if (!delta.hasServerList || (hasServerList_ && delta.index <= index())) return;
  const ListPosition position{epoch, delta.index};
  if (delta.isSnapshot())
    replaceServers(inheritDrainingState(delta.servers->updated), position);
  else
    applyChanges(delta, position);
}

void ChangeLog::setConfiguration(std::uint64_t revision, std::shared_ptr<const std::string> body) {
  revision_ = revision;
  body_ = std::move(body);
}

// Returns the number of retained changes up to `position`. If no retained change has exactly this position,
// counts up to the newest earlier one, provided that the following change belongs to the same epoch. The
// remaining changes then lead from the list at `position` to the current one. Returns nothing if the list at
// `position` is not an ancestor of the current one.
std::optional<std::size_t> ChangeLog::changeCountUpTo(const ListPosition& position) const {
  if (position.epoch == 0) return std::nullopt;
  for (std::size_t count = changes_.size() + 1; count-- > 0;) {
    const ListPosition& candidate = count == 0 ? base_ : changes_[count - 1].position;
    if (candidate.epoch != position.epoch || candidate.index > position.index) continue;
    const bool nextIsOfSameEpoch =
        count < changes_.size() && changes_[count].position.epoch == position.epoch;
    if (candidate.index == position.index || nextIsOfSameEpoch) return count;
    return std::nullopt;
  }
  return std::nullopt;
}

std::shared_ptr<const std::string> ChangeLog::Delta::configurationFor(std::uint64_t currentRevision,
                                                                      const std::string* body) const {
  return packedConfiguration ? unpackConfiguration(*packedConfiguration, currentRevision, body)
                             : configuration;
}

ServerChanges ChangeLog::makeSnapshot() const {
  ServerChanges out;
  out.isSnapshot = true;
  for (const auto& [id, instance] : servers_) out.updated.push_back(instance);
  return out;
}

// Merges the retained changes from number `first` on; later changes override earlier ones.
std::optional<ServerChanges> ChangeLog::mergedChanges(std::size_t first) const {
  std::map<std::string, const Instance*> updated;
  std::set<std::string> removed;
  for (std::size_t i = first; i < changes_.size(); ++i) {
    for (const Instance& instance : changes_[i].updated) {
      updated[instance.id] = &instance;
      removed.erase(instance.id);
    }
    for (const std::string& id : changes_[i].removed) {
      updated.erase(id);
      removed.insert(id);
    }
  }
  if (updated.empty() && removed.empty()) return std::nullopt;
  ServerChanges out;
  for (const auto& [id, instance] : updated) out.updated.push_back(*instance);
  out.removed.assign(removed.begin(), removed.end());
  return out;
}

ChangeLog::Delta ChangeLog::deltaSince(const ListPosition& position, std::uint64_t revision) const {
  Delta out;
  out.index = index();
  out.revision = revision_;
  out.hasServerList = hasServerList_;
  if (revision < revision_) out.configuration = body_;
  // The follower may have received newer changes from another relay.
  const bool followerIsAhead = position.epoch == epoch_ && position.index > out.index;
  if (followerIsAhead) out.index = position.index;
  if (!hasServerList_ || followerIsAhead) return out;
  if (const auto first = changeCountUpTo(position))
    out.servers = mergedChanges(*first);
  else
    out.servers = makeSnapshot();
  return out;
}

}  // namespace lilacmux
