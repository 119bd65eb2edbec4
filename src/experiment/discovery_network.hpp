// The clock, the event queue and the network of a discovery run.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

#include "experiment/discovery_host.hpp"
#include "experiment/random.hpp"

namespace lilacmux {

// Events at the same time run in the order in which they were scheduled. All delays are drawn from one seeded
// generator, so a run is the same again with the same seed.
class DiscoveryNetwork {
 public:
  using Hosts = std::vector<std::unique_ptr<DiscoveryHost>>;

  explicit DiscoveryNetwork(SeededRandom& random) : random_(random) {}

  Millis now() const { return now_; }

  DiscoveryHost& addHost(const NodeId& address);
  const Hosts& hosts() const { return hosts_; }
  // Null if there is no such machine.
  DiscoveryHost* find(const NodeId& address) const;

  // Runs `action` after a delay.
  void schedule(Millis delay, std::function<void()> action);
  // The same, unless the process on `host` has ended by then.
  void scheduleAt(DiscoveryHost& host, Millis delay, std::function<void()> action);

  void run(Millis duration);
  // Runs events until `done` holds (looked at every 50 ms or so) or the time is over.
  void runUntil(const std::function<bool()>& done, Millis timeout);

  // Cuts the host off from all others; one way: others still reach it.
  void partition(const DiscoveryHost& host, bool isOneWay);
  void heal(const DiscoveryHost& host);
  void healAll() { partitions_.clear(); }

  // Delivers a message, unless either end is unreachable or the process is down.
  void post(const DiscoveryHost& from, const NodeId& to, std::function<void(DiscoveryHost&)> deliver);

  // Sends a request and passes on its response. Nothing is passed on at once if the machine is up but its
  // process is down, and after a time-out if the machine cannot be reached.
  template <class Response>
  void call(DiscoveryHost& from, const NodeId& to, std::function<Response(DiscoveryHost&)> handler,
            std::function<void(std::optional<Response>)> done);

 private:
  struct Event {
    Millis at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {  // the earliest is at the top of the queue
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  static constexpr Millis kCallTimeout = 700;

  // One way, in ms.
  Millis drawLatency() { return 1 + random_.below(4); }
  bool reaches(const DiscoveryHost& from, const DiscoveryHost& to) const;
  // The control process at `to` if it can be reached, else null.
  DiscoveryHost* findReachable(const DiscoveryHost& from, const NodeId& to) const;

  SeededRandom& random_;
  Hosts hosts_;
  std::priority_queue<Event> events_;
  std::uint64_t scheduledEvents_ = 0;
  std::set<std::pair<NodeId, NodeId>> partitions_;  // from, to
  Millis now_ = 0;
};

template <class Response>
void DiscoveryNetwork::call(DiscoveryHost& from, const NodeId& to,
                            std::function<Response(DiscoveryHost&)> handler,
                            std::function<void(std::optional<Response>)> done) {
  const Millis latency = drawLatency();
  DiscoveryHost* server = findReachable(from, to);
  if (!server) {
    scheduleAt(from, kCallTimeout, [done = std::move(done)] { done(std::nullopt); });
    return;
  }
  scheduleAt(from, latency,
             [this, &from, server, latency, handler = std::move(handler), done = std::move(done)] {
               std::optional<Response> response;
               if (server->isUp) response = handler(*server);
               const bool comesBack = reaches(*server, from);
               scheduleAt(from, comesBack ? latency : kCallTimeout,
                          [done, response = std::move(response), comesBack]() mutable {
                            done(comesBack ? std::move(response) : std::nullopt);
                          });
             });
}

}  // namespace lilacmux
