// The replicated log of the server list and the configuration. A new primary continues the log that it
// replicated as a follower, and a relay that receives a snapshot computes its difference from the previous
// list, so after a failover gateways receive only the changes. A follower that lags too far behind, or whose
// list is not an ancestor of the current one, receives a snapshot. No I/O and no clock.
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
  std::uint64_t index = 0;  // index of the last change that the list contains
  // clang-tidy mistakes the 0 in the generated comparison for a null pointer.
  auto operator<=>(const ListPosition&) const = default;  // NOLINT(modernize-use-nullptr)
};

// Changes of the server list, or the complete list.
struct ServerChanges {
  bool isSnapshot = false;                      // `updated` is the complete list
  std::vector<Instance> updated;                // added or changed servers
  std::shared_ptr<const Packed> packedUpdated;  // replaces `updated` if the follower accepts packed lists
  std::vector<std::string> removed;             // instance ids
};

class ChangeLog {
 public:
  // Retained changes. A follower that lacks more of them receives a snapshot.
  static constexpr std::size_t kMaxChanges = 256;
  // The retained changes together hold at most as many entries as the server list, or this number if the list
  // is shorter: with more entries, a snapshot would be no longer than the changes.
  static constexpr std::size_t kMinEntryLimit = 256;

  // The changes that a follower has not received yet.
  struct Delta {
    // Whether the primary of the epoch has read the server list. If not, the delta contains no server changes
    // and the follower retains its current servers.
    bool hasServerList = false;
    std::uint64_t index = 0;               // position of the follower after applying the delta
    std::optional<ServerChanges> servers;  // absent: unchanged
    std::uint64_t revision = 0;            // of the newest configuration
    // The newest configuration, unpacked or packed. Both are null if the follower has it already.
    std::shared_ptr<const std::string> configuration;
    std::shared_ptr<const PackedConfiguration> packedConfiguration;

    bool isSnapshot() const { return servers && servers->isSnapshot; }
    // Returns the new configuration for a follower whose current one is `body`, of `currentRevision`. Returns
    // null if the delta contains no configuration, or if it cannot be unpacked against `body`.
    std::shared_ptr<const std::string> configurationFor(std::uint64_t currentRevision,
                                                        const std::string* body) const;
  };

  explicit ChangeLog(std::uint64_t epoch = 0) : epoch_(epoch) {}
  // Returns the log of a new primary that replicated `earlier` until now. The server list is carried over,
  // but counts as unread until the primary of the new epoch has read the list itself.
  static ChangeLog continuing(std::uint64_t epoch, const ChangeLog& earlier);

  // Appends the difference from the previous list. An id may occur twice in `list`, because the platform's
  // list may change while its pages are being read.
  void updateServers(const std::vector<Instance>& list);
  void setConfiguration(std::uint64_t revision, std::shared_ptr<const std::string> body);

  // Returns the changes for a follower whose list is at `position` and whose configuration has `revision`.
  Delta deltaSince(const ListPosition& position, std::uint64_t revision) const;
  // Applies a delta from the log of `epoch`, under the same indexes. Ignores data older than the contents of
  // this log.
  void apply(std::uint64_t epoch, const Delta& delta);

  std::uint64_t epoch() const { return epoch_; }
  // Whether the primary of the current epoch has read the server list.
  bool hasServerList() const { return hasServerList_; }
  // Returns the index of the newest list of the current epoch, or 0 if none has been read.
  std::uint64_t index() const { return hasServerList_ ? position().index : 0; }
  // Returns the position of the newest change, or the base position if the log is empty.
  ListPosition position() const { return changes_.empty() ? base_ : changes_.back().position; }
  std::uint64_t revision() const { return revision_; }
  const std::map<std::string, Instance>& servers() const { return servers_; }  // by id
  std::size_t changeCount() const { return changes_.size(); }                  // retained changes
  std::size_t entryCount() const { return entryCount_; }  // entries in the retained changes

 private:
  using Servers = std::map<std::string, Instance>;  // by id
  struct Change {
    ListPosition position;  // position after this change
    std::vector<Instance> updated;
    std::vector<std::string> removed;
    std::size_t entryCount() const { return updated.size() + removed.size(); }
  };

  void enterEpoch(std::uint64_t epoch);
  Servers inheritDrainingState(const std::vector<Instance>& list) const;
  Change difference(const Servers& next, const ListPosition& position) const;
  void replaceServers(Servers&& next, const ListPosition& position);
  void applyChanges(const Delta& delta, const ListPosition& position);
  void append(Change&& change);
  std::optional<std::size_t> changeCountUpTo(const ListPosition& position) const;
  ServerChanges makeSnapshot() const;
  std::optional<ServerChanges> mergedChanges(std::size_t first) const;

  std::uint64_t epoch_;
  bool hasServerList_ = false;
  Servers servers_;
  ListPosition base_;           // position before the oldest retained change
  std::deque<Change> changes_;  // oldest first, across epochs
  std::size_t entryCount_ = 0;
  std::uint64_t revision_ = 0;
  std::shared_ptr<const std::string> body_;
};

}  // namespace lilacmux
