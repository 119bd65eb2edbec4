// Baseline latencies of attempts.
#pragma once

#include <cstddef>
#include <vector>

#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// Moving averages of the latency of successful attempts, by class and by the units of the request. All times
// in ms.
class LatencyModel {
 public:
  // `settings` must outlive the model.
  LatencyModel(const EngineSettings& settings, Time now);

  // Returns the baseline latency of a class over all request sizes; a share of its latency target before the
  // first response.
  Time baseline(unsigned classIndex) const;
  // Returns the baseline latency of a class's requests of this many units.
  Time baseline(unsigned classIndex, double units) const;
  // Returns the longest baseline latency of any class; 0 before the first response.
  Time longest() const;
  // Adds the latency of a successful attempt.
  void addSample(unsigned classIndex, double units, Time now, Time elapsed);

  template <class Archive>
  void exchangeState(Archive& archive) {
    for (Average& average : byClass_) archive(average.mean, average.at);
    for (Average& average : bySize_) archive(average.mean, average.at);
  }

 private:
  // A latency average that decays over time; mean 0: no response yet.
  struct Average {
    Time mean = 0, at = 0;
    void addSample(Time now, Time elapsed);
  };

  std::size_t sizeCount() const;
  std::size_t sizeIndex(double units) const;
  std::size_t indexOf(unsigned classIndex, std::size_t size) const {
    return classIndex * sizeCount() + size - 1;
  }

  const EngineSettings& settings_;
  std::vector<Average> byClass_;
  std::vector<Average> bySize_;  // by class and size, at indexOf
};

}  // namespace lilacmux::decision
