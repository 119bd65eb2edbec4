// The servers known to a gateway, from the server list and from operators.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "decision/random.hpp"
#include "decision/server.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// Holds the servers in the order of their listing. Pointers and references to servers stay valid until the
// next change of the list.
class ServerPool {
 public:
  // Both arguments must outlive the pool.
  ServerPool(const EngineSettings& settings, Random& random) : settings_(settings), random_(random) {}

  // Applies a server list or its changes; `kind` must not be `failed`. Draws a random number for each new
  // server.
  void update(Time now, ListUpdateKind kind, const std::vector<ListedServer>& list);
  // Removes servers that have left the list and have no attempt in flight.
  void eraseGone();
  // An operator excludes a server, or takes it back into use.
  void suspend(Time now, ServerId id);
  void resume(Time now, ServerId id);
  // Takes over a server's state from the previous process. Ignored if the server is not listed or has
  // restarted since.
  void adopt(Server previous, Time now);

  Server* find(ServerId id);
  std::vector<Server>& servers() { return servers_; }
  const std::vector<Server>& servers() const { return servers_; }
  std::size_t size() const { return servers_.size(); }

  bool isSuspended(const Server& server) const;
  // Whether requests may be sent to the server: listed as ready and not suspended.
  bool inUse(const Server& server) const;
  // Returns the start of the server's warm-up; 0: long ago, the server is warm.
  Time warmUpStart(const Server& server) const;

 private:
  struct Suspension {  // a suspension that has ended
    Time suspended = 0, resumed = 0;
  };

  void initialize(Server& server, Time now);
  void reset(Server& server, Time now);

  const EngineSettings& settings_;
  Random& random_;
  std::vector<Server> servers_;
  std::unordered_map<ServerId, Time> suspended_;  // by server: start of the suspension
  std::unordered_map<ServerId, Suspension> resumed_;
};

}  // namespace lilacmux::decision
