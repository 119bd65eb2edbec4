// Fault-injection runs of operators against a simulated cluster of control nodes. Checks that the history
// that the operators observe in each run is linearizable.
//   operator_storms FIRST COUNT [JOBS]     exit code 1: the history of a seed is not linearizable
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>

#include "operator_simulation.hpp"

namespace {

using namespace lilacmux::test;

constexpr double kFaultDurationMs = 20000;  // per run

struct Totals {
  std::mutex mutex;
  OperatorSimulation::Counts counts;
  void add(const OperatorSimulation::Counts& run) {
    const std::lock_guard lock(mutex);
    counts.acknowledged += run.acknowledged;
    counts.rejected += run.rejected;
    counts.unknown += run.unknown;
    counts.repeats += run.repeats;
    counts.reads += run.reads;
    counts.committed += run.committed;
  }
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3 || argc > 4) {
    std::fprintf(stderr, "operator_storms FIRST COUNT [JOBS]\n");
    return 2;
  }
  const std::uint64_t first = std::strtoull(argv[1], nullptr, 10);
  const std::uint64_t end = first + std::strtoull(argv[2], nullptr, 10);
  const int jobs = argc > 3 ? std::atoi(argv[3]) : 1;
  std::atomic<std::uint64_t> nextSeed = first;
  std::atomic<bool> failed = false;
  Totals totals;
  const auto runSeeds = [&] {
    for (std::uint64_t seed = nextSeed++; seed < end && !failed; seed = nextSeed++) {
      OperatorSimulation simulation(seed);
      simulation.runWithFaults(kFaultDurationMs);
      totals.add(simulation.counts());
      if (isLinearizable(simulation.history())) continue;
      std::printf("seed %llu: the history is not linearizable\n", static_cast<unsigned long long>(seed));
      failed = true;
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(std::max(jobs, 0)));
  for (int i = 0; i < jobs; ++i) threads.emplace_back(runSeeds);
  for (std::thread& thread : threads) thread.join();
  const auto& counts = totals.counts;
  std::printf("%s; changes: %zu acknowledged, %zu refused, %zu open; %zu repeats, %zu reads, %zu commits\n",
              failed ? "failed" : "none failed", counts.acknowledged, counts.rejected, counts.unknown,
              counts.repeats, counts.reads, counts.committed);
  return failed ? 1 : 0;
}
