// Frames between the system's own processes: a JSON head and, where a message carries one, a body of bytes
// as it is. On the wire: the two lengths (32 bits each, big-endian), the head, the body.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace lilacmux {

struct Frame {
  nlohmann::json head;
  std::string body;
};

constexpr std::size_t kMaxFrameHead = 1 << 20;
constexpr std::size_t kMaxFrameBody = 16 << 20;

// The bytes of a frame. Throws std::length_error if a part is over its limit.
std::string encode(const Frame& frame);

// What decode() found at the front of the bytes received so far.
enum class Decoded {
  incomplete,  // the frame's last byte has not come yet
  frame,       // a whole frame; it has been taken from the bytes
  malformed,   // the peer does not speak this protocol
};
// Takes one frame from the front of `in`.
Decoded decode(std::string& in, Frame& out);

}  // namespace lilacmux
