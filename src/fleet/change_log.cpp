#include "fleet/change_log.hpp"

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
  Change change;
  std::map<std::string, Instance> now;
  for (const Instance& instance : list) {
    const auto old = servers_.find(instance.id);
    if (old == servers_.end() || !(old->second == instance)) change.set.push_back(instance);
    now[instance.id] = instance;
  }
  for (const auto& [id, instance] : servers_)
    if (!now.contains(id)) change.gone.push_back(id);
  servers_ = std::move(now);
  listed_ = true;
  if (change.set.empty() && change.gone.empty()) return;
  change.place = place_ + 1;
  add(std::move(change));
}

void ChangeLog::add(Change&& change) {
  place_ = change.place;
  changes_.push_back(std::move(change));
  if (changes_.size() <= kKept) return;
  oldest_ = changes_.front().place;
  changes_.pop_front();
}

void ChangeLog::follow(std::uint64_t epoch, const News& news) {
  if (epoch < epoch_) return;
  if (news.configuration && news.revision > revision_) configuration(news.revision, news.configuration);
  if (epoch > epoch_) {
    epoch_ = epoch;
    listed_ = false;
    place_ = oldest_ = 1;
    changes_.clear();
  }
  if (!news.servers || (listed_ && news.place <= place_)) return;
  if (news.snapshot) {
    servers_.clear();
    changes_.clear();
    for (const Instance& instance : news.set) servers_[instance.id] = instance;
    place_ = oldest_ = news.place;
    listed_ = true;
    return;
  }
  for (const Instance& instance : news.set) servers_[instance.id] = instance;
  for (const std::string& id : news.gone) servers_.erase(id);
  add({news.set, news.gone, news.place});
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
  if (!listed_) {
    out.place = 0;
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
