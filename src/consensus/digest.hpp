// SHA-256 digests, which identify request bodies.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace lilacmux {

using Digest = std::array<std::uint8_t, 32>;

// Throws std::runtime_error if OpenSSL does not provide SHA-256.
Digest sha256(std::string_view bytes);

}  // namespace lilacmux
