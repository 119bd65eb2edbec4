#include "fleet/snapshot_pack.hpp"

#include <nlohmann/json.hpp>
#include <string>

#include "net/json_text.hpp"

namespace lilacmux {

std::shared_ptr<const Packed> SnapshotPacker::pack(const ListPosition& position,
                                                   const std::vector<Instance>& list) {
  if (list.size() < kMinServers) return nullptr;
  for (const auto& [cachedPosition, packed] : cached_)
    if (cachedPosition == position) return packed;
  const std::string text = toJsonText(list);
  cached_.emplace_back(position, std::make_shared<const Packed>(lilacmux::pack(text, nullptr)));
  if (cached_.size() > kMaxCachedLists) cached_.pop_front();
  return cached_.back().second;
}

std::vector<Instance> unpackSnapshot(const Packed& packed) {
  const auto text = unpack(packed, nullptr);
  return nlohmann::json::parse(text ? *text : std::string()).get<std::vector<Instance>>();
}

}  // namespace lilacmux
