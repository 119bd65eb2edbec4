#include "fleet/snapshot_pack.hpp"

#include <nlohmann/json.hpp>

namespace lilacmux {

std::shared_ptr<const Packed> SnapshotPacker::pack(const ListPosition& at,
                                                   const std::vector<Instance>& list) {
  if (list.size() < kLeast) return nullptr;
  for (const auto& [position, packed] : packed_)
    if (position == at) return packed;
  const std::string text = nlohmann::json(list).dump();
  packed_.emplace_back(at, std::make_shared<const Packed>(lilacmux::pack(text, nullptr)));
  if (packed_.size() > kKept) packed_.pop_front();
  return packed_.back().second;
}

std::vector<Instance> unpackSnapshot(const Packed& packed) {
  const auto text = unpack(packed, nullptr);
  return nlohmann::json::parse(text ? *text : std::string()).get<std::vector<Instance>>();
}

}  // namespace lilacmux
