#include "fleet/change_log.hpp"

#include <algorithm>
#include <set>
#include <utility>

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

ChangeLog ChangeLog::continuing(std::uint64_t epoch, const ChangeLog& before) {
  ChangeLog out = before;
  out.revision_ = 0;
  out.body_.reset();
  out.enter(epoch);
  return out;
}

// Another epoch's primary leads, and has told no list yet.
void ChangeLog::enter(std::uint64_t epoch) {
  epoch_ = epoch;
  listed_ = false;
}

// The list is read over several pages, between which it may change: an id may come twice.
ChangeLog::Servers ChangeLog::inheriting(const std::vector<Instance>& list) const {
  Servers out;
  for (Instance instance : list) {
    if (const auto old = servers_.find(instance.id); old != servers_.end()) instance.inherit(old->second);
    if (const auto twice = out.find(instance.id); twice != out.end()) instance.inherit(twice->second);
    out[instance.id] = instance;
  }
  return out;
}

void ChangeLog::servers(const std::vector<Instance>& list) {
  replace(inheriting(list), {epoch_, position().place + 1});
}

// All servers there are from `after` on; notes what is another.
void ChangeLog::replace(Servers&& now, const ListPosition& after) {
  Change change;
  change.after = after;
  for (const auto& [id, instance] : now) {
    const auto old = servers_.find(id);
    if (old == servers_.end() || !(old->second == instance)) change.set.push_back(instance);
  }
  for (const auto& [id, instance] : servers_)
    if (!now.contains(id)) change.gone.push_back(id);
  servers_ = std::move(now);
  const bool isFirst = !std::exchange(listed_, true);
  if (position().epoch == 0)
    base_ = after;  // nobody has followed anything before it
  else if (isFirst || change.entries() > 0)
    add(std::move(change));
}

void ChangeLog::apply(const News& news, const ListPosition& after) {
  Change change{after, news.set, news.gone};
  for (Instance& instance : change.set) {
    if (const auto old = servers_.find(instance.id); old != servers_.end()) instance.inherit(old->second);
    servers_[instance.id] = instance;
  }
  for (const std::string& id : change.gone) servers_.erase(id);
  listed_ = true;
  add(std::move(change));
}

void ChangeLog::add(Change&& change) {
  entries_ += change.entries();
  changes_.push_back(std::move(change));
  const std::size_t mostEntries = std::max(kLeastEntries, servers_.size());
  while (changes_.size() > kKept || (entries_ > mostEntries && changes_.size() > 1)) {
    base_ = changes_.front().after;
    entries_ -= changes_.front().entries();
    changes_.pop_front();
  }
}

void ChangeLog::follow(std::uint64_t epoch, const News& news) {
  if (epoch < epoch_) return;
  if (news.revision > revision_)
    if (auto body = news.configurationFor(revision_, body_.get()))
      configuration(news.revision, std::move(body));
  if (epoch > epoch_) enter(epoch);
  if (!news.listed || (listed_ && news.place <= place())) return;
  const ListPosition after{epoch, news.place};
  news.snapshot ? replace(inheriting(news.set), after) : apply(news, after);
}

void ChangeLog::configuration(std::uint64_t revision, std::shared_ptr<const std::string> body) {
  revision_ = revision;
  body_ = std::move(body);
}

// How many of the changes that are kept lead to the list at `at`, or to one before it from which it differs
// by what comes next here. Nothing: none that is known of does.
std::optional<std::size_t> ChangeLog::changesUpTo(const ListPosition& at) const {
  if (at.epoch == 0) return std::nullopt;
  for (std::size_t count = changes_.size() + 1; count-- > 0;) {
    const ListPosition& here = count == 0 ? base_ : changes_[count - 1].after;
    if (here.epoch != at.epoch || here.place > at.place) continue;
    const bool hasNext = count < changes_.size() && changes_[count].after.epoch == at.epoch;
    if (here.place == at.place || hasNext) return count;
    return std::nullopt;
  }
  return std::nullopt;
}

std::shared_ptr<const std::string> ChangeLog::News::configurationFor(std::uint64_t has,
                                                                     const std::string* body) const {
  return packed ? unpackConfiguration(*packed, has, body) : configuration;
}

ChangeLog::News ChangeLog::since(const ListPosition& at, std::uint64_t revision) const {
  News out;
  out.place = place();
  out.revision = revision_;
  out.listed = listed_;
  if (revision < revision_) out.configuration = body_;
  const bool knowsMore = at.epoch == epoch_ && at.place > out.place;  // it was told elsewhere
  if (knowsMore) out.place = at.place;
  if (!listed_ || knowsMore) return out;
  const auto known = changesUpTo(at);
  if (!known) {
    out.snapshot = out.servers = true;
    for (const auto& [id, instance] : servers_) out.set.push_back(instance);
    return out;
  }
  // Later changes go over earlier ones.
  std::map<std::string, const Instance*> set;
  std::set<std::string> gone;
  for (std::size_t i = *known; i < changes_.size(); ++i) {
    for (const Instance& instance : changes_[i].set) set[instance.id] = &instance, gone.erase(instance.id);
    for (const std::string& id : changes_[i].gone) set.erase(id), gone.insert(id);
  }
  for (const auto& [id, instance] : set) out.set.push_back(*instance);
  out.gone.assign(gone.begin(), gone.end());
  out.servers = !out.set.empty() || !out.gone.empty();
  return out;
}

}  // namespace lilacmux
