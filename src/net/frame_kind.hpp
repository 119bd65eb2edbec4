// What kind of message a frame carries, and how what is in it is read.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>

#include "net/frame.hpp"

namespace lilacmux {

constexpr const char* kKind = "t";

// Empty: none is told.
inline std::string kindOf(const Frame& frame) {
  const auto found = frame.head.find(kKind);
  return found != frame.head.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// What is read within is wrong as a whole if any of it is.
template <class T, class Read>
std::optional<T> whole(Read read) {
  try {
    return read();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

}  // namespace lilacmux
