// Outlier detection: the health of servers, judged by their responses.
#pragma once

#include <map>

#include "decision/latency_model.hpp"
#include "decision/server.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// Ejects servers with consecutive failures, and detects slow and unresponsive servers.
class OutlierDetector {
 public:
  // `latency` must outlive the detector.
  explicit OutlierDetector(const LatencyModel& latency) : latency_(latency) {}

  // Whether the server should be used only if there is no other: it is ejected, on trial after an ejection,
  // or unresponsive.
  bool isAvoided(const Server& server, Time now) const;
  // Returns the server's latency as a multiple of the baseline latency of the requests that it was sent.
  double latencyRatio(const Server& server) const;

  void noteLatency(Server& server, Time now, double ratio);
  void noteSuccess(Server& server);
  // Returns true if the failure has ejected the server.
  bool noteFailure(Server& server, Time now);

  template <class Archive>
  void exchangeState(Archive& archive) {
    archive(randomFailureShare_);
  }

 private:
  bool isUnresponsive(const Server& server, Time now) const;
  void noteHealthyAttempt(double failed);

  const LatencyModel& latency_;
  std::map<unsigned, double> latencyRatioByKind_;  // mean latency ratio by kind of server
  double randomFailureShare_ = 0;                  // share of attempts that fail at healthy servers
};

}  // namespace lilacmux::decision
