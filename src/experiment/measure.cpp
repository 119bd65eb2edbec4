#include "experiment/measure.hpp"

#include <malloc.h>

#include <ctime>
#include <fstream>
#include <string>

namespace lilacmux {
namespace {

constexpr std::size_t kKilobyte = 1024;

// A line such as `VmHWM:  1234 kB`; 0: there is none.
std::size_t statusBytes(const std::string& field) {
  std::ifstream status("/proc/self/status");
  std::string line;
  while (std::getline(status, line))
    if (line.starts_with(field + ":")) return std::stoull(line.substr(field.size() + 1)) * kKilobyte;
  return 0;
}

}  // namespace

double processorMs() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

std::size_t allocatedBytes() {
  const auto heap = mallinfo2();
  return heap.uordblks + heap.hblkhd;
}

std::size_t peakBytes() { return statusBytes("VmHWM"); }
std::size_t residentBytes() { return statusBytes("VmRSS"); }

void resetPeakBytes() {
  malloc_trim(0);
  std::ofstream("/proc/self/clear_refs") << "5";
}

}  // namespace lilacmux
