// Searches the states of the model (model_rules.hpp) breadth first, so that the first trace found is a
// shortest one. Exit code 0: the result is as expected (`expect=holds`, the default, `expect=bounded` or
// `expect=breaks`); 1: it is not; 2: bad arguments.
//
//   core_search members=5 losses=2 terms=3 steps=1 changes=1 mutant=none seconds=30 threads=2
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "model_rules.hpp"

namespace model {
namespace {

using Clock = std::chrono::steady_clock;

struct Options {
  Bounds bounds;
  std::string mutant = "none";
  std::string expected = "holds";
  unsigned checksElectability = 1;  // 0: does not check whether a primary can be elected
  unsigned seconds = 30;
  unsigned threads = 2;
  unsigned bits = 24;  // binary logarithm of the number of slots for visited states
};

const std::map<std::string, Mutant> kMutants = {
    {"none", Mutant::none},
    {"old-quorum-suffices", Mutant::oldQuorumSuffices},
    {"new-quorum-suffices", Mutant::newQuorumSuffices},
    {"own-record-quorum", Mutant::ownRecordQuorum},
    {"state-not-compared", Mutant::stateNotCompared},
    {"empty-disk-votes", Mutant::emptyDiskVotes},
    {"backup-ignores-vote", Mutant::backupIgnoresVote},
    {"single-record-change", Mutant::singleRecordChange},
    {"disk-loss-not-reported", Mutant::diskLossNotReported},
    {"previous-is-newest-record", Mutant::previousIsNewestRecord},
    {"previous-is-own-data", Mutant::previousIsOwnData},
    {"backup-change-skips-check", Mutant::backupChangeSkipsCheck},
    {"stale-heartbeat", Mutant::staleHeartbeat},
    {"observer-does-not-vote", Mutant::observerDoesNotVote},
    {"undecided-dropped", Mutant::undecidedDropped},
    {"unresponsive-not-lost", Mutant::unresponsiveNotLost},
};

// The visited states by their 64-bit hash, each with the hash of the state that it was first reached from.
class VisitedStates {
 public:
  explicit VisitedStates(unsigned bits)
      : size_(std::size_t{1} << bits),
        hashes_(std::make_unique<std::atomic<std::uint64_t>[]>(size_)),
        parents_(std::make_unique<std::uint64_t[]>(size_)) {}

  bool add(std::uint64_t hash, std::uint64_t parent) {
    for (std::size_t slot = hash & (size_ - 1);; slot = (slot + 1) & (size_ - 1)) {
      std::uint64_t stored = hashes_[slot].load(std::memory_order_relaxed);
      if (stored == hash) return false;
      if (stored != 0) continue;
      if (hashes_[slot].compare_exchange_strong(stored, hash)) {
        parents_[slot] = parent;
        count_.fetch_add(1, std::memory_order_relaxed);
        return true;
      }
      if (stored == hash) return false;
    }
  }
  std::uint64_t parentOf(std::uint64_t hash) const {
    for (std::size_t slot = hash & (size_ - 1); hashes_[slot] != 0; slot = (slot + 1) & (size_ - 1))
      if (hashes_[slot] == hash) return parents_[slot];
    return 0;
  }
  std::size_t count() const { return count_; }
  bool isFull() const { return count_ > size_ / 10 * 8; }

 private:
  const std::size_t size_;
  const std::unique_ptr<std::atomic<std::uint64_t>[]> hashes_;
  const std::unique_ptr<std::uint64_t[]> parents_;
  std::atomic<std::size_t> count_ = 0;
};

// A sequence of encoded states.
struct Frontier {
  std::vector<std::uint8_t> bytes;
  std::vector<std::size_t> starts;

  void add(const std::vector<std::uint8_t>& encoded) {
    starts.push_back(bytes.size());
    bytes.insert(bytes.end(), encoded.begin(), encoded.end());
  }
  State stateAt(std::size_t index, unsigned nodes) const {
    const std::size_t end = index + 1 < starts.size() ? starts[index + 1] : bytes.size();
    return decode(bytes.data() + starts[index], end - starts[index], nodes);
  }
};

struct Violation {
  State from;
  Action action;
  std::string rule;
};

class Search {
 public:
  explicit Search(const Options& options)
      : options_(options),
        nodes_(options.bounds.nodes()),
        rules_(options.bounds, kMutants.at(options.mutant)),
        visited_(options.bits),
        end_(Clock::now() + std::chrono::seconds(options.seconds)) {}

  // Returns false if the result is not the expected one.
  bool run() {
    const auto began = Clock::now();
    std::vector<Frontier> level(1);
    addInitial(level[0]);
    while (!violation_ && !stopped_ && !isEmpty(level)) {
      level = nextLevel(level);
      ++depth_;
    }
    const double took = std::chrono::duration<double>(Clock::now() - began).count();
    const char* const end = violation_ ? "violation found" : stopped_ ? "stopped" : "exhausted";
    std::printf("%s at depth %u: %zu states, %.1f s\n", end, depth_, visited_.count(), took);
    if (violation_) printTrace();
    if (options_.expected == "breaks") return violation_.has_value();
    return !violation_ && (!stopped_ || options_.expected == "bounded");
  }

 private:
  static bool isEmpty(const std::vector<Frontier>& level) {
    for (const Frontier& part : level)
      if (!part.starts.empty()) return false;
    return true;
  }

  State canonical(const State& state) const {
    return permuted(state, canonicalIndexes(state, nodes_), nodes_);
  }

  void addInitial(Frontier& frontier) {
    std::vector<std::uint8_t> encoded;
    encode(canonical(rules_.initial()), nodes_, encoded);
    visited_.add(hashOf(encoded), 0);
    frontier.add(encoded);
  }

