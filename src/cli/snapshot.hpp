// A configuration as it was acknowledged, in a file that can be told whole from torn: one line of JSON with
// the revision, the length and a checksum, then the bytes as they were sent.
#pragma once

#include <cstdint>
#include <string>

namespace lilacmux {

struct Snapshot {
  std::uint64_t revision = 0;
  std::string body;  // MessagePack, as the control plane has it
};

std::string toBytes(const Snapshot& snapshot);
// Throws SettingsError with one line on what is wrong: cut short, changed, not of this form.
Snapshot snapshotFrom(const std::string& bytes);

}  // namespace lilacmux
