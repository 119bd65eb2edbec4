// Processor time and memory that a piece of work takes in this process, for the experiments. Processor time
// is that of the process alone, so a busy machine changes it little. Linux only: it reads and resets figures
// in /proc/self.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace lilacmux {

// Processor time of this process since its start, in ms.
double processorMs();

// Bytes that are allocated from the heap now, with the allocator's own overhead.
std::size_t allocatedBytes();

// Resident memory now; 0 where the kernel does not report it.
std::size_t residentBytes();
// The most resident memory since the last call of `resetPeakBytes`; 0 where the kernel does not report it.
std::size_t peakBytes();
// Returns freed memory to the system, too, so that earlier work does not count.
void resetPeakBytes();

// The median of the processor times of `runs` runs, in ms. `runs` is 1 or more.
template <class Work>
double medianProcessorMs(unsigned runs, Work work) {
  std::vector<double> times;
  for (unsigned run = 0; run < runs; ++run) {
    const double from = processorMs();
    work();
    times.push_back(processorMs() - from);
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

// Adds the processor time of its scope to `total`.
class ProcessorCharge {
 public:
  explicit ProcessorCharge(double& totalMs) : totalMs_(totalMs), from_(processorMs()) {}
  ~ProcessorCharge() { totalMs_ += processorMs() - from_; }
  ProcessorCharge(const ProcessorCharge&) = delete;
  ProcessorCharge& operator=(const ProcessorCharge&) = delete;

 private:
  double& totalMs_;
  const double from_;
};

}  // namespace lilacmux
