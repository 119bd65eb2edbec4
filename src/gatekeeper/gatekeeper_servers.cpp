// The server list: what discovery reports goes to the decision engine and to the connections.
#include <algorithm>
#include <chrono>
#include <string>
#include <unordered_set>
#include <vector>

#include "gatekeeper/gatekeeper.hpp"
#include "gatekeeper/server_id.hpp"

namespace lilacmux {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kCallSpread =
    80ms;  // for each gatekeeper of the fleet; shorter: all fail

unsigned indexOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<unsigned>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

void Gatekeeper::watch(const asio::ip::tcp::endpoint& agent, long long from) {
  DiscoveryClient::Limits limits;
  limits.spread = kCallSpread * config_.settings.gatewayCount;
  discovery_ = std::make_unique<DiscoveryClient>(
      io_, agent, from, config_.seed, limits, [this](const ServerListUpdate& update) {
        serverListChanged(update, update.reset ? ListUpdateKind::full : ListUpdateKind::delta);
      });
}

ListedServer Gatekeeper::listedServerOf(const DiscoveredServer& instance) const {
  ListedServer out;
  out.id = serverIdOf(instance.id);
  out.phase = instance.phase;
  out.zone = indexOf(config_.host.zones, instance.zone);
  out.kind = indexOf(config_.host.kinds, instance.kind);
  out.cell = instance.cell;
  out.startedAt = instance.startedAtMs;
  return out;
}

void Gatekeeper::serverListChanged(const ServerListUpdate& update, ListUpdateKind kind) {
  std::vector<ListedServer> members;
  std::unordered_set<ServerId> unnamed;
  if (kind != ListUpdateKind::delta) unnamed = readyServers_;
  for (const DiscoveredServer& instance : update.instances) {
    members.push_back(listedServerOf(instance));
    const ServerId server = members.back().id;
    unnamed.erase(server);
    knownServers_.insert(server);
    if (instance.phase == ServerPhase::ready) {
      readyServers_.insert(server);
      pool_.place(server, {instance.address, instance.startedAtMs});
    } else {
      readyServers_.erase(server);
      pool_.retire(server);
    }
  }
  for (const ServerId server : unnamed) {
    readyServers_.erase(server);
    pool_.retire(server);
  }
  engine_.updateServers(clock_.now(), kind, members);
  ready_ = ready_ || !readyServers_.empty();
  serve();
}

}  // namespace lilacmux
