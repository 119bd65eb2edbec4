// How often something comes lately, by name: an average that forgets within a second or so. Times are ms.
#pragma once

#include <cmath>
#include <map>
#include <string>

namespace lilacmux {

class RateMeter {
 public:
  void count(const std::string& name) { meters_[name].came += 1; }

  // A second, by name, up to now; what came is counted up to the last call.
  std::map<std::string, double> perSecond(double now) {
    std::map<std::string, double> out;
    const double span = now - from_;
    for (auto& [name, meter] : meters_) {
      if (span >= kLeastSpan) {
        meter.perS += (1000 * meter.came / span - meter.perS) * (1 - std::exp(-span / kTau));
        meter.came = 0;
      }
      out[name] = meter.perS;
    }
    if (span >= kLeastSpan) from_ = now;
    return out;
  }

 private:
  static constexpr double kTau = 1000;       // shorter: one request looks like a crowd
  static constexpr double kLeastSpan = 200;  // that one look stands for
  struct Meter {
    double came = 0, perS = 0;
  };
  std::map<std::string, Meter> meters_;
  double from_ = 0;
};

}  // namespace lilacmux
