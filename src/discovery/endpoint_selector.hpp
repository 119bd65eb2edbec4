// Selects the endpoint that a follower tries next.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "settings/settings.hpp"

namespace lilacmux {

// Tries endpoints in passes, in this order: the preferred relays, the endpoints that have responded before,
// the newest known members of the core, the seeds of the settings, and an older view of the core. Each
// endpoint is tried once in a pass; one that becomes known during a pass is tried in the same pass.
//
// Seeds are never dropped. A stale or wrong hint costs one attempt and never hides another endpoint. A state
// machine without sockets or a clock; not thread-safe.
class EndpointSelector {
 public:
  explicit EndpointSelector(std::vector<Endpoint> seeds) : seeds_(std::move(seeds)) {}

  // Replaces the seeds (after a reload of the settings).
  void setSeeds(std::vector<Endpoint> seeds) { seeds_ = std::move(seeds); }

  // Sets the members of the core in `epoch`. Members of an epoch older than the newest known one are tried
  // last. An empty list is ignored.
  void setCore(std::uint64_t epoch, std::vector<Endpoint> members);

  // Sets the preferred endpoints, best first. Returns false if that changes nothing or the list is empty.
  bool setPreferred(std::vector<Endpoint> preferred);
  const std::vector<Endpoint>& preferred() const { return preferred_; }

  // Records a valid response. The next pass begins at the preferred endpoints again.
  void markResponsive(const Endpoint& endpoint);

  // Records that `endpoint` was tried in this pass, even if `next` did not select it.
  void markTried(const Endpoint& endpoint) { tried_.insert(endpoint); }

  // Returns the next endpoint to try and marks it as tried; nothing if no endpoint is known.
  std::optional<Endpoint> next();

  // Returns all known endpoints without duplicates, in the order of a pass.
  std::vector<Endpoint> endpoints() const;

 private:
  std::vector<Endpoint> seeds_;
  std::vector<Endpoint> preferred_;
  std::vector<Endpoint> responsive_;  // most recent first
  std::vector<Endpoint> core_;        // members in coreEpoch_
  std::vector<Endpoint> olderCore_;
  std::uint64_t coreEpoch_ = 0;
  std::set<Endpoint> tried_;  // in this pass
};

}  // namespace lilacmux
