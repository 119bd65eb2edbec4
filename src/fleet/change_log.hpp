// The log that followers replicate: the configuration and the server list, change by change. A new primary's
// log continues the list that it has followed itself, and a relay that receives a snapshot works out what the
// snapshot changes, so a take-over costs a gateway only what has changed. A follower that is too far behind,
// or whose list did not lead to this one, starts from a snapshot. No I/O and no clock.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/configuration_pack.hpp"
#include "fleet/instance.hpp"

namespace lilacmux {

// Identifies one state of the server list. The primary of an epoch numbers that epoch's changes from 1 on.
struct ListPosition {
  std::uint64_t epoch = 0;  // 0: no list
  std::uint64_t index = 0;  // of the last change that the list contains
  // The linter takes the generated comparison with 0 for one with a null pointer.
  auto operator<=>(const ListPosition&) const = default;  // NOLINT(modernize-use-nullptr)
};

// What has changed in the server list, or all of it.
struct ServerChanges {
  bool isSnapshot = false;                      // `updated` is the complete list
  std::vector<Instance> updated;                // new or changed
  std::shared_ptr<const Packed> packedUpdated;  // in place of `updated`, for a follower that unpacks
  std::vector<std::string> removed;             // ids
};

class ChangeLog {
 public:
  // Changes that are kept; a follower that lacks more gets a snapshot.
  static constexpr std::size_t kMaxChanges = 256;
  // ServiceBounds the entries of all kept changes where the list itself is shorter: with more of them a
  // snapshot would be no longer than the changes.
  static constexpr std::size_t kMinEntryLimit = 256;

  // What a follower lacks.
  struct Delta {
    // Whether the epoch's primary has read a list. Otherwise nothing is said about servers, and the follower
    // keeps those that it has.
    bool hasServerList = false;
    std::uint64_t index = 0;               // the follower's next request names this one
    std::optional<ServerChanges> servers;  // absent: no change
    std::uint64_t revision = 0;            // of the newest configuration
    // That configuration, where the follower has an older one, either as it is or packed.
    std::shared_ptr<const std::string> configuration;
    std::shared_ptr<const PackedConfiguration> packedConfiguration;

    bool isSnapshot() const { return servers && servers->isSnapshot; }
    // The configuration for a follower that has `body` of revision `has`. Null: the delta brings none, or it
    // cannot be unpacked with that body.
    std::shared_ptr<const std::string> configurationFor(std::uint64_t has, const std::string* body) const;
  };

  explicit ChangeLog(std::uint64_t epoch = 0) : epoch_(epoch) {}
  // The log of a new primary that has followed `earlier` until now: the same list, which this epoch has not
  // confirmed yet.
  static ChangeLog continuing(std::uint64_t epoch, const ChangeLog& earlier);

  // Records the differences from the previous list. An id may occur twice in `list`: it is read page by page,
  // and may change in between.
  void updateServers(const std::vector<Instance>& list);
  void setConfiguration(std::uint64_t revision, std::shared_ptr<const std::string> body);

  // What a follower lacks whose list is the one at `position` and whose configuration has that revision.
  Delta deltaSince(const ListPosition& position, std::uint64_t revision) const;
  // Replicates what the log of `epoch` sent, under the same indexes. What is older than the contents here is
  // ignored.
  void apply(std::uint64_t epoch, const Delta& delta);

  std::uint64_t epoch() const { return epoch_; }
  // Whether this epoch's primary has read a list.
  bool hasServerList() const { return hasServerList_; }
  // Of the list of this epoch; 0: none was read.
  std::uint64_t index() const { return hasServerList_ ? position().index : 0; }
  // Of the list that is here, from whichever epoch.
  ListPosition position() const { return changes_.empty() ? base_ : changes_.back().position; }
  std::uint64_t revision() const { return revision_; }
  const std::map<std::string, Instance>& servers() const { return servers_; }  // by id
  std::size_t changeCount() const { return changes_.size(); }                  // that are kept
  std::size_t entryCount() const { return entryCount_; }                       // in the kept changes

 private:
  using Servers = std::map<std::string, Instance>;  // by id
  struct Change {
    ListPosition position;  // of the list after it
    std::vector<Instance> updated;
    std::vector<std::string> removed;
    std::size_t entryCount() const { return updated.size() + removed.size(); }
  };

  void enterEpoch(std::uint64_t epoch);
  Servers inheritFromCurrent(const std::vector<Instance>& list) const;
  Change difference(const Servers& next, const ListPosition& position) const;
  void replaceServers(Servers&& next, const ListPosition& position);
  void applyChanges(const Delta& delta, const ListPosition& position);
  void append(Change&& change);
  std::optional<std::size_t> changesUpTo(const ListPosition& position) const;
  ServerChanges makeSnapshot() const;
  std::optional<ServerChanges> mergedChanges(std::size_t first) const;

  std::uint64_t epoch_;
  bool hasServerList_ = false;
  Servers servers_;
  ListPosition base_;           // before the oldest kept change
  std::deque<Change> changes_;  // in order, across epochs
  std::size_t entryCount_ = 0;
  std::uint64_t revision_ = 0;
  std::shared_ptr<const std::string> body_;
};

}  // namespace lilacmux
