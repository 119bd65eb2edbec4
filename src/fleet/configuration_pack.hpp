// Packs configurations for followers: as a patch against the follower's current version if the sender still
// retains that version, otherwise in full.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "fleet/packed.hpp"

namespace lilacmux {

struct PackedConfiguration : Packed {
  std::uint64_t base = 0;  // revision whose body is the prefix; 0: no prefix
};

// Retains the newest configurations and caches their packed forms, so that each form is packed only once.
class ConfigurationPacker {
 public:
  using Body = std::shared_ptr<const std::string>;
  static constexpr std::size_t kMaxEarlierVersions = 4;  // in addition to the newest
  // Limits the total size of the earlier versions; one earlier version is always retained.
  static constexpr std::size_t kMaxEarlierBytes = std::size_t{4} << 20;

  // Adds a version. Ignores a null body and a revision that has already been added.
  void add(std::uint64_t revision, const Body& body);
  // Returns version `revision` packed for a follower that has revision `base` (0: none). Returns null if
  // `revision` was never added or is no longer retained.
  std::shared_ptr<const PackedConfiguration> pack(std::uint64_t revision, std::uint64_t base);

 private:
  struct Version {
    std::uint64_t revision = 0;
    Body body;
  };
  using RevisionAndBase = std::pair<std::uint64_t, std::uint64_t>;

  const Version* find(std::uint64_t revision) const;
  void dropOldest();

  std::deque<Version> versions_;  // in ascending order of revision
  std::map<RevisionAndBase, std::shared_ptr<const PackedConfiguration>> packed_;
};

// Returns the unpacked body. `body` is the follower's current configuration, of `revision`; null if there is
// none. Returns null if `packed` needs another base, or is damaged.
std::shared_ptr<const std::string> unpackConfiguration(const PackedConfiguration& packed,
                                                       std::uint64_t revision, const std::string* body);

}  // namespace lilacmux
