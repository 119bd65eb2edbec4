#include "gateway/cluster.hpp"

#include <xxhash.h>

#include <algorithm>

namespace lilacmux {
namespace {

constexpr double kCrossZonePrice = 0.1;  // higher: the servers of one zone fill up first
constexpr Time kMaxRetryAfter = 2000;    // ms
constexpr unsigned kMaxAttempts = 4;     // the route's own limit is applied by AttemptDispatcher
constexpr unsigned kOwnZone = 0, kOtherZone = 1;

EngineSettings engineSettings(const RequestClasses& classes, std::size_t gateways) {
  EngineSettings out;
  out.gatewayCount = static_cast<unsigned>(std::max<std::size_t>(1, gateways));
  out.zone = kOwnZone;
  out.classes = classes.settings();
  out.plans.emplace_back();  // one plan without limits: quotas are applied before a request comes here
  out.maxAttempts = kMaxAttempts;
  out.maxRetryAfter = kMaxRetryAfter;
  out.crossZonePrice = kCrossZonePrice;
  return out;
}

}  // namespace

ServerId serverIdOf(const std::string& instanceId) {
  return XXH3_64bits(instanceId.data(), instanceId.size());
}

Cluster::Cluster(std::string zone, const RequestClasses& classes, std::size_t gateways, std::uint64_t salt,
                 Time now, ClusterHost& host, KeyRouter::FindOwner findOwner)
    : zone_(std::move(zone)),
      classCount_(classes.settings().size()),
      host_(host),
      engine_(std::make_unique<DecisionEngine>(engineSettings(classes, gateways), salt, now,
                                               static_cast<EngineActions&>(*this))) {
  if (findOwner)
    router_.emplace(classes.settings(), std::move(findOwner), static_cast<EngineActions&>(*this));
}

void Cluster::handleRequest(Time now, const EngineRequest& request, std::optional<Key> key) {
  router_ ? router_->handleRequest(now, request, key) : engine_->handleRequest(now, request);
}

void Cluster::handleOutcome(Time now, const AttemptOutcome& outcome) {
  router_ ? router_->handleOutcome(now, outcome) : engine_->handleOutcome(now, outcome);
}

void Cluster::handleClientDisconnect(Time now, RequestId id) {
  router_ ? router_->handleClientDisconnect(id) : engine_->handleClientDisconnect(now, id);
}

void Cluster::handleTimer(Time now, std::uint64_t tag) {
  router_ ? router_->handleTimer(now, tag) : engine_->handleTimer(now, tag);
}

void Cluster::setServers(Time now, const std::vector<Instance>& instances) {
  std::vector<ListedServer> servers;
  for (const Instance& instance : instances) {
    ListedServer server;
    server.id = serverIdOf(instance.id);
    server.phase = instance.draining ? ServerPhase::draining : ServerPhase::ready;
    server.zone = instance.zone == zone_ ? kOwnZone : kOtherZone;
    servers.push_back(server);
  }
  engine_->updateServers(now, ListUpdateKind::full, servers);
}

}  // namespace lilacmux
