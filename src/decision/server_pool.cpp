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
      initialize(*server, now);
    } else if (entry.startedAt != server->listed.startedAt) {  // restarted: its learned state is void
      reset(*server, now);
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
  if (Server* server = find(id)) reset(*server, now);
}

// The previous process's attempts in flight are load whose end this process does not see.
void ServerPool::adopt(Server previous, Time now) {
  Server* current = find(previous.listed.id);
  if (!current || current->listed.startedAt != previous.listed.startedAt) return;
  previous.listed = current->listed;
  previous.othersInFlight = previous.inFlight;
  previous.othersAt = now;
  previous.inFlight = current->inFlight;
  *current = previous;
}

Server* ServerPool::find(ServerId id) {
  for (Server& server : servers_)
    if (server.listed.id == id) return &server;
  return nullptr;
}

// A suspended server is treated as draining, whatever its listed phase.
bool ServerPool::isSuspended(const Server& server) const {
  return !suspended_.empty() && suspended_.contains(server.listed.id);
}

bool ServerPool::inUse(const Server& server) const {
  return server.listed.phase == ServerPhase::ready && !isSuspended(server);
}

// A server is usually restarted while it is suspended. Until the list reports that start, the end of the
// suspension counts as the start.
Time ServerPool::warmUpStart(const Server& server) const {
  if (resumed_.empty()) return server.listed.startedAt;
  const auto found = resumed_.find(server.listed.id);
  if (found == resumed_.end() || server.listed.startedAt >= found->second.suspended)
    return server.listed.startedAt;
  return found->second.resumed;
}

// The slow-start tokens begin with a random fraction, to avoid synchronized sends of all gateways.
void ServerPool::initialize(Server& server, Time now) {
  server.latencyAt = server.othersAt = server.slowStartAt = now;
  server.slowStartTokens = random_.next();
  server.limit = std::max(1.0, kInitialLimit / settings_.gatewayCount);
}

// Resets the learned state, but keeps the list entry and the attempts in flight.
void ServerPool::reset(Server& server, Time now) {
  Server fresh;
  fresh.inFlight = server.inFlight;
  fresh.listed = server.listed;
  server = fresh;
  initialize(server, now);
}

}  // namespace lilacmux::decision
