#include "discovery/announcer.hpp"

#include <boost/asio/post.hpp>
#include <chrono>

#include "net/steady.hpp"
#include "settings/settings.hpp"

namespace lilacmux {
namespace {

using namespace std::chrono_literals;

constexpr auto kResponseTimeout = 700ms;

}  // namespace

void Announcer::tick() {
  for (const NodeId& peer : directory_.takeDuePeers(steadyMs())) announce(peer);
}

Frame Announcer::handleAnnouncement(const PeerAnnouncement& announcement) {
  directory_.recordAnnouncement(steadyMs(), announcement);
  return toFrame(directory_.announcement());
}

void Announcer::announce(const NodeId& peer) {
  auto& client = clients_[peer];
  if (!client) client = std::make_unique<FrameClient>(io_, parseAddress(peer, "peer"));
  client->call(toFrame(directory_.announcement()), kResponseTimeout,
               [this, peer](std::optional<Frame> frame) {
                 const auto response = frame ? parsePeerAnnouncement(*frame) : std::nullopt;
                 if (response) return directory_.recordAnnouncement(steadyMs(), *response);
                 directory_.recordFailure(steadyMs(), peer);
                 closeConnection(peer);
               });
}

// Keeps no client for a peer that is gone. The client is destroyed later, as this runs inside its own
// handler.
void Announcer::closeConnection(const NodeId& peer) {
  const auto found = clients_.find(peer);
  if (found == clients_.end()) return;
  boost::asio::post(io_, [client = std::shared_ptr<FrameClient>(std::move(found->second))] {});
  clients_.erase(found);
}

}  // namespace lilacmux
