#include "ownership/owner_directory.hpp"

#include <algorithm>

namespace lilacmux {

const std::string* OwnerDirectory::ownerOf(const std::string& service, Key key) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return nullptr;
  const Ranges& ranges = found->second;
  auto after = ranges.upper_bound(key);
  if (after == ranges.begin()) return nullptr;
  const OwnedRange& range = (--after)->second;
  return range.keys.contains(key) && !range.server.empty() ? &range.server : nullptr;
}

std::optional<OwnershipDelta> OwnerDirectory::deltaSince(std::uint64_t version) const {
  if (version >= version_) return std::nullopt;
  OwnershipDelta out;
  out.version = version_;
  for (const auto& [service, ranges] : services_)
    for (const auto& [first, range] : ranges)
      if (range.version > version) out.services[service].push_back(range);
  return out;
}

// Trims the entries that the range overlaps, and replaces those that it covers.
void OwnerDirectory::overwrite(Ranges& ranges, const OwnedRange& range) {
  auto at = ranges.upper_bound(range.keys.first);
  if (at != ranges.begin()) --at;
  while (at != ranges.end() && at->second.keys.first <= range.keys.last) {
    const OwnedRange old = at->second;
    if (!old.keys.overlaps(range.keys)) {
      ++at;
      continue;
    }
    at = ranges.erase(at);
    if (old.keys.first < range.keys.first) {
      OwnedRange left = old;
      left.keys.last = range.keys.first - 1;
      ranges[left.keys.first] = left;
    }
    if (old.keys.last > range.keys.last) {
      OwnedRange right = old;
      right.keys.first = range.keys.last + 1;
      ranges[right.keys.first] = right;
    }
  }
  ranges[range.keys.first] = range;
}

void OwnerDirectory::apply(const OwnershipDelta& delta) {
  if (delta.version <= version_) return;
  version_ = delta.version;
  for (const auto& [service, changed] : delta.services)
    for (const OwnedRange& range : changed) overwrite(services_[service], range);
}

void OwnerDirectory::apply(const OwnershipTable& committed) {
  OwnershipDelta delta;
  delta.version = committed.version();
  for (const auto& [service, assignments] : committed.services())
    for (const Assignment& each : assignments)
      if (each.version > version_) delta.services[service].push_back({each.keys, each.server, each.version});
  apply(delta);
}

}  // namespace lilacmux
