#include "quota/holder_activity.hpp"

#include <algorithm>

#include "quota/share_messages.hpp"

namespace lilacmux {

void HolderActivity::reported(Millis now, const std::string& holder) {
  const auto [entry, isNew] = lastReport_.try_emplace(holder, now);
  if (!isNew) byAge_.erase({entry->second, holder});
  byAge_.insert({now, holder});
  entry->second = now;
}

void HolderActivity::erase(const std::string& holder) {
  const auto found = lastReport_.find(holder);
  if (found == lastReport_.end()) return;
  byAge_.erase({found->second, holder});
  lastReport_.erase(found);
}

const std::string* HolderActivity::expired(Millis now, Millis lease) const {
  const bool hasExpired = !byAge_.empty() && now - byAge_.begin()->first >= lease;
  return hasExpired ? &byAge_.begin()->second : nullptr;
}

std::size_t HolderActivity::count(Millis now, Millis lease) const {
  std::size_t expired = 0;
  for (auto oldest = byAge_.begin(); oldest != byAge_.end() && now - oldest->first >= lease; ++oldest)
    ++expired;
  return lastReport_.size() - expired;
}

bool HolderActivity::containsName(const std::string& name) const {
  return std::any_of(lastReport_.begin(), lastReport_.end(),
                     [&](const auto& entry) { return nameWithoutIncarnation(entry.first) == name; });
}

std::vector<std::string> HolderActivity::otherIncarnations(const std::string& holder) const {
  const std::string name = nameWithoutIncarnation(holder);
  std::vector<std::string> out;
  for (const auto& [candidate, lastReport] : lastReport_)
    if (candidate != holder && nameWithoutIncarnation(candidate) == name) out.push_back(candidate);
  return out;
}

}  // namespace lilacmux
