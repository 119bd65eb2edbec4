// Which configurations were accepted: the revisions and digests of the newest ones, and the highest revision
// that is no longer among them. Replicated with the configuration itself.
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
  Digest digest{};  // of the body as it was sent
  bool operator==(const AcceptedChange&) const = default;
};

class AcceptedChanges {
 public:
  AcceptedChanges() = default;
  // Throws std::invalid_argument unless the revisions rise and lie above `compactedRevision`.
  AcceptedChanges(std::uint64_t compactedRevision, std::vector<AcceptedChange> entries);
  // Of a state whose older changes were not kept by digest: only the current one is known.
  static AcceptedChanges onlyCurrent(std::uint64_t revision, std::string_view body);

  // Adds one with a higher revision than all before it and drops the lowest ones beyond `capacity`.
  void add(const AcceptedChange& change, std::size_t capacity);
  bool contains(const Digest& digest) const;
  // Whether a change of this revision may have been accepted without being kept here.
  bool mayHaveCompacted(std::uint64_t revision) const { return revision <= compactedRevision_; }

  std::uint64_t compactedRevision() const { return compactedRevision_; }
  const std::vector<AcceptedChange>& entries() const { return entries_; }  // by rising revision
  bool operator==(const AcceptedChanges&) const = default;

  // The entries in 40 bytes each: the revision, big-endian, and the digest.
  std::string packedEntries() const;
  // Throws std::invalid_argument as the constructor does, and where the length does not fit.
  static AcceptedChanges unpack(std::uint64_t compactedRevision, std::string_view packedEntries);

 private:
  std::uint64_t compactedRevision_ = 0;
  std::vector<AcceptedChange> entries_;
};

}  // namespace lilacmux
