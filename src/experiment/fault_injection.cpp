#include "experiment/fault_injection.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <thread>

#include "experiment/fault_run.hpp"

namespace lilacmux {
namespace {

using Clock = std::chrono::steady_clock;

double secondsSince(Clock::time_point started) {
  return std::chrono::duration<double>(Clock::now() - started).count();
}

// Hands the seeds to the threads in order.
class Runner {
 public:
  Runner(const FaultInjectionPlan& plan, const std::function<void(const FaultInjectionFailure&)>& onFailure)
      : plan_(plan), onFailure_(onFailure) {}

  FaultInjectionSummary run() {
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < plan_.threads; ++i) threads.emplace_back([this] { work(); });
    for (std::thread& thread : threads) thread.join();
    summary_.runs = runs_;
    summary_.digest = digest_;
    summary_.perSecond = static_cast<double>(summary_.runs) / secondsSince(started_);
    std::sort(summary_.failures.begin(), summary_.failures.end(),
              [](const auto& a, const auto& b) { return a.seed < b.seed; });
    return summary_;
  }

 private:
  void work() {
    while ((!failed_ || plan_.all) && secondsSince(started_) < plan_.seconds) {
      const std::uint64_t index = next_++;
      if (index >= plan_.count) return;
      const std::uint64_t seed = plan_.seed + index;
      const FaultRunResult result = runFaultSchedule(drawFaultSchedule(seed));
      ++runs_;
      digest_ += result.digest;
      if (!result.failures.empty()) recordFailure({seed, result.failures.front()});
    }
  }
  void recordFailure(const FaultInjectionFailure& failure) {
    failed_ = true;
    const std::lock_guard<std::mutex> lock(guard_);
    summary_.failures.push_back(failure);
    if (onFailure_) onFailure_(failure);
  }

  const FaultInjectionPlan plan_;
  const std::function<void(const FaultInjectionFailure&)>& onFailure_;
  const Clock::time_point started_ = Clock::now();
  std::atomic<std::uint64_t> next_{0}, runs_{0}, digest_{0};
  std::atomic<bool> failed_{false};
  std::mutex guard_;
  FaultInjectionSummary summary_;
};

std::string conditionsOf(const FaultSchedule& schedule) {
  char text[160];
  std::snprintf(text, sizeof text,
                "it needs (%zu members; messages lost %.2f, late %.2f, twice %.2f; drift of clocks %.2f):",
                schedule.members, schedule.messageLoss, schedule.messageDelay, schedule.messageDuplication,
                schedule.clockDrift);
  return text;
}

}  // namespace

FaultInjectionSummary runFaultInjection(const FaultInjectionPlan& plan,
                                        const std::function<void(const FaultInjectionFailure&)>& onFailure) {
  return Runner(plan, onFailure).run();
}

std::vector<std::string> explainFaultRun(std::uint64_t seed) {
  const FaultSchedule schedule = drawFaultSchedule(seed);
  std::vector<std::string> out = runFaultSchedule(schedule).failures;
  if (out.empty()) return out;
  const FaultSchedule least = shrink(schedule);
  out.push_back(conditionsOf(least));
  for (const Fault& fault : least.faults) out.push_back("  " + describe(fault));
  const FaultRunResult again = runFaultSchedule(least, [&](const std::string& line) { out.push_back(line); });
  for (const std::string& failure : again.failures) out.push_back("shrunk: " + failure);
  return out;
}

}  // namespace lilacmux
