// The clusters of a gateway, one for each service that a request was routed to, and the connection pool's
// view of the servers. Follows the server list. Owns the current cluster of each service; one that has been
// replaced belongs to the requests that still use it. Runs on the io_context thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/follower_state.hpp"
#include "gateway/cluster.hpp"
#include "gateway/random_sequence.hpp"
#include "gateway/request_classes.hpp"
#include "ownership/owner_directory.hpp"
#include "upstream/connection_pool.hpp"

namespace lilacmux {

class ClusterManager {
 public:
  using Log = std::function<void(const std::string&)>;
  using Instances = std::map<std::string, Instance>;                 // by id
  using Clusters = std::map<std::string, std::shared_ptr<Cluster>>;  // by service

  // `instances`: the server list, which this reads whenever a cluster is built or updated. `owners`: of the
  // keys of sharded services, read for each request to one.
  ClusterManager(std::string zone, const Instances& instances, const OwnerDirectory& owners,
                 UpstreamConnectionPool& pool, ClusterHost& host, const RandomSequence& random, Log log);

  // The list has changed by these.
  void update(const FollowerState::Update& update);
  // How many gateways share the servers, for clusters that are built from now on.
  void setGatewayCount(std::size_t count) { gatewayCount_ = count; }

  unsigned classOf(const Route& route) { return classes_.classOf(route); }
  // The service's cluster; a new one where there is none that knows the class, or whether it is sharded has
  // changed.
  std::shared_ptr<Cluster> clusterFor(const std::string& service, unsigned requestClass, bool isSharded);
  // The instance's id as the platform spells it; empty where the server was never listed.
  const std::string& instanceId(ServerId server) { return instanceIds_[server]; }
  const Clusters& clusters() const { return clusters_; }

 private:
  void add(const Instance& instance);
  void updateCluster(const std::string& service);
  std::optional<ServerId> findOwner(const std::string& service, Key key) const;

  const std::string zone_;
  const Instances& instances_;
  const OwnerDirectory& owners_;
  UpstreamConnectionPool& pool_;
  ClusterHost& host_;
  const RandomSequence& random_;
  const Log log_;
  RequestClasses classes_;
  Clusters clusters_;
  std::unordered_map<ServerId, std::string> instanceIds_;
  std::size_t gatewayCount_ = 0;  // 0: not known yet
};

}  // namespace lilacmux
