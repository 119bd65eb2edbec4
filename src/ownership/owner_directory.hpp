// The owner of each key as followers know it: a map from ranges to servers with the version of each entry.
// The primary fills it from the committed table; relays and gateways apply the changes since the version that
// they have. It is a hint for routing: only the servers' own leases decide who serves a key. No I/O, no
// clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ownership/key_range.hpp"
#include "ownership/ownership_table.hpp"

namespace lilacmux {

// A range and its owner.
struct OwnedRange {
  KeyRange keys;
  std::string server;  // instance id
  std::uint64_t version = 0;
  bool operator==(const OwnedRange&) const = default;
};

// The ranges that changed after a follower's version.
struct OwnershipDelta {
  std::uint64_t version = 0;  // of the follower after applying the delta
  std::map<std::string, std::vector<OwnedRange>> services;
};

class OwnerDirectory {
 public:
  std::uint64_t version() const { return version_; }
  bool knows(const std::string& service) const { return services_.contains(service); }
  // Returns the instance id of the owner; null if there is none.
  const std::string* ownerOf(const std::string& service, Key key) const;

  // Returns the changes for a follower at this version; nothing if it has all of them.
  std::optional<OwnershipDelta> deltaSince(std::uint64_t version) const;
  // Ignores a delta that is not newer than the directory.
  void apply(const OwnershipDelta& delta);
  void apply(const OwnershipTable& committed);

 private:
  using Ranges = std::map<Key, OwnedRange>;  // by first key, without overlaps
  static void overwrite(Ranges& ranges, const OwnedRange& range);

  std::uint64_t version_ = 0;
  std::map<std::string, Ranges> services_;
};

}  // namespace lilacmux
