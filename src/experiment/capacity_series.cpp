#include "experiment/capacity_series.hpp"

#include <cmath>
#include <cstdio>

namespace lilacmux {
namespace {

std::string formatted(const char* format, double value) {
  char out[32];
  std::snprintf(out, sizeof out, format, value);
  return out;
}

std::string figureText(double value) { return formatted("%.4g", value); }
std::string exponentText(double value) { return formatted("%.2f", value); }

}  // namespace

double CapacitySeries::exponent() const {
  double n = 0, x = 0, y = 0, xx = 0, xy = 0;
  for (const CapacityPoint& point : points) {
    if (point.size <= 0 || point.value <= 0) continue;
    const double a = std::log(point.size), b = std::log(point.value);
    n += 1, x += a, y += b, xx += a * a, xy += a * b;
  }
  const double spread = n * xx - x * x;
  return n < 2 || spread <= 0 ? 0 : (n * xy - x * y) / spread;
}

void CapacityRecorder::add(const std::string& subject, const std::string& unit, const std::string& sizeName,
                           double size, double value) {
  for (CapacitySeries& series : all_)
    if (series.subject == subject) return series.points.push_back({size, value});
  all_.push_back({subject, unit, sizeName, {{size, value}}});
}

std::string asTable(const std::vector<CapacitySeries>& all) {
  std::string out = "| what | unit | by | size: figure | exponent |\n| --- | --- | --- | --- | --- |\n";
  for (const CapacitySeries& series : all) {
    out += "| " + series.subject + " | " + series.unit + " | " + series.size + " | ";
    for (std::size_t p = 0; p < series.points.size(); ++p) {
      const CapacityPoint& point = series.points[p];
      out += (p > 0 ? ", " : "") + figureText(point.size) + ": " + figureText(point.value);
    }
    out += " | " + exponentText(series.exponent()) + " |\n";
  }
  return out;
}

}  // namespace lilacmux
