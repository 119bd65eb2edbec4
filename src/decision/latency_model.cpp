#include "decision/latency_model.hpp"

#include <algorithm>
#include <cmath>

#include "decision/decay.hpp"

namespace lilacmux::decision {
namespace {

// Ms, the longest time for which one response counts in an average.
constexpr Time kMaxSampleDuration = 1000;
// Assumed baseline latency of a class before its first response, as a share of its latency target.
constexpr double kAssumedLatencyShare = 0.2;
// Ms, time constant of a baseline latency.
constexpr Time kLatencyTau = 20000;
// The number of request sizes, in units, with a baseline of their own. With more, rare sizes lack samples.
constexpr double kMaxSizeCount = 16;

}  // namespace

LatencyModel::LatencyModel(const EngineSettings& settings, Time now) : settings_(settings) {
  byClass_.resize(settings_.classes.size(), {0, now});
  bySize_.resize(settings_.classes.size() * sizeCount(), {0, now});
}

void LatencyModel::Average::addSample(Time now, Time elapsed) {
  mean = mean > 0 ? decayToward(mean, elapsed, std::min(kMaxSampleDuration, now - at), kLatencyTau) : elapsed;
  at = now;
}

Time LatencyModel::baseline(unsigned classIndex) const {
  return byClass_[classIndex].mean > 0 ? byClass_[classIndex].mean
                                       : settings_.classes[classIndex].latencyTarget * kAssumedLatencyShare;
}

std::size_t LatencyModel::sizeCount() const {
  return static_cast<std::size_t>(std::clamp(settings_.maxUnits, 1.0, kMaxSizeCount));
}

std::size_t LatencyModel::sizeIndex(double units) const {
  return static_cast<std::size_t>(std::clamp(std::round(units), 1.0, static_cast<double>(sizeCount())));
}

// Returns the baseline latency of a request of this many units. Units measure work, so a long request is not
// a slow one. A size without responses is scaled from the next smaller size with responses, or else from the
// next larger one.
Time LatencyModel::baseline(unsigned classIndex, double units) const {
  const std::size_t size = sizeIndex(units);
  const auto scaled = [&](std::size_t known) {
    return bySize_[indexOf(classIndex, known)].mean * static_cast<double>(size) / static_cast<double>(known);
  };
  for (std::size_t known = size; known >= 1; --known)
    if (bySize_[indexOf(classIndex, known)].mean > 0) return scaled(known);
  for (std::size_t known = size + 1; known <= sizeCount(); ++known)
    if (bySize_[indexOf(classIndex, known)].mean > 0) return scaled(known);
  return baseline(classIndex);
}

Time LatencyModel::longest() const {
  Time longestMean = 0;
  for (const Average& average : byClass_) longestMean = std::max(longestMean, average.mean);
  return longestMean;
}

void LatencyModel::addSample(unsigned classIndex, double units, Time now, Time elapsed) {
  byClass_[classIndex].addSample(now, elapsed);
  bySize_[indexOf(classIndex, sizeIndex(units))].addSample(now, elapsed);
}

}  // namespace lilacmux::decision
