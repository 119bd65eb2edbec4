#include "net/json_text.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lilacmux {

bool isUtf8(std::string_view text) {
  const auto isAscii = [](char c) { return static_cast<unsigned char>(c) < 0x80; };
  if (std::all_of(text.begin(), text.end(), isAscii)) return true;
  try {
    nlohmann::json(text).dump();  // strict: what passes can be sent in any frame
    return true;
  } catch (const nlohmann::json::type_error&) {
    return false;
  }
}

std::string toJsonText(const nlohmann::json& tree) {
  return tree.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace lilacmux
