// Many discovery runs on several threads, and their summary.
#include <algorithm>
#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "experiment/discovery.hpp"

namespace lilacmux {
namespace {

constexpr std::size_t kMaxFailedSeeds = 20;

}  // namespace

DiscoverySummary runDiscoveries(const DiscoveryPlan& plan, std::uint64_t count, unsigned threads) {
  DiscoverySummary out;
  std::mutex mutex;  // guards out and sumMs
  std::atomic<std::uint64_t> next = 0;
  double sumMs = 0;
  const auto work = [&] {
    for (std::uint64_t i = next++; i < count; i = next++) {
      DiscoveryPlan runPlan = plan;
      runPlan.seed = plan.seed + i;
      const DiscoveryRun run = runDiscovery(runPlan);
      const std::lock_guard<std::mutex> lock(mutex);
      ++out.runs;
      if (!run.violations.empty() && out.failedSeeds.size() < kMaxFailedSeeds)
        out.failedSeeds.push_back(run.seed);
      if (!run.connected) continue;
      ++out.connected;
      sumMs += run.convergenceMs;
      out.longestMs = std::max(out.longestMs, run.convergenceMs);
    }
  };
  std::vector<std::thread> workers;
  for (unsigned i = 0; i < threads; ++i) workers.emplace_back(work);
  for (std::thread& worker : workers) worker.join();
  std::sort(out.failedSeeds.begin(), out.failedSeeds.end());
  out.meanMs = out.connected > 0 ? sumMs / static_cast<double>(out.connected) : 0;
  return out;
}

// The keys are read by scripts: they must not change.
std::string asJson(const DiscoveryPlan& plan, const DiscoverySummary& summary) {
  const nlohmann::json out = {{"seed", plan.seed},
                              {"plays", summary.runs},
                              {"connected", summary.connected},
                              {"failed", summary.failedSeeds},
                              {"longest_ms", summary.longestMs},
                              {"mean_ms", summary.meanMs}};
  return out.dump();
}

}  // namespace lilacmux
