#include "consensus/accepted_changes.hpp"

#include <algorithm>
#include <stdexcept>

namespace lilacmux {
namespace {

constexpr std::size_t kRevisionBytes = sizeof(std::uint64_t);
constexpr std::size_t kEntryBytes = kRevisionBytes + std::tuple_size_v<Digest>;

void packRevision(std::uint64_t revision, std::string& out) {
  for (std::size_t i = kRevisionBytes; i > 0; --i) out += static_cast<char>(revision >> (8 * (i - 1)));
}

AcceptedChange unpackEntry(std::string_view bytes) {
  AcceptedChange out;
  for (std::size_t i = 0; i < kRevisionBytes; ++i)
    out.revision = out.revision << 8 | static_cast<std::uint8_t>(bytes[i]);
  std::copy_n(bytes.begin() + kRevisionBytes, out.digest.size(), out.digest.begin());
  return out;
}

}  // namespace

AcceptedChanges::AcceptedChanges(std::uint64_t compactedRevision, std::vector<AcceptedChange> entries)
    : compactedRevision_(compactedRevision), entries_(std::move(entries)) {
  std::uint64_t previous = compactedRevision_;
  for (const AcceptedChange& entry : entries_) {
    if (entry.revision <= previous)
      throw std::invalid_argument("revisions of accepted changes are not ascending: " +
                                  std::to_string(entry.revision) + " after " + std::to_string(previous));
    previous = entry.revision;
  }
}

AcceptedChanges AcceptedChanges::onlyCurrent(std::uint64_t revision, std::string_view body) {
  if (revision == 0) return {};
  return AcceptedChanges(revision - 1, {{revision, sha256(body)}});
}

void AcceptedChanges::add(const AcceptedChange& change, std::size_t capacity) {
  entries_.push_back(change);
  if (entries_.size() <= capacity) return;
  const auto firstRetained = entries_.end() - static_cast<std::ptrdiff_t>(capacity);
  compactedRevision_ = std::prev(firstRetained)->revision;
  entries_.erase(entries_.begin(), firstRetained);
}

bool AcceptedChanges::contains(const Digest& digest) const {
  return std::any_of(entries_.rbegin(), entries_.rend(),
                     [&](const AcceptedChange& entry) { return entry.digest == digest; });
}

std::string AcceptedChanges::packedEntries() const {
  std::string out;
  out.reserve(entries_.size() * kEntryBytes);
  for (const AcceptedChange& entry : entries_) {
    packRevision(entry.revision, out);
    out.append(entry.digest.begin(), entry.digest.end());
  }
  return out;
}

AcceptedChanges AcceptedChanges::unpack(std::uint64_t compactedRevision, std::string_view packedEntries) {
  if (packedEntries.size() % kEntryBytes != 0)
    throw std::invalid_argument("accepted changes truncated: " + std::to_string(packedEntries.size()) +
                                " bytes are not a multiple of " + std::to_string(kEntryBytes));
  std::vector<AcceptedChange> entries;
  entries.reserve(packedEntries.size() / kEntryBytes);
  for (; !packedEntries.empty(); packedEntries.remove_prefix(kEntryBytes))
    entries.push_back(unpackEntry(packedEntries.substr(0, kEntryBytes)));
  return AcceptedChanges(compactedRevision, std::move(entries));
}

}  // namespace lilacmux