  std::vector<Frontier> nextLevel(const std::vector<Frontier>& level) {
    std::vector<Frontier> next(options_.threads);
    std::vector<std::thread> threads;
    std::vector<std::atomic<std::size_t>> taken(level.size());
    for (Frontier& part : next)
      threads.emplace_back([&] {
        for (std::size_t from = 0; from < level.size(); ++from) expand(level[from], taken[from], part);
      });
    for (std::thread& thread : threads) thread.join();
    return next;
  }

  void expand(const Frontier& from, std::atomic<std::size_t>& taken, Frontier& to) {
    constexpr std::size_t kBatch = 64;
    std::vector<std::uint8_t> encoded;
    while (!stopped_ && !found_) {
      const std::size_t begin = taken.fetch_add(kBatch);
      if (begin >= from.starts.size()) return;
      for (std::size_t i = begin; i < std::min(begin + kBatch, from.starts.size()); ++i)
        expandOne(from.stateAt(i, nodes_), encoded, to);
      if (visited_.isFull() || Clock::now() > end_) stopped_ = true;
    }
  }

  void expandOne(const State& state, std::vector<std::uint8_t>& encoded, Frontier& to) {
    encode(state, nodes_, encoded);
    const std::uint64_t parent = hashOf(encoded);
    rules_.successors(state, [&](const State& next, const Action& action, const char* violation) {
      if (violation) return recordViolation({state, action, violation});
      encode(canonical(next), nodes_, encoded);
      if (!visited_.add(hashOf(encoded), parent)) return;
      to.add(encoded);
      if (options_.checksElectability && !rules_.isAlwaysElectable(next))
        recordViolation({state, action, "the remaining members cannot elect a primary"});
    });
  }

  void recordViolation(Violation violation) {
    const std::lock_guard lock(mutex_);
    found_ = true;
    if (!violation_) violation_ = std::move(violation);
  }

  // Replays and prints the trace to the violation. Nodes keep the indexes that they have in the first state.
  void printTrace() const {
    std::vector<std::uint8_t> encoded;
    encode(violation_->from, nodes_, encoded);
    std::vector<std::uint64_t> path;
    for (std::uint64_t hash = hashOf(encoded); hash != 0; hash = visited_.parentOf(hash))
      path.push_back(hash);

    State state = rules_.initial();
    NodeIndexes indexes = canonicalIndexes(state, nodes_);
    state = permuted(state, indexes, nodes_);
    NodeIndexes originals{};
    for (unsigned i = 0; i < nodes_; ++i) originals[indexes[i]] = static_cast<std::uint8_t>(i);
    for (std::size_t step = path.size() - 1; step-- > 0;) {
      std::optional<State> found;
      rules_.successors(state, [&](const State& next, const Action& action, const char*) {
        if (found) return;
        encode(canonical(next), nodes_, encoded);
        if (hashOf(encoded) != path[step]) return;
        std::printf("  %s\n", describe(action, originals).c_str());
        indexes = canonicalIndexes(next, nodes_);
        found = canonical(next);
      });
      if (!found) return (void)std::printf("  (the trace cannot be replayed)\n");
      state = *found;
      const NodeIndexes before = originals;
      for (unsigned i = 0; i < nodes_; ++i) originals[indexes[i]] = before[i];
    }
    std::printf("  %s: %s\n", describe(violation_->action, originals).c_str(), violation_->rule.c_str());
  }

  const Options options_;
  const unsigned nodes_;
  const Rules rules_;
  VisitedStates visited_;
  const Clock::time_point end_;
  unsigned depth_ = 0;
  std::atomic<bool> stopped_ = false;  // out of time or of slots
  std::atomic<bool> found_ = false;
  std::mutex mutex_;
  std::optional<Violation> violation_;
};

std::optional<Options> parse(int count, char** arguments) {
  Options out;
  const std::map<std::string, unsigned*> numbers = {
      {"members", &out.bounds.members},
      {"spares", &out.bounds.spares},
      {"losses", &out.bounds.losses},
      {"terms", &out.bounds.terms},
      {"steps", &out.bounds.steps},
      {"changes", &out.bounds.changes},
      {"disk-losses", &out.bounds.diskLosses},
      {"unwon-votes", &out.bounds.unwonVotes},
      {"seconds", &out.seconds},
      {"threads", &out.threads},
      {"bits", &out.bits},
      {"electability", &out.checksElectability},
      {"established", &out.bounds.startsEstablished},
      {"backup-changes", &out.bounds.backupChanges},
      {"replacements", &out.bounds.replacements},
  };
  for (int i = 1; i < count; ++i) {
    const std::string argument = arguments[i];
    const std::size_t equals = argument.find('=');
    if (equals == std::string::npos) return std::nullopt;
    const std::string name = argument.substr(0, equals), value = argument.substr(equals + 1);
    if (const auto number = numbers.find(name); number != numbers.end())
      *number->second = static_cast<unsigned>(std::atoi(value.c_str()));
    else if (name == "mutant" && kMutants.contains(value))
      out.mutant = value;
    else if (name == "expect" && (value == "holds" || value == "bounded" || value == "breaks"))
      out.expected = value;
    else
      return std::nullopt;
  }
  if (out.bounds.nodes() > kMaxNodes || out.bounds.terms >= kMaxTerms || out.bounds.steps >= kSteps ||
      out.bounds.changes > 3)
    return std::nullopt;
  return out;
}

}  // namespace
}  // namespace model

int main(int count, char** arguments) {
  const auto options = model::parse(count, arguments);
  if (!options) return std::fprintf(stderr, "core_search NAME=VALUE...: see core_search.cpp\n"), 2;
  return model::Search(*options).run() ? 0 : 1;
}
