// Sends requests for keys to the servers that own them, for one sharded service. It takes the place of the
// decision engine there, because only one server can serve a key. A request whose key has no known owner, or
// whose owner does not hold the key at the moment, waits a short time for the directory to change and is then
// rejected with an advice when to come back. A state machine without a clock and sockets; times are ms.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/request_classes.hpp"
#include "lilacmux/decision_engine.hpp"
#include "ownership/key_range.hpp"

namespace lilacmux {

class KeyRouter {
 public:
  // Returns the server that owns a key, if there is one that requests may be sent to.
  using FindOwner = std::function<std::optional<ServerId>(Key)>;

  // `classes`: settings by class index, as in `EngineRequest`. `actions` must outlive the router.
  KeyRouter(std::vector<ClassSettings> classes, FindOwner findOwner, EngineActions& actions);

  // `key`: absent if the request has none, or none that can be read; no server holds it then.
  void handleRequest(Time now, const EngineRequest& request, std::optional<Key> key);
  void handleOutcome(Time now, const AttemptOutcome& outcome);
  void handleClientDisconnect(RequestId id) { requests_.erase(id); }
  void handleTimer(Time now, std::uint64_t tag);
  std::size_t pendingRequestCount() const { return requests_.size(); }

 private:
  struct PendingRequest {
    Key key = 0;
    unsigned classIndex = 0;
    Time expiresAt = 0;
    Time waitsUntil = 0;  // for an owner
    bool isInFlight = false;
    bool mayHaveRun = false;
    std::uint64_t timer = 0;  // the tag of its current timer
  };

  void sendToOwner(Time now, RequestId id, PendingRequest& request);
  void wait(RequestId id, PendingRequest& request);
  void giveUp(RequestId id, const PendingRequest& request);
  void retry(Time now, RequestId id, PendingRequest& request);

  const std::vector<ClassSettings> classes_;
  const FindOwner findOwner_;
  EngineActions& actions_;
  std::unordered_map<RequestId, PendingRequest> requests_;
  std::unordered_map<std::uint64_t, RequestId> timers_;  // by tag
  std::uint64_t lastTimer_ = 0;
};

}  // namespace lilacmux
