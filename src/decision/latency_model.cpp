#include "decision/latency_model.hpp"

#include <algorithm>
#include <cmath>

#include "decision/decay.hpp"

namespace lilacmux::decision {
namespace {

// Ms that one answer stands for at most.
constexpr Time kMaxSampleSpan = 1000;
// Usual latency of a class without answers, as a share of its latency target.
constexpr double kInitialLatency = 0.2;
// Ms, time constant of a usual latency.
constexpr Time kLatencyTau = 20000;
// Request sizes, in units, told apart; more: those seldom seen stay guesses.
constexpr double kMaxSizes = 16;

}  // namespace

LatencyModel::LatencyModel(const EngineSettings& settings, Time now) : settings_(settings) {
  byClass_.resize(settings_.classes.size(), {0, now});
  bySize_.resize(settings_.classes.size() * sizes(), {0, now});
}

void LatencyModel::Average::note(Time now, Time elapsed) {
  mean = mean > 0 ? decayToward(mean, elapsed, std::min(kMaxSampleSpan, now - at), kLatencyTau) : elapsed;
  at = now;
}

Time LatencyModel::usual(unsigned classIndex) const {
  return byClass_[classIndex].mean > 0 ? byClass_[classIndex].mean
                                       : settings_.classes[classIndex].latencyTarget * kInitialLatency;
}

std::size_t LatencyModel::sizes() const {
  return static_cast<std::size_t>(std::clamp(settings_.maxUnits, 1.0, kMaxSizes));
}

std::size_t LatencyModel::sizeOf(double units) const {
  return static_cast<std::size_t>(std::clamp(std::round(units), 1.0, static_cast<double>(sizes())));
}

// What a request of so many units usually takes: its units tell its work, and a long one is not a slow one.
// A size not answered yet goes by the next smaller one, or else larger one, that has been.
Time LatencyModel::usual(unsigned classIndex, double units) const {
  const std::size_t size = sizeOf(units);
  const auto scaled = [&](std::size_t known) {
    return bySize_[indexOf(classIndex, known)].mean * static_cast<double>(size) / static_cast<double>(known);
  };
  for (std::size_t known = size; known >= 1; --known)
    if (bySize_[indexOf(classIndex, known)].mean > 0) return scaled(known);
  for (std::size_t known = size + 1; known <= sizes(); ++known)
    if (bySize_[indexOf(classIndex, known)].mean > 0) return scaled(known);
  return usual(classIndex);
}

Time LatencyModel::longest() const {
  Time most = 0;
  for (const Average& average : byClass_) most = std::max(most, average.mean);
  return most;
}

void LatencyModel::note(unsigned classIndex, double units, Time now, Time elapsed) {
  byClass_[classIndex].note(now, elapsed);
  bySize_[indexOf(classIndex, sizeOf(units))].note(now, elapsed);
}

}  // namespace lilacmux::decision
