#include "control/peer_discovery.hpp"

#include "discovery/peer_file.hpp"
#include "net/steady.hpp"

namespace lilacmux {
namespace {

constexpr double kMinSaveIntervalMs = 10000;  // each write may block on the disk

std::optional<std::filesystem::path> peerFile(const NodeSettings& settings) {
  if (!settings.dataDirectory) return std::nullopt;
  return *settings.dataDirectory / "control-peers.json";
}

std::vector<NodeId> loadPeers(const std::optional<std::filesystem::path>& file) {
  return file ? readPeerFile(*file) : std::vector<NodeId>();
}

}  // namespace

std::vector<NodeId> seedNodes(const NodeSettings& settings) {
  std::vector<NodeId> out;
  for (const Endpoint& seed : controlSeeds(settings)) out.push_back(textOf(seed));
  return out;
}

PeerDiscovery::PeerDiscovery(boost::asio::io_context& io, const NodeId& self, const NodeSettings& settings)
    : peerFile_(peerFile(settings)),
      savedPeers_(loadPeers(peerFile_)),
      directory_(self, seedNodes(settings), savedPeers_, {}),
      announcer_(io, directory_) {}

void PeerDiscovery::savePeers() {
  const double now = steadyMs();
  if (!peerFile_ || now < nextSaveAt_) return;
  nextSaveAt_ = now + kMinSaveIntervalMs;
  auto peers = directory_.knownPeers();
  if (peers == savedPeers_ || !writePeerFile(*peerFile_, peers)) return;
  savedPeers_ = std::move(peers);
}

}  // namespace lilacmux
