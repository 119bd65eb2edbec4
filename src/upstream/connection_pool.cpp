#include "upstream/connection_pool.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "upstream/connection.hpp"

namespace lilacmux {

UpstreamConnectionPool::UpstreamConnectionPool(asio::io_context& io, const Limits& limits,
                                               MemoryBudget& budget, RequestCounters& counters,
                                               const ResponseReader& reader, ResponseSink& sink, Ended ended)
    : io_(io),
      limits_(limits),
      budget_(budget),
      counters_(counters),
      reader_(reader),
      sink_(sink),
      ended_(std::move(ended)),
      maxConnections_(limits.total) {}

UpstreamConnectionPool::~UpstreamConnectionPool() {
  *alive_ = false;
  for (auto& [id, connection] : busy_) connection->close();
  for (auto& [id, server] : servers_)
    for (auto& connection : server.idle) connection->close();
}

void UpstreamConnectionPool::place(ServerId id, const Place& place) {
  Server& server = servers_[id];
  const bool restarted = place.startedAtMs > server.place.startedAtMs;
  if (restarted || place.address != server.place.address) closeIdle(server);
  server.place = place;
  if (restarted) endLost(id, place);
}

// The process that these attempts went to is no more, whether or not its machine has said so.
void UpstreamConnectionPool::endLost(ServerId id, const Place& place) {
  std::vector<Shared> lost;
  for (auto& [request, connection] : busy_)
    if (connection->server == id && connection->openedAtMs < place.startedAtMs) lost.push_back(connection);
  for (const Shared& connection : lost) {
    report(connection->stop(AttemptResult::reset));
    busy_.erase(connection->request());
    drop(*connection);
  }
}

void UpstreamConnectionPool::retire(ServerId id) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  closeIdle(found->second);
  servers_.erase(found);
}

void UpstreamConnectionPool::start(RequestId id, unsigned attempt, ServerId target, UpstreamRequest message,
                                   std::optional<std::chrono::steady_clock::duration> timeout) {
  const auto server = servers_.find(target);
  Shared connection;
  if (server != servers_.end()) connection = takeIdle(server->second, message.id);
  if (!connection && server != servers_.end() && makeRoom()) {
    connection = std::make_shared<Connection>(*this, target, server->second.place.address);
    ++connectionCount_;
  }
  if (!connection) {
    AttemptOutcome outcome;
    outcome.id = id;
    outcome.attemptIndex = attempt;
    outcome.server = target;
    // For want of room here the server is not to blame.
    outcome.result = server == servers_.end() ? AttemptResult::connectFailed : AttemptResult::abandoned;
    return report(outcome);
  }
  busy_[id] = connection;
  connection->begin(id, attempt, std::move(message), timeout);
}

void UpstreamConnectionPool::more(RequestId id) {
  const auto found = busy_.find(id);
  if (found == busy_.end()) return;
  const Shared connection = found->second;  // may end by this
  connection->more();
}

std::optional<AttemptEnd> UpstreamConnectionPool::giveUp(RequestId id, AttemptResult result) {
  const auto found = busy_.find(id);
  if (found == busy_.end()) return std::nullopt;
  const Shared connection = found->second;
  busy_.erase(found);
  AttemptEnd end;
  end.outcome = connection->stop(result);
  drop(*connection);
  return end;
}

// The most recent one that is sound. One on which this request was answered before is left to others: a late
// copy of that answer would bear the id of this attempt, too.
UpstreamConnectionPool::Shared UpstreamConnectionPool::takeIdle(Server& server, const std::string& id) {
  for (std::size_t left = server.idle.size(); left > 0; --left) {
    Shared connection = server.idle[left - 1];
    if (connection->mayRepeat(id)) continue;
    if (connection->isStale()) {
      drop(*connection);
      continue;
    }
    server.idle.erase(server.idle.begin() + static_cast<std::ptrdiff_t>(left - 1));
    return connection;
  }
  return nullptr;
}

// At the limit the connection that has stood idle longest at some server makes room.
bool UpstreamConnectionPool::makeRoom() {
  if (connectionCount_ < maxConnections_) return true;
  for (auto& [id, server] : servers_) {
    if (server.idle.empty()) continue;
    const Shared oldest = server.idle.front();
    drop(*oldest);
    return true;
  }
  return false;
}

// Reports an end from a handler of its own: the decision engine is never told anything from within one of its
// actions.
void UpstreamConnectionPool::report(AttemptOutcome outcome) {
  asio::post(io_, [this, alive = alive_, outcome = std::move(outcome)]() mutable {
    if (!*alive) return;
    AttemptEnd end;
    end.outcome = std::move(outcome);
    ended_(std::move(end));
  });
}

void UpstreamConnectionPool::finish(Connection& connection, AttemptEnd&& end) {
  const auto found = busy_.find(end.outcome.id);
  if (found != busy_.end() && found->second.get() == &connection) busy_.erase(found);
  ended_(std::move(end));
}

// Whether requests may go to where this connection leads.
bool UpstreamConnectionPool::leadsTo(const Connection& connection) const {
  const auto found = servers_.find(connection.server);
  return found != servers_.end() && found->second.place.address == connection.address;
}

void UpstreamConnectionPool::keep(const Shared& connection) {
  if (!leadsTo(*connection)) return drop(*connection);
  Server& server = servers_.at(connection->server);
  const bool wanted =
      server.place.startedAtMs <= connection->openedAtMs && server.idle.size() < limits_.idlePerServer;
  if (!wanted) return drop(*connection);
  server.idle.push_back(connection);
  connection->rest();
}

void UpstreamConnectionPool::drop(Connection& connection) {
  connection.close();
  --connectionCount_;
  const auto found = servers_.find(connection.server);
  if (found != servers_.end())
    std::erase_if(found->second.idle, [&](const Shared& other) { return other.get() == &connection; });
}

void UpstreamConnectionPool::closeIdle(ServerId id) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) closeIdle(found->second);
}

void UpstreamConnectionPool::closeIdle(Server& server) {
  const auto idle = std::move(server.idle);
  server.idle.clear();
  for (const Shared& connection : idle) drop(*connection);
}

}  // namespace lilacmux
