// The linearizability check, on histories that must pass and on histories that must fail.
#include "operator_history.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace lilacmux::test {
namespace {

using Kind = Operation::Kind;
using Outcome = Operation::Outcome;

Operation change(const std::string& name, std::uint64_t base, std::uint64_t revision, double from, double to,
                 Outcome outcome) {
  return {Kind::change, name, base, revision, from, to, outcome};
}
Operation read(const std::string& found, double from, double to) {
  return {Kind::read, found, 0, 0, from, to, Outcome::acknowledged};
}
Operation repeat(const std::string& name, double from, double to, Outcome outcome) {
  return {Kind::repeat, name, 0, 0, from, to, outcome};
}

TEST(LinearizabilityCheck, PassesLinearizableHistories) {
  const Operation a = change("a", 0, 1, 0, 10, Outcome::acknowledged);
  EXPECT_TRUE(isLinearizable({a, read("", 0, 5), read("a", 6, 12)}));
  EXPECT_TRUE(isLinearizable({a, change("b", 0, 1, 2, 12, Outcome::conflict)}));
  EXPECT_TRUE(isLinearizable({a, change("b", 1, 2, 11, kNever, Outcome::unknown), read("a", 20, 21),
                              read("b", 30, 31), repeat("a", 40, 41, Outcome::acknowledged)}))
      << "a change without a response may take effect late";
  EXPECT_TRUE(isLinearizable({a, change("b", 1, 2, 11, kNever, Outcome::unknown),
                              change("c", 1, 2, 12, kNever, Outcome::unknown),
                              change("d", 2, 3, 13, 20, Outcome::acknowledged), read("d", 21, 22)}));
}

TEST(LinearizabilityCheck, FailsOtherHistories) {
  const Operation a = change("a", 0, 1, 0, 10, Outcome::acknowledged);
  const Operation b = change("b", 1, 2, 20, 30, Outcome::acknowledged);
  const std::map<std::string, std::vector<Operation>> invalidHistories{
      {"two changes acknowledged on one base revision", {a, change("c", 0, 1, 2, 12, Outcome::acknowledged)}},
      {"two changes with different revisions acknowledged on one base revision",
       {a, b, change("c", 1, 3, 20, 30, Outcome::acknowledged)}},
      {"an acknowledged change is lost", {a, read("", 11, 12)}},
      {"an acknowledged change is lost when another change takes effect",
       {a, b, read("c", 31, 32), change("c", 1, 3, 20, kNever, Outcome::unknown)}},
      {"a stale revision is read", {a, b, read("b", 21, 22), read("a", 23, 24)}},
      {"a rejected change is read", {a, change("c", 1, 2, 11, 12, Outcome::conflict), read("c", 13, 14)}},
      {"a change on the current revision is rejected", {a, change("c", 1, 2, 11, 12, Outcome::conflict)}},
      {"a change is accepted and its repeat is rejected", {a, repeat("a", 11, 12, Outcome::conflict)}},
      {"a change is rejected though a later one is based on it",
       {a, change("c", 1, 2, 11, 12, Outcome::conflict), change("d", 2, 3, 13, 14, Outcome::acknowledged)}},
      {"a change takes effect before it is submitted", {a, read("b", 11, 12), b}},
      {"a change is read that was never submitted", {a, read("x", 11, 12)}},
      {"a repeat is acknowledged though the change was never accepted",
       {a, change("c", 0, 1, 2, 9, Outcome::conflict), repeat("c", 11, 12, Outcome::acknowledged)}}};
  for (const auto& [violation, history] : invalidHistories)
    EXPECT_FALSE(isLinearizable(history)) << violation;
}

}  // namespace
}  // namespace lilacmux::test
