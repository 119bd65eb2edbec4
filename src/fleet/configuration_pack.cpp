#include "fleet/configuration_pack.hpp"

#include <algorithm>

namespace lilacmux {

void ConfigurationPacker::add(std::uint64_t revision, const Body& body) {
  if (!body || find(revision)) return;
  const auto next = std::find_if(versions_.begin(), versions_.end(),
                                 [&](const Version& each) { return each.revision > revision; });
  versions_.insert(next, {revision, body});
  while (versions_.size() > kMaxEarlierVersions + 1) dropOldest();
  std::size_t earlierBytes = 0;
  for (std::size_t i = 0; i + 1 < versions_.size(); ++i) earlierBytes += versions_[i].body->size();
  while (versions_.size() > 2 && earlierBytes > kMaxEarlierBytes) {
    earlierBytes -= versions_.front().body->size();
    dropOldest();
  }
}

void ConfigurationPacker::dropOldest() {
  const std::uint64_t revision = versions_.front().revision;
  versions_.pop_front();
  std::erase_if(packed_, [&](const auto& entry) {
    return entry.first.first == revision || entry.first.second == revision;
  });
}

const ConfigurationPacker::Version* ConfigurationPacker::find(std::uint64_t revision) const {
  const auto found = std::find_if(versions_.begin(), versions_.end(),
                                  [&](const Version& each) { return each.revision == revision; });
  return found == versions_.end() ? nullptr : &*found;
}

std::shared_ptr<const PackedConfiguration> ConfigurationPacker::pack(std::uint64_t revision,
                                                                     std::uint64_t base) {
  const Version* version = find(revision);
  if (!version) return nullptr;
  const Version* prefix = base < revision ? find(base) : nullptr;
  auto& cached = packed_[{revision, prefix ? base : 0}];
  if (cached) return cached;
  auto packed = std::make_shared<PackedConfiguration>();
  static_cast<Packed&>(*packed) = lilacmux::pack(*version->body, prefix ? prefix->body.get() : nullptr);
  packed->base = prefix ? base : 0;
  cached = std::move(packed);
  return cached;
}

std::shared_ptr<const std::string> unpackConfiguration(const PackedConfiguration& packed,
                                                       std::uint64_t revision, const std::string* body) {
  if (packed.base == 0) return unpack(packed, nullptr);
  return packed.base == revision && body ? unpack(packed, body) : nullptr;
}

}  // namespace lilacmux
