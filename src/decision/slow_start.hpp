// Slow start: limits the rate of requests to servers that have just started, and raises it as they warm up.
#pragma once

#include "decision/server_pool.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// Computes how far a server has warmed up, and paces the attempts at a server that is warming up.
class SlowStart {
 public:
  // Both arguments must outlive the object.
  SlowStart(const EngineSettings& settings, const ServerPool& pool) : settings_(settings), pool_(pool) {}

  // Returns the lower bound of the server's capacity as a share of its full capacity; 1 for a warm server.
  double capacityShare(const Server& server, Time now) const;
  // Whether slow start allows an attempt at the server now.
  bool hasRoom(Server& server, Time now) const;
  static void noteSent(Server& server) { server.slowStartTokens -= 1; }
  // Records a successful attempt at the server.
  void noteSuccess(const Server& server, Time now);

  template <class Archive>
  void exchangeState(Archive& archive) {
    archive(warmSuccessRate_, warmSuccessRateAt_, warmServerCount_);
  }

 private:
  const EngineSettings& settings_;
  const ServerPool& pool_;
  double warmSuccessRate_ = 0;  // successful attempts per ms at all warm servers, as of warmSuccessRateAt_
  Time warmSuccessRateAt_ = 0;
  unsigned warmServerCount_ = 0;
};

}  // namespace lilacmux::decision
