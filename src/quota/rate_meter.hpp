// Event rates by name: exponentially weighted moving averages with a time constant of one second. Times are
// ms, rates are per second. Header only.
#pragma once

#include <cmath>
#include <map>
#include <string>

namespace lilacmux {

constexpr double kMinRateSpan = 200;  // ms; a rate measured over a shorter span is mostly noise

// Returns the average after `count` more events within `span` ms, given the previous average `rate`.
inline double smoothedRate(double rate, double count, double span) {
  constexpr double kTimeConstant = 1000;  // ms; with a shorter one, a single request looks like a high rate
  return rate + (1000 * count / span - rate) * (1 - std::exp(-span / kTimeConstant));
}

class RateMeter {
 public:
  void count(const std::string& name) { meters_[name].count += 1; }

  // Returns the current rates of all names that were ever counted. Updates the averages if at least
  // `kMinRateSpan` has passed since they were last updated.
  std::map<std::string, double> perSecond(double now) {
    std::map<std::string, double> out;
    const double span = now - countedFrom_;
    const bool isSpanOver = span >= kMinRateSpan;
    for (auto& [name, meter] : meters_) {
      if (isSpanOver) {
        meter.rate = smoothedRate(meter.rate, meter.count, span);
        meter.count = 0;
      }
      out[name] = meter.rate;
    }
    if (isSpanOver) countedFrom_ = now;
    return out;
  }

 private:
  struct Meter {
    double count = 0;  // events since `countedFrom_`
    double rate = 0;
  };
  std::map<std::string, Meter> meters_;
  double countedFrom_ = 0;
};

}  // namespace lilacmux
