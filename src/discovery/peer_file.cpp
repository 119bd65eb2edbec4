#include "discovery/peer_file.hpp"

#include <fstream>
#include <nlohmann/json.hpp>

#include "settings/settings.hpp"

namespace lilacmux {

std::vector<NodeId> readPeerFile(const std::filesystem::path& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) return {};
  const auto read = nlohmann::json::parse(in, nullptr, false);
  if (!read.is_array()) return {};
  std::vector<NodeId> out;
  for (const auto& each : read) {
    if (!each.is_string()) return {};
    try {
      parseAddress(each.get<std::string>(), "peer");
    } catch (const SettingsError&) {
      return {};
    }
    out.push_back(each.get<std::string>());
  }
  return out;
}

bool writePeerFile(const std::filesystem::path& file, const std::vector<NodeId>& peers) {
  std::filesystem::path next = file;
  next += ".new";
  {
    std::ofstream out(next, std::ios::binary | std::ios::trunc);
    out << nlohmann::json(peers).dump();
    if (!out.flush()) return false;
  }
  std::error_code failed;
  std::filesystem::rename(next, file, failed);
  return !failed;
}

}  // namespace lilacmux
