// Request rates by service, summed over all processes that report them. The sums are updated with each
// report, so its cost depends on the services that it names and not on the number of reporters. A state
// machine without a clock. Times are ms, rates are per second. Header only.
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
  using Rates = std::map<std::string, double>;  // requests per second, by service

  // Replaces the previous report of this reporter.
  void report(Millis now, const std::string& reporter, const Rates& rates) {
    Report& report = reports_[reporter];
    addToSums(report.rates, -1);
    report.rates = rates;
    addToSums(report.rates, +1);
    byAge_.erase({report.reportedAt, reporter});
    report.reportedAt = now;
    byAge_.insert({now, reporter});
    dropExpired(now);
  }
  // Returns the sums for all services that were ever reported; 0 for a service without recent requests.
  const Rates& rates() const { return sums_; }

 private:
  static constexpr Millis kReportLifetime = 1500;

  struct Report {
    Millis reportedAt = 0;
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
  std::set<std::pair<Millis, std::string>> byAge_;  // the same reports, the oldest first
  Rates sums_;
};

}  // namespace lilacmux
