// File with the known peers of a control process (a JSON list of ip:port), read at its next start.
#pragma once

#include <filesystem>
#include <vector>

#include "consensus/epoch_record.hpp"

namespace lilacmux {

// Returns the peers in the file. Empty if the file is missing or unreadable, or any entry is not an address.
std::vector<NodeId> readPeerFile(const std::filesystem::path& file);

// Replaces the file. Returns false, and leaves the previous file in place, if it cannot be written. Does not
// sync to disk: the peers are only hints, so a lost or outdated file is harmless.
bool writePeerFile(const std::filesystem::path& file, const std::vector<NodeId>& peers);

}  // namespace lilacmux
