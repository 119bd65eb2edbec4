// Figures that are measured at several sizes, and the exponent by which each grows.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace lilacmux {

struct CapacityPoint {
  double size = 0;
  double value = 0;
};

// One figure at several sizes.
struct CapacitySeries {
  std::string subject;  // what is measured
  std::string unit;     // of `CapacityPoint::value`
  std::string size;     // what `CapacityPoint::size` counts
  std::vector<CapacityPoint> points;

  // The slope of the logarithms by least squares: 1 is linear. 0 where fewer than two points are above 0.
  double exponent() const;
};

// Gathers figures, each in the series of its subject.
class CapacityRecorder {
 public:
  void add(const std::string& subject, const std::string& unit, const std::string& sizeName, double size,
           double value);
  // All series, in the order in which their first figures came.
  std::vector<CapacitySeries> take() { return std::move(all_); }

 private:
  std::vector<CapacitySeries> all_;
};

// A table in Markdown.
std::string asTable(const std::vector<CapacitySeries>& all);

}  // namespace lilacmux
