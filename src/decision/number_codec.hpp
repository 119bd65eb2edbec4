// Serialization of learned state as a sequence of plain numbers.
#pragma once

#include <cmath>
#include <limits>
#include <vector>

namespace lilacmux {

// Appends values to a sequence of numbers. A type's exchangeState function serves both NumberWriter and
// NumberReader.
class NumberWriter {
 public:
  template <class... T>
  void operator()(T&... values) {
    (out.push_back(static_cast<double>(values)), ...);
  }
  std::vector<double> out;
};

// Reads values from a sequence of numbers that must hold as many as are requested. A number outside the range
// of its variable's type is read as 0.
class NumberReader {
 public:
  explicit NumberReader(const double* begin) : next_(begin) {}
  template <class... T>
  void operator()(T&... values) {
    (read(values), ...);
  }

 private:
  template <class T>
  void read(T& value) {
    using Range = std::numeric_limits<T>;
    const double number = *next_++;
    const double lowest = static_cast<double>(Range::lowest());
    const bool fits = number >= lowest && (Range::is_integer ? number < std::ldexp(1.0, Range::digits)
                                                             : number <= static_cast<double>(Range::max()));
    value = fits ? static_cast<T>(number) : T{};
  }
  const double* next_;
};

}  // namespace lilacmux
