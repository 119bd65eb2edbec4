// Configurations in files: reading, and how two of them differ.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lilacmux {

// A configuration from JSON or MessagePack bytes. Throws SettingsError if it is invalid.
nlohmann::json configurationFrom(const std::string& bytes);

// A line for each path at which two configurations differ: `+ path: value` (added), `- path: value` (removed)
// or
// `~ path: old -> new`.
std::vector<std::string> differences(const nlohmann::json& from, const nlohmann::json& to);

}  // namespace lilacmux
