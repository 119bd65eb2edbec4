// Histories of operators' calls, and a check whether they are linearizable: whether each call can be assigned
// a linearization point between its start and its end, such that all calls in this order are valid on one
// compare-and-swap register.
//
// Uses the algorithm of Wing and Gong with Lowe's cache of search states that failed. It tries each order
// that real time allows, so it is sound and complete. Two rules keep the search short. A call that changes
// nothing is linearized as soon as it is valid, because that can only allow further calls. A change is valid
// only on its base revision, which is current only once because revisions rise.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace lilacmux::test {

constexpr double kNever = std::numeric_limits<double>::infinity();

struct Operation {
  enum class Kind {
    change,  // from the first request sent to the first definite response
    repeat,  // resubmission of a change that was acknowledged
    read
  };
  enum class Outcome { unknown, acknowledged, conflict, invalid };
  Kind kind = Kind::change;
  std::string body;  // identifies the change; of a read: the change that it returned, or empty
  std::uint64_t base = 0, revision = 0;  // of a change
  double invoked = 0, returned = kNever;
  Outcome outcome = Outcome::unknown;
};

class LinearizabilityCheck {
 public:
  // The bodies of different changes must differ.
  explicit LinearizabilityCheck(const std::vector<Operation>& history) {
    for (const Operation& operation : history)
      if (!hasNoEffect(operation)) operations_.push_back(operation);
  }
  bool isLinearizable() {
    SearchState start{std::vector<bool>(operations_.size(), false), kNoChange};
    return search(std::move(start));
  }

 private:
  using Kind = Operation::Kind;
  using Outcome = Operation::Outcome;
  static constexpr std::size_t kNoChange = std::numeric_limits<std::size_t>::max();
  struct SearchState {
    std::vector<bool> done;
    std::size_t current;  // index of the current change
    bool operator<(const SearchState& other) const {
      return std::tie(done, current) < std::tie(other.done, other.current);
    }
  };

  // Returns whether an operation can be left out: it had no response and cannot have changed anything.
  static bool hasNoEffect(const Operation& operation) {
    return operation.kind != Kind::change && operation.outcome == Outcome::unknown;
  }

  std::uint64_t currentRevision(const SearchState& state) const {
    return state.current == kNoChange ? 0 : operations_[state.current].revision;
  }
  bool wasAccepted(const SearchState& state, const std::string& body) const {
    for (std::size_t i = 0; i < operations_.size(); ++i)
      if (state.done[i] && mayHaveTakenEffect(operations_[i]) && operations_[i].body == body) return true;
    return false;
  }
  static bool mayHaveTakenEffect(const Operation& operation) {
    return operation.kind == Kind::change &&
           (operation.outcome == Outcome::unknown || operation.outcome == Outcome::acknowledged);
  }
  // Returns whether a call that changes nothing can be linearized in `state`.
  bool isValidNow(const SearchState& state, const Operation& operation) const {
    if (operation.kind == Kind::read)
      return operation.body == (state.current == kNoChange ? std::string() : operations_[state.current].body);
    if (operation.kind == Kind::repeat)
      return operation.outcome == Outcome::acknowledged && wasAccepted(state, operation.body);
    return operation.outcome == Outcome::invalid ||
           (operation.outcome == Outcome::conflict && currentRevision(state) != operation.base);
  }

  // Returns the earliest end of the operations that are not linearized yet. Operations that start later
  // cannot be linearized next.
  double earliestReturn(const SearchState& state) const {
    double out = kNever;
    for (std::size_t i = 0; i < operations_.size(); ++i)
      if (!state.done[i] && operations_[i].outcome != Outcome::unknown)
        out = std::min(out, operations_[i].returned);
    return out;
  }

  bool search(SearchState state) {
    double end = earliestReturn(state);
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      const Operation& operation = operations_[i];
      if (state.done[i] || mayHaveTakenEffect(operation) || operation.invoked > end ||
          !isValidNow(state, operation))
        continue;
      state.done[i] = true;
      end = earliestReturn(state);
      i = kNoChange;  // others may be valid now: restart from the first
    }
    if (end == kNever) return true;
    if (!failedStates_.insert(state).second) return false;
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      const Operation& operation = operations_[i];
      if (state.done[i] || !mayHaveTakenEffect(operation) || operation.invoked > end) continue;
      if (operation.base != currentRevision(state) || operation.revision <= operation.base) continue;
      SearchState next = state;
      next.done[i] = true;
      next.current = i;
      if (search(std::move(next))) return true;
    }
    return false;
  }

  std::vector<Operation> operations_;
  std::set<SearchState> failedStates_;
};

inline bool isLinearizable(const std::vector<Operation>& history) {
  return LinearizabilityCheck(history).isLinearizable();
}

}  // namespace lilacmux::test
