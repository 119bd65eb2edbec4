// The servers of one service and what chooses among them: the decision engine
// (include/lilacmux/decision_engine.hpp), which ejects outliers and retries what may be retried, or a
// KeyRouter if the service is sharded. Clusters are shared: one that has been replaced lives on until its
// last request has ended, since attempts and timers hold it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/change_log.hpp"
#include "gateway/key_router.hpp"
#include "gateway/request_classes.hpp"
#include "lilacmux/decision_engine.hpp"
#include "settings/configuration.hpp"

namespace lilacmux {

class Cluster;

// What clusters ask of their host, which must outlive them. The calls come from within the engine: a host
// must not call the cluster back before it has returned.
class ClusterHost {
 public:
  virtual ~ClusterHost() = default;
  // Sends an attempt; `timeout` in ms, 0: none but the request's own deadline.
  virtual void send(Cluster& cluster, RequestId id, ServerId server, Time timeout) = 0;
  // No server takes the request; `retryAfter`: advice to the client, ms.
  virtual void reject(RequestId id, Time retryAfter) = 0;
  // The request has failed and is not retried.
  virtual void fail(RequestId id) = 0;
  // Calls the engine's timer(tag) in `wait` ms.
  virtual void setTimer(Cluster& cluster, Time wait, std::uint64_t tag) = 0;
  virtual void log(const std::string& line) = 0;
};

// The engine's number of an instance: the same at every gateway.
ServerId serverIdOf(const std::string& instanceId);

// Not thread-safe: everything runs on the io_context thread.
class Cluster : public std::enable_shared_from_this<Cluster>, private EngineActions {
 public:
  // `gateways`: how many gateways share the servers. `salt` seeds the engine's random draws. `classes` is
  // read here alone: a class that is added later needs a new cluster. `findOwner`: set if the service is
  // sharded.
  Cluster(std::string zone, const RequestClasses& classes, std::size_t gateways, std::uint64_t salt, Time now,
          ClusterHost& host, KeyRouter::FindOwner findOwner = nullptr);

  // Whether the class was there when the cluster was built.
  bool hasClass(unsigned requestClass) const { return requestClass < classCount_; }
  // Replaces the list of the service's servers.
  void setServers(Time now, const std::vector<Instance>& instances);
  bool isSharded() const { return router_.has_value(); }

  // As in DecisionEngine; `key`: of a request to a sharded service.
  void handleRequest(Time now, const EngineRequest& request, std::optional<Key> key);
  void handleOutcome(Time now, const AttemptOutcome& outcome);
  void handleClientDisconnect(Time now, RequestId id);
  void handleTimer(Time now, std::uint64_t tag);
  PoolView poolView(Time now) const { return engine_->poolView(now); }

 private:
  void send(RequestId id, ServerId server, Time timeout) override { host_.send(*this, id, server, timeout); }
  void reject(RequestId id, Time retryAfter) override { host_.reject(id, retryAfter); }
  void fail(RequestId id) override { host_.fail(id); }
  void setTimer(Time wait, std::uint64_t tag) override { host_.setTimer(*this, wait, tag); }
  void subscribe() override {}
  void log(const std::string& line) override { host_.log(line); }

  const std::string zone_;
  const std::size_t classCount_;
  ClusterHost& host_;
  std::unique_ptr<DecisionEngine> engine_;
  std::optional<KeyRouter> router_;
};

}  // namespace lilacmux
