#include "fleet/change_log.hpp"

#include <algorithm>

namespace lilacmux {

void to_json(nlohmann::json& out, const Instance& i) {
  out = {{"id", i.id},          {"service", i.service}, {"at", i.address},   {"zone", i.zone},
         {"slots", i.capacity}, {"leaves", i.draining}, {"cold", i.warmupMs}};
}

void from_json(const nlohmann::json& in, Instance& i) {
  in.at("id").get_to(i.id);
  in.at("service").get_to(i.service);
  in.at("at").get_to(i.address);
  in.at("zone").get_to(i.zone);
  in.at("slots").get_to(i.capacity);
  in.at("leaves").get_to(i.draining);
  in.at("cold").get_to(i.warmupMs);
}

void ChangeLog::servers(const std::vector<Instance>& list) {
  // The list is read over several pages, between which it may change: an id may come twice.
  std::map<std::string, Instance> now;
  for (Instance instance : list) {
    if (const auto old = servers_.find(instance.id); old != servers_.end()) instance.inherit(old->second);
    if (const auto twice = now.find(instance.id); twice != now.end()) instance.inherit(twice->second);
    now[instance.id] = instance;
  }
  Change change;
  for (const auto& [id, instance] : now) {
    const auto old = servers_.find(id);
    if (old == servers_.end() || !(old->second == instance)) change.set.push_back(instance);
  }
  for (const auto& [id, instance] : servers_)
    if (!now.contains(id)) change.gone.push_back(id);
  servers_ = std::move(now);
  listed_ = true;
  if (change.entries() == 0) return;
  change.place = place_ + 1;
  add(std::move(change));
}

void ChangeLog::add(Change&& change) {
  place_ = change.place;
  entries_ += change.entries();
  changes_.push_back(std::move(change));
  const std::size_t mostEntries = std::max(kLeastEntries, servers_.size());
  while (changes_.size() > kKept || (entries_ > mostEntries && changes_.size() > 1)) {
    oldest_ = changes_.front().place;
    entries_ -= changes_.front().entries();
    changes_.pop_front();
  }
}

void ChangeLog::clear(std::uint64_t place) {
  place_ = oldest_ = place;
  changes_.clear();
  entries_ = 0;
}

void ChangeLog::follow(std::uint64_t epoch, const News& news) {
  if (epoch < epoch_) return;
  if (news.configuration && news.revision > revision_) configuration(news.revision, news.configuration);
  if (epoch > epoch_) {
    epoch_ = epoch;
    listed_ = false;
    clear(1);
  }
  if (!news.servers || (listed_ && news.place <= place_)) return;
  Change change{news.set, news.gone, news.place};
  for (Instance& instance : change.set)
    if (const auto old = servers_.find(instance.id); old != servers_.end()) instance.inherit(old->second);
  if (news.snapshot) {
    servers_.clear();
    clear(news.place);
    listed_ = true;
  }
  for (const Instance& instance : change.set) servers_[instance.id] = instance;
  for (const std::string& id : change.gone) servers_.erase(id);
  if (!news.snapshot) add(std::move(change));
}

void ChangeLog::configuration(std::uint64_t revision, std::shared_ptr<const std::string> body) {
  revision_ = revision;
  body_ = std::move(body);
}

ChangeLog::News ChangeLog::since(std::uint64_t epoch, std::uint64_t from, std::uint64_t revision) const {
  News out;
  out.place = place();
  out.revision = revision_;
  if (revision < revision_) out.configuration = body_;
  if (!listed_) {  // a follower that was told of this epoch's list elsewhere keeps what it has
    out.place = epoch == epoch_ ? from : 0;
    return out;
  }
  if (epoch == epoch_ && from > place_) {  // a follower that was told more elsewhere keeps what it has
    out.place = from;
    return out;
  }
  if (epoch != epoch_ || from < oldest_) {
    out.snapshot = out.servers = true;
    for (const auto& [id, instance] : servers_) out.set.push_back(instance);
    return out;
  }
  // Later changes go over earlier ones.
  std::map<std::string, Instance> set;
  std::map<std::string, bool> gone;
  for (const Change& change : changes_) {
    if (change.place <= from) continue;
    for (const Instance& instance : change.set) set[instance.id] = instance, gone.erase(instance.id);
    for (const std::string& id : change.gone) set.erase(id), gone[id] = true;
  }
  for (auto& [id, instance] : set) out.set.push_back(instance);
  for (const auto& [id, yes] : gone) out.gone.push_back(id);
  out.servers = !out.set.empty() || !out.gone.empty();
  return out;
}

}  // namespace lilacmux
