#include "decision/server_pool.hpp"

#include <algorithm>

#include "decision/server_tuning.hpp"

namespace lilacmux::decision {

void ServerPool::update(Time now, ListUpdateKind kind, const std::vector<ListedServer>& list) {
  if (kind != ListUpdateKind::delta)
    for (Server& server : servers_) server.listed.phase = ServerPhase::gone;
  for (const ListedServer& entry : list) {
    Server* server = find(entry.id);
    if (!server) {
      servers_.emplace_back();
      server = &servers_.back();
      begin(*server, now);
    } else if (entry.startedAt != server->listed.startedAt) {  // restarted: what was learned is void
      renew(*server, now);
    }
    server->listed = entry;
  }
}

void ServerPool::eraseGone() {
  std::erase_if(servers_, [](const Server& server) {
    return server.listed.phase == ServerPhase::gone && server.inFlight == 0;
  });
}

void ServerPool::suspend(Time now, ServerId id) { suspended_.try_emplace(id, now); }

void ServerPool::resume(Time now, ServerId id) {
  const auto found = suspended_.find(id);
  if (found == suspended_.end()) return;
  resumed_[id] = {found->second, now};
  suspended_.erase(found);
  if (Server* server = find(id)) renew(*server, now);
}

// What is in flight at the process before this one is load whose end this one does not see.
void ServerPool::adopt(Server known, Time now) {
  Server* mine = find(known.listed.id);
  if (!mine || mine->listed.startedAt != known.listed.startedAt) return;
  known.listed = mine->listed;
  known.othersInFlight = known.inFlight;
  known.othersAt = now;
  known.inFlight = mine->inFlight;
  *mine = known;
}

Server* ServerPool::find(ServerId id) {
  for (Server& server : servers_)
    if (server.listed.id == id) return &server;
  return nullptr;
}

// Suspended by an operator: as draining, whatever the list says.
bool ServerPool::isSuspended(const Server& server) const {
  return !suspended_.empty() && suspended_.contains(server.listed.id);
}

bool ServerPool::inUse(const Server& server) const {
  return server.listed.phase == ServerPhase::ready && !isSuspended(server);
}

// When it last became cold. One is restarted while it is left out; until the list reports that start,
// its return stands for it.
Time ServerPool::coldSince(const Server& server) const {
  if (resumed_.empty()) return server.listed.startedAt;
  const auto found = resumed_.find(server.listed.id);
  if (found == resumed_.end() || server.listed.startedAt >= found->second.suspended)
    return server.listed.startedAt;
  return found->second.resumed;
}

// The slow-start tokens start at chance, so that gateways alike do not all send at the same moment.
void ServerPool::begin(Server& server, Time now) {
  server.latencyAt = server.othersAt = server.slowStartAt = now;
  server.slowStartTokens = random_.next();
  server.limit = std::max(1.0, kInitialLimit / settings_.gatewayCount);
}

// Nothing that was learned of it holds any more.
void ServerPool::renew(Server& server, Time now) {
  Server anew;
  anew.inFlight = server.inFlight;
  anew.listed = server.listed;
  server = anew;
  begin(server, now);
}

}  // namespace lilacmux::decision
