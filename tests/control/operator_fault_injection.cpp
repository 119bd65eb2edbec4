// Runs operators against a core with random fault injection and checks that what they observed is
// linearizable.
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

constexpr double kFaultsLastMs = 20000;  // in each run

struct Sum {
  std::mutex mutex;
  OperatorSimulation::Count count;
  void add(const OperatorSimulation::Count& one) {
    const std::lock_guard lock(mutex);
    count.acknowledged += one.acknowledged;
    count.refused += one.refused;
    count.unknown += one.unknown;
    count.repeats += one.repeats;
    count.reads += one.reads;
    count.committed += one.committed;
  }
};

}  // namespace

int main(int words, char** word) {
  if (words < 3 || words > 4) {
    std::fprintf(stderr, "operator_storms FIRST COUNT [JOBS]\n");
    return 2;
  }
  const std::uint64_t first = std::strtoull(word[1], nullptr, 10);
  const std::uint64_t end = first + std::strtoull(word[2], nullptr, 10);
  const int jobs = words > 3 ? std::atoi(word[3]) : 1;
  std::atomic<std::uint64_t> next = first;
  std::atomic<bool> failed = false;
  Sum sum;
  const auto work = [&] {
    for (std::uint64_t seed = next++; seed < end && !failed; seed = next++) {
      OperatorSimulation simulation(seed);
      simulation.simulate(kFaultsLastMs);
      sum.add(simulation.count());
      if (isLinearizable(simulation.history())) continue;
      std::printf("seed %llu: the history is not linearizable\n", static_cast<unsigned long long>(seed));
      failed = true;
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(std::max(jobs, 0)));
  for (int i = 0; i < jobs; ++i) threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();
  const auto& c = sum.count;
  std::printf("%s; changes: %zu acknowledged, %zu refused, %zu open; %zu repeats, %zu reads, %zu commits\n",
              failed ? "failed" : "none failed", c.acknowledged, c.refused, c.unknown, c.repeats, c.reads,
              c.committed);
  return failed ? 1 : 0;
}
