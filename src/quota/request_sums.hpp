// Requests a second, by service, summed over the processes that report them. The sums are kept and not
// walked: a report costs by what it names. A state machine without a clock; times are ms. Header only.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace lilacmux {

class RequestRateSums {
 public:
  using Millis = double;
  using Rates = std::map<std::string, double>;  // requests a second, by service

  // Replaces what this reporter reported before.
  void report(Millis now, const std::string& reporter, const Rates& rates) {
    Report& report = reports_[reporter];
    addToSums(report.rates, -1);
    report.rates = rates;
    addToSums(report.rates, +1);
    byAge_.erase({report.at, reporter});
    report.at = now;
    byAge_.insert({now, reporter});
    dropExpired(now);
  }
  // Of all services that were ever reported; 0 where no more requests come.
  const Rates& rates() const { return sums_; }

 private:
  static constexpr Millis kReportLifetime = 1500;

  struct Report {
    Millis at = 0;
    Rates rates;
  };

  void addToSums(const Rates& rates, int sign) {
    for (const auto& [service, rate] : rates) sums_[service] = std::max(0.0, sums_[service] + sign * rate);
  }
  void dropExpired(Millis now) {
    while (!byAge_.empty() && now - byAge_.begin()->first > kReportLifetime) {
      const auto expired = reports_.find(byAge_.begin()->second);
      addToSums(expired->second.rates, -1);
      reports_.erase(expired);
      byAge_.erase(byAge_.begin());
    }
  }

  std::map<std::string, Report> reports_;           // by reporter
  std::set<std::pair<Millis, std::string>> byAge_;  // the same, the oldest first
  Rates sums_;
};

}  // namespace lilacmux
