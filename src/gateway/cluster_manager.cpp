#include "gateway/cluster_manager.hpp"

#include <set>

#include "net/steady.hpp"
#include "settings/settings.hpp"

namespace lilacmux {
namespace {

constexpr std::size_t kAssumedGateways = 8;  // until the control plane has said how many there are

}  // namespace

ClusterManager::ClusterManager(std::string zone, const Instances& instances, const OwnerDirectory& owners,
                               UpstreamConnectionPool& pool, ClusterHost& host, const RandomSequence& random,
                               Log log)
    : zone_(std::move(zone)),
      instances_(instances),
      owners_(owners),
      pool_(pool),
      host_(host),
      random_(random),
      log_(std::move(log)) {}

void ClusterManager::update(const FollowerState::Update& update) {
  std::set<std::string> changed;  // services
  for (const Instance& instance : update.removed) {
    changed.insert(instance.service);
    pool_.retire(serverIdOf(instance.id));
  }
  for (const Instance& instance : update.updated) {
    changed.insert(instance.service);
    add(instance);
  }
  for (const std::string& service : changed) updateCluster(service);
}

void ClusterManager::add(const Instance& instance) {
  const ServerId server = serverIdOf(instance.id);
  instanceIds_[server] = instance.id;
  if (instance.draining) return pool_.retire(server);
  try {
    pool_.place(server, {parseAddress(instance.address, "address"), 0});
  } catch (const SettingsError&) {
    log_("a server's address cannot be read: " + instance.address);
  }
}

std::shared_ptr<Cluster> ClusterManager::clusterFor(const std::string& service, unsigned requestClass,
                                                    bool isSharded) {
  auto& cluster = clusters_[service];
  if (cluster && cluster->hasClass(requestClass) && cluster->isSharded() == isSharded) return cluster;
  const std::size_t gateways = gatewayCount_ > 0 ? gatewayCount_ : kAssumedGateways;
  const std::uint64_t salt = random_.state() ^ serverIdOf(service);
  KeyRouter::FindOwner owner;
  if (isSharded) owner = [this, service](Key key) { return findOwner(service, key); };
  cluster = std::make_shared<Cluster>(zone_, classes_, gateways, salt, steadyMs(), host_, std::move(owner));
  updateCluster(service);
  return cluster;
}

// A draining server is sent nothing more, though it holds the key until it is released.
std::optional<ServerId> ClusterManager::findOwner(const std::string& service, Key key) const {
  const std::string* const owner = owners_.ownerOf(service, key);
  if (!owner) return std::nullopt;
  const auto instance = instances_.find(*owner);
  if (instance == instances_.end() || instance->second.draining) return std::nullopt;
  return serverIdOf(*owner);
}

void ClusterManager::updateCluster(const std::string& service) {
  const auto cluster = clusters_.find(service);
  if (cluster == clusters_.end()) return;
  std::vector<Instance> list;
  for (const auto& [id, instance] : instances_)
    if (instance.service == service) list.push_back(instance);
  cluster->second->setServers(steadyMs(), list);
}

}  // namespace lilacmux
