// Whole files that operators name on the command line.
#pragma once

#include <string>

namespace lilacmux {

// Throws SettingsError if the file cannot be read.
std::string readFile(const std::string& file);

// Replaces the file as a whole or not at all, even if the power is lost. Only the owner may read it: it may
// hold API keys. Returns false if it cannot be written.
bool writeFileDurably(const std::string& file, const std::string& bytes);

}  // namespace lilacmux
