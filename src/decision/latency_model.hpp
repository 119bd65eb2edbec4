// How long attempts usually take.
#pragma once

#include <cstddef>
#include <vector>

#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// The usual latency of good answers by class, and in a class by the units of the request. All times in ms.
class LatencyModel {
 public:
  // `settings` must outlive the model.
  LatencyModel(const EngineSettings& settings, Time now);

  // Of a class, whatever the units; a share of its latency target until it has had an answer.
  Time usual(unsigned classIndex) const;
  // Of a class's requests of so many units.
  Time usual(unsigned classIndex, double units) const;
  // The longest usual latency of all classes; 0: no answer yet.
  Time longest() const;
  // A good answer took so long.
  void note(unsigned classIndex, double units, Time now, Time elapsed);

  template <class Archive>
  void exchangeState(Archive& archive) {
    for (Average& average : byClass_) archive(average.mean, average.at);
    for (Average& average : bySize_) archive(average.mean, average.at);
  }

 private:
  // A latency, fading by time; mean 0: no answer yet.
  struct Average {
    Time mean = 0, at = 0;
    void note(Time now, Time elapsed);
  };

  std::size_t sizes() const;
  std::size_t sizeOf(double units) const;
  std::size_t indexOf(unsigned classIndex, std::size_t size) const { return classIndex * sizes() + size - 1; }

  const EngineSettings& settings_;
  std::vector<Average> byClass_;
  std::vector<Average> bySize_;  // of each class and size in it, at indexOf
};

}  // namespace lilacmux::decision
