// Text compression with zstd (RFC 8878). An earlier text that sender and receiver share may serve as a prefix
// (zstd's "patch from" mode); the size is then about that of the change.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace lilacmux {

struct Packed {
  std::uint64_t size = 0;      // bytes, unpacked
  std::uint64_t checksum = 0;  // XXH3 of the unpacked bytes
  std::string bytes;
};

// Compresses `text`. `prefix`: a similar text that the receiver has; null if there is none. Throws
// std::runtime_error if zstd fails.
Packed pack(const std::string& text, const std::string* prefix);

// Decompresses `packed`. Returns null if it was packed against another prefix, is damaged, or is larger than
// 64 MiB unpacked. Throws std::runtime_error if zstd cannot be set up.
std::shared_ptr<const std::string> unpack(const Packed& packed, const std::string* prefix);

}  // namespace lilacmux
