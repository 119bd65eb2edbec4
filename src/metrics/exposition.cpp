#include "metrics/exposition.hpp"

#include <prometheus/text_serializer.h>

#include <algorithm>

namespace lilacmux {

prometheus::ClientMetric& Exposition::add(const std::string& name, const std::string& help,
                                          prometheus::MetricType type, const Labels& labels) {
  auto family =
      std::find_if(families_.begin(), families_.end(), [&](const auto& f) { return f.name == name; });
  if (family == families_.end()) family = families_.insert(family, {name, help, type, {}});
  prometheus::ClientMetric& metric = family->metric.emplace_back();
  for (const auto& [label, value] : labels) metric.label.push_back({label, value});
  return metric;
}

void Exposition::counter(const std::string& name, const std::string& help, double value,
                         const Labels& labels) {
  add(name, help, prometheus::MetricType::Counter, labels).counter.value = value;
}

void Exposition::gauge(const std::string& name, const std::string& help, double value, const Labels& labels) {
  add(name, help, prometheus::MetricType::Gauge, labels).gauge.value = value;
}

std::string Exposition::text() const { return prometheus::TextSerializer().Serialize(families_); }

}  // namespace lilacmux
