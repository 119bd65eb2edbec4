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

// A new epoch's primary has not confirmed any list yet.
void ChangeLog::enterEpoch(std::uint64_t epoch) {
  epoch_ = epoch;
  hasServerList_ = false;
}

ChangeLog::Servers ChangeLog::inheritFromCurrent(const std::vector<Instance>& list) const {
  Servers out;
  for (Instance instance : list) {
    if (const auto known = servers_.find(instance.id); known != servers_.end())
      instance.inherit(known->second);
    if (const auto duplicate = out.find(instance.id); duplicate != out.end())
      instance.inherit(duplicate->second);
    out[instance.id] = instance;
  }
  return out;
}

void ChangeLog::updateServers(const std::vector<Instance>& list) {
  replaceServers(inheritFromCurrent(list), {epoch_, position().index + 1});
}

ChangeLog::Change ChangeLog::difference(const Servers& next, const ListPosition& position) const {
  Change change;
  change.position = position;
  for (const auto& [id, instance] : next) {
    const auto known = servers_.find(id);
    if (known == servers_.end() || !(known->second == instance)) change.updated.push_back(instance);
  }
  for (const auto& [id, instance] : servers_)
    if (!next.contains(id)) change.removed.push_back(id);
  return change;
}

void ChangeLog::replaceServers(Servers&& next, const ListPosition& position) {
  Change change = difference(next, position);
  servers_ = std::move(next);
  const bool isFirstOfEpoch = !std::exchange(hasServerList_, true);
  const bool hadNoList = this->position().epoch == 0;
  if (hadNoList)
    base_ = position;  // nobody has followed anything before it
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
    if (const auto known = servers_.find(instance.id); known != servers_.end())
      instance.inherit(known->second);
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
    replaceServers(inheritFromCurrent(delta.servers->updated), position);
  else
    applyChanges(delta, position);
}

void ChangeLog::setConfiguration(std::uint64_t revision, std::shared_ptr<const std::string> body) {
  revision_ = revision;
  body_ = std::move(body);
}

// How many of the kept changes lead to the list at `position`, or to the newest kept list before it, provided
// that the next change here belongs to the same epoch: the changes from there on then lead from the list at
// `position` to the current one. Absent: a list that did not lead to this one.
std::optional<std::size_t> ChangeLog::changesUpTo(const ListPosition& position) const {
  if (position.epoch == 0) return std::nullopt;
  for (std::size_t count = changes_.size() + 1; count-- > 0;) {
    const ListPosition& kept = count == 0 ? base_ : changes_[count - 1].position;
    if (kept.epoch != position.epoch || kept.index > position.index) continue;
    const bool nextIsOfSameEpoch =
        count < changes_.size() && changes_[count].position.epoch == position.epoch;
    if (kept.index == position.index || nextIsOfSameEpoch) return count;
    return std::nullopt;
  }
  return std::nullopt;
}

std::shared_ptr<const std::string> ChangeLog::Delta::configurationFor(std::uint64_t has,
                                                                      const std::string* body) const {
  return packedConfiguration ? unpackConfiguration(*packedConfiguration, has, body) : configuration;
}

ServerChanges ChangeLog::makeSnapshot() const {
  ServerChanges out;
  out.isSnapshot = true;
  for (const auto& [id, instance] : servers_) out.updated.push_back(instance);
  return out;
}

// The kept changes from number `first` on as one; later changes override earlier ones.
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
  // Another relay may have sent the follower more than has arrived here.
  const bool followerIsAhead = position.epoch == epoch_ && position.index > out.index;
  if (followerIsAhead) out.index = position.index;
  if (!hasServerList_ || followerIsAhead) return out;
  if (const auto known = changesUpTo(position))
    out.servers = mergedChanges(*known);
  else
    out.servers = makeSnapshot();
  return out;
}

}  // namespace lilacmux
