// Figures in the Prometheus text format, made when they are asked for: nothing is kept between two looks.
#pragma once

#include <prometheus/metric_family.h>

#include <string>
#include <utility>
#include <vector>

namespace lilacmux {

class Exposition {
 public:
  using Labels = std::vector<std::pair<std::string, std::string>>;

  // Each name's `help` once, with its first value. Counters only ever grow in one life of the process.
  void counter(const std::string& name, const std::string& help, double value, const Labels& labels = {});
  void gauge(const std::string& name, const std::string& help, double value, const Labels& labels = {});

  std::string text() const;
  static constexpr const char* kType = "text/plain; version=0.0.4";

 private:
  prometheus::ClientMetric& add(const std::string& name, const std::string& help, prometheus::MetricType type,
                                const Labels& labels);
  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace lilacmux
