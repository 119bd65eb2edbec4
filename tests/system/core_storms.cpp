// Plays storms over the core for as long as it is told, and shrinks the first that fails.
//   core_storms SECONDS [FIRST SEED]     exit code 1: one has failed
//   core_storms seed SEED                one storm again; if it fails, all that was kept and said
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "core_storm.hpp"

namespace {

using namespace lilacmux::test;

void print(const Storm& storm) {
  for (const Trouble& trouble : storm.troubles) std::printf("  %s\n", describe(trouble).c_str());
}

bool holds(std::uint64_t seed, bool tell) {
  const Storm storm = drawStorm(seed);
  const auto failures = StormPlay(storm).run();
  if (failures.empty()) return true;
  const Storm least = shrink(storm);
  std::printf("seed %llu fails:\n", static_cast<unsigned long long>(seed));
  for (const std::string& failure : failures) std::printf("  %s\n", failure.c_str());
  std::printf("it needs (%.2f of the messages lost):\n", storm.loss);
  print(least);
  if (!tell) return false;
  StormPlay again(least);
  again.trace([](const std::string& line) { std::printf("%s\n", line.c_str()); });
  again.run();
  return false;
}

}  // namespace

int main(int count, char** words) {
  if (count == 3 && std::strcmp(words[1], "seed") == 0)
    return holds(std::strtoull(words[2], nullptr, 10), true) ? 0 : 1;
  if (count < 2 || count > 3) {
    std::fprintf(stderr, "core_storms SECONDS [FIRST SEED] | core_storms seed SEED\n");
    return 2;
  }
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(std::atoi(words[1]));
  const std::uint64_t first = count > 2 ? std::strtoull(words[2], nullptr, 10) : 0;
  std::uint64_t seed = first;
  for (; std::chrono::steady_clock::now() < until; ++seed)
    if (!holds(seed, false)) return 1;
  std::printf("%llu storms, none failed\n", static_cast<unsigned long long>(seed - first));
  return 0;
}
