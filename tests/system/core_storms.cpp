// Plays storms over the core, and shrinks the first that fails.
//   core_storms SECONDS [FIRST SEED] [--threads N]     for so long
//   core_storms count N [FIRST SEED] [--threads N]     so many
//   core_storms seed SEED                              one again; if it fails, all that was stored and said
// --all: goes on after a failure, and tells of each in a line. --brief: stops at the first, and only tells of
// it in a line. Exit code 1: one has failed.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <limits>
#include <string>
#include <thread>
#include <vector>

#include "core_storm.hpp"

namespace {

using namespace lilacmux::test;
using Clock = std::chrono::steady_clock;

constexpr std::uint64_t kNone = std::numeric_limits<std::uint64_t>::max();
constexpr int kUsage = 2;

struct Settings {
  std::uint64_t first = 0, count = kNone;  // seeds
  Clock::time_point until = Clock::time_point::max();
  unsigned threads = 1;
  bool all = false;    // not only up to the first that fails
  bool brief = false;  // that first one is not shrunk
};

// Plays seeds in their order, shared out to threads; gives the lowest that fails, or kNone.
class Player {
 public:
  explicit Player(const Settings& settings) : settings_(settings) {}
  std::uint64_t run() {
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < settings_.threads; ++i) threads.emplace_back([this] { work(); });
    for (std::thread& thread : threads) thread.join();
    return failed_;
  }
  std::uint64_t played() const { return played_; }
  std::uint64_t failures() const { return failures_; }

 private:
  void work() {
    while ((failed_ == kNone || settings_.all) && Clock::now() < settings_.until) {
      const std::uint64_t place = next_++;
      if (place >= settings_.count) return;
      const std::uint64_t seed = settings_.first + place;
      const auto failures = StormPlay(drawStorm(seed)).run();
      if (!failures.empty()) fails(seed, failures.front());
      ++played_;
    }
  }
  void fails(std::uint64_t seed, const std::string& why) {
    if (settings_.all || settings_.brief)
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), why.c_str());
    ++failures_;
    std::uint64_t lowest = failed_;
    while (seed < lowest && !failed_.compare_exchange_weak(lowest, seed)) {
    }
  }

  const Settings settings_;
  std::atomic<std::uint64_t> next_{0}, played_{0}, failures_{0}, failed_{kNone};
};

void printFailure(std::uint64_t seed, bool traced) {
  const Storm storm = drawStorm(seed);
  const auto failures = StormPlay(storm).run();
  std::printf("seed %llu fails:\n", static_cast<unsigned long long>(seed));
  for (const std::string& failure : failures) std::printf("  %s\n", failure.c_str());
  const Storm least = shrink(storm);
  std::printf("it needs (%zu members; messages lost %.2f, late %.2f, twice %.2f; drift of clocks %.2f):\n",
              least.members, least.loss, least.late, least.twice, least.drift);
  for (const Trouble& trouble : least.troubles) std::printf("  %s\n", describe(trouble).c_str());
  StormPlay again(least);
  if (traced) again.trace([](const std::string& line) { std::printf("%s\n", line.c_str()); });
  for (const std::string& failure : again.run()) std::printf("shrunk: %s\n", failure.c_str());
}

int replay(std::uint64_t seed) {
  if (StormPlay(drawStorm(seed)).run().empty()) return 0;
  printFailure(seed, true);
  return 1;
}

std::uint64_t numberOf(const std::string& word) { return std::strtoull(word.c_str(), nullptr, 10); }

}  // namespace

int main(int count, char** arguments) {
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);  // a failure is told of at once
  std::vector<std::string> words(arguments + 1, arguments + count);
  Settings settings;
  const auto flag = std::find(words.begin(), words.end(), "--threads");
  if (flag != words.end() && flag + 1 != words.end()) {
    settings.threads = std::max(1u, static_cast<unsigned>(numberOf(*(flag + 1))));
    words.erase(flag, flag + 2);
  }
  settings.all = std::erase(words, "--all") > 0;
  settings.brief = std::erase(words, "--brief") > 0;
  if (words.size() == 2 && words[0] == "seed") return replay(numberOf(words[1]));
  const bool byCount = words.size() > 1 && words[0] == "count";
  if (byCount) words.erase(words.begin());
  if (words.empty() || words.size() > 2) {
    std::fprintf(stderr,
                 "core_storms SECONDS | count N [FIRST SEED] [--threads N] | core_storms seed SEED\n");
    return kUsage;
  }
  const auto started = Clock::now();
  if (byCount)
    settings.count = numberOf(words[0]);
  else
    settings.until = started + std::chrono::seconds(numberOf(words[0]));
  if (words.size() == 2) settings.first = numberOf(words[1]);

  Player player(settings);
  const std::uint64_t failed = player.run();
  const double seconds = std::chrono::duration<double>(Clock::now() - started).count();
  std::printf("%llu storms from seed %llu on, %.0f a second, %llu failed\n",
              static_cast<unsigned long long>(player.played()),
              static_cast<unsigned long long>(settings.first), static_cast<double>(player.played()) / seconds,
              static_cast<unsigned long long>(player.failures()));
  if (failed == kNone) return 0;
  if (!settings.brief) printFailure(failed, false);
  return 1;
}
