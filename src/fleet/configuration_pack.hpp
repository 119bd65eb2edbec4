// Configurations on their way to followers: compressed, and against the version that the follower has where
// the sender knows that, so that a change costs about as much as what it changes. The format is zstd's (RFC
// 8878), with the earlier body as a prefix ("patch from").
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace lilacmux {

// Bytes, compressed.
struct Packed {
  std::uint64_t size = 0;   // once they are unpacked
  std::uint64_t check = 0;  // XXH3 of them
  std::string bytes;
};

// `prefix`: what the receiver has and the text resembles; none if null.
Packed pack(const std::string& text, const std::string* prefix);
// Nothing: it was packed against another prefix, or is spoilt.
std::shared_ptr<const std::string> unpack(const Packed& packed, const std::string* prefix);

struct PackedConfiguration : Packed {
  std::uint64_t base = 0;  // the revision that must be there to unpack it; 0: none
};

// Packs the newest configurations. What was packed once is kept for the next follower that asks for the same.
class ConfigurationPacker {
 public:
  using Body = std::shared_ptr<const std::string>;
  static constexpr std::size_t kEarlier = 4;                 // versions kept beside the newest, at most
  static constexpr std::size_t kMostEarlierBytes = 4 << 20;  // in them, but for one

  // This version's body; nothing is done where it is known.
  void take(std::uint64_t revision, const Body& body);
  // The version for one that has `base`, or has none (0). Nothing: `revision` was not taken in, or is no
  // longer kept.
  std::shared_ptr<const PackedConfiguration> pack(std::uint64_t revision, std::uint64_t base);

 private:
  struct Version {
    std::uint64_t revision = 0;
    Body body;
  };
  const Version* find(std::uint64_t revision) const;
  void forgetOldest();

  std::deque<Version> versions_;  // by revision, the newest last
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::shared_ptr<const PackedConfiguration>> packed_;
};

// The body, given the one of the revision that the receiver has. Nothing: it needs another one, or is spoilt.
std::shared_ptr<const std::string> unpackConfiguration(const PackedConfiguration& packed,
                                                       std::uint64_t revision, const std::string* body);

}  // namespace lilacmux
