// JSON texts of trees whose strings came from outside: the JSON writer throws on a string that is not UTF-8,
// and an exception from a handler ends the process.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace lilacmux {

bool isUtf8(std::string_view text);

// The tree's text; bytes that are not UTF-8 become U+FFFD. Never throws for what a string holds.
std::string toJsonText(const nlohmann::json& tree);

}  // namespace lilacmux
