// The replicated record of which server may hold which keys of the sharded services. The primary replicates
// an assignment before it sends the first grant of it, so a new primary knows every grant that any earlier
// one can have sent. Fences are allocated from the record alone and never twice. No I/O and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ownership/key_range.hpp"

namespace lilacmux {

// A range of keys and the server that may be granted it.
struct Assignment {
  KeyRange keys;
  std::string server;  // instance id
  Fence fence = 0;     // unique in the table's history
  // The server that held the keys under `previousFence`, until it is known to hold them no more. The range
  // must not be granted to `server` before that.
  std::string previousServer;
  Fence previousFence = 0;
  std::uint64_t version = 0;  // the table's version when `server` was last changed

  bool hasPrevious() const { return previousFence != 0; }
  bool operator==(const Assignment&) const = default;
};

class OwnershipTable {
 public:
  using Assignments = std::vector<Assignment>;  // of one service, sorted by keys, without overlaps

  // Increases with each change of a server. Followers state the version that they have.
  std::uint64_t version() const { return version_; }
  // The longest time, in ms, for which any grant of the record can have been given; 0: none was given.
  double maxHoldMs() const { return maxHoldMs_; }
  void setMaxHoldMs(double ms) { maxHoldMs_ = ms > maxHoldMs_ ? ms : maxHoldMs_; }
  const std::map<std::string, Assignments>& services() const { return services_; }
  // Returns the assignments of the service; empty if it has none.
  const Assignments& assignments(const std::string& service) const;

  // Begins a change: assignments made from now on carry the next version.
  void beginChange() { ++version_; }
  // Assigns keys that no server holds or has held.
  void assign(const std::string& service, const KeyRange& keys, const std::string& server);
  // Moves the keys to another server under a new fence. They must be all keys of the assignment with this
  // fence, or those at one of its ends; the keys that are left keep the fence. Does nothing otherwise, or if
  // that assignment has a previous server.
  void move(const std::string& service, Fence fence, const KeyRange& keys, const std::string& server);
  // Gives the assignment a new fence at the same server.
  void renewFence(const std::string& service, Fence fence);
  // Records that the previous server of the assignment holds its keys no more.
  void clearPrevious(const std::string& service, Fence fence);
  // Removes a service that is not sharded any more. Its fences are not used again.
  void removeService(const std::string& service) { services_.erase(service); }

  std::string encode() const;
  // Returns nothing if the text is malformed.
  static std::optional<OwnershipTable> decode(std::string_view text);

  bool operator==(const OwnershipTable&) const = default;

 private:
  Assignment* find(const std::string& service, Fence fence);
  void insert(const std::string& service, Assignment&& assignment);

  std::uint64_t version_ = 0;
  Fence nextFence_ = 1;
  double maxHoldMs_ = 0;
  std::map<std::string, Assignments> services_;
};

}  // namespace lilacmux
