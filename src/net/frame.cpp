#include "net/frame.hpp"

#include <stdexcept>

#include "net/json_text.hpp"

namespace lilacmux {
namespace {

constexpr std::size_t kLengthsSize = 8;  // bytes of the two lengths ahead of a frame

void appendLength(std::string& out, std::size_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xff);
}

std::size_t lengthAt(const std::string& in, std::size_t at) {
  std::size_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) value = value << 8 | static_cast<unsigned char>(in[at + i]);
  return value;
}

}  // namespace

std::string encode(const Frame& frame) {
  const std::string head = toJsonText(frame.head);
  if (head.size() > kMaxFrameHead || frame.body.size() > kMaxFrameBody)
    throw std::length_error("frame too long");
  std::string out;
  out.reserve(kLengthsSize + head.size() + frame.body.size());
  appendLength(out, head.size());
  appendLength(out, frame.body.size());
  return out.append(head).append(frame.body);
}

Decoded decode(std::string& in, Frame& out) {
  if (in.size() < kLengthsSize) return Decoded::incomplete;
  const std::size_t head = lengthAt(in, 0), body = lengthAt(in, 4);
  if (head > kMaxFrameHead || body > kMaxFrameBody) return Decoded::malformed;
  if (in.size() < kLengthsSize + head + body) return Decoded::incomplete;
  out.head =
      nlohmann::json::parse(in.begin() + kLengthsSize,
                            in.begin() + kLengthsSize + static_cast<std::ptrdiff_t>(head), nullptr, false);
  if (!out.head.is_object()) return Decoded::malformed;
  out.body.assign(in, kLengthsSize + head, body);
  in.erase(0, kLengthsSize + head + body);
  if (in.empty()) in.shrink_to_fit();
  return Decoded::frame;
}

}  // namespace lilacmux
