// The history of accepted configuration changes: revision and digest of the newest ones, and the highest
// revision that has been compacted away. Replicated together with the configuration.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/digest.hpp"

namespace lilacmux {

struct AcceptedChange {
  std::uint64_t revision = 0;
  Digest digest{};  // SHA-256 of the request body
  bool operator==(const AcceptedChange&) const = default;
};

class AcceptedChanges {
 public:
  AcceptedChanges() = default;
  // Throws std::invalid_argument unless the revisions are strictly ascending and above `compactedRevision`.
  AcceptedChanges(std::uint64_t compactedRevision, std::vector<AcceptedChange> entries);
  // Returns a history that holds only the current change and counts all older ones as compacted. For stored
  // or received states that carry no digests of older changes.
  static AcceptedChanges onlyCurrent(std::uint64_t revision, std::string_view body);

  // Appends a change, whose revision must exceed all earlier ones, and compacts the oldest entries beyond
  // `capacity`.
  void add(const AcceptedChange& change, std::size_t capacity);
  bool contains(const Digest& digest) const;
  // Returns whether a change of this revision may have been accepted and compacted since.
  bool mayHaveCompacted(std::uint64_t revision) const { return revision <= compactedRevision_; }

  std::uint64_t compactedRevision() const { return compactedRevision_; }
  const std::vector<AcceptedChange>& entries() const { return entries_; }  // by ascending revision
  bool operator==(const AcceptedChanges&) const = default;

  // Returns the entries in binary form, 40 bytes each: the revision (big-endian) and the digest.
  std::string packedEntries() const;
  // Throws std::invalid_argument as the constructor does, or if the size is not a multiple of an entry's.
  static AcceptedChanges unpack(std::uint64_t compactedRevision, std::string_view packedEntries);

 private:
  std::uint64_t compactedRevision_ = 0;
  std::vector<AcceptedChange> entries_;
};

}  // namespace lilacmux
