// The decision on one change of the configuration.
#include "control/configuration_register.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <utility>

#include "configuration_body.hpp"

namespace lilacmux::test {
namespace {

// A register whose accepted changes are committed at once.
struct CommittingRegister {
  explicit CommittingRegister(std::size_t capacity = ConfigurationRegister::kDefaultCapacity)
      : rule(capacity) {}
  Verdict send(const std::string& bytes, std::uint64_t base) {
    Verdict out = rule.decide(state, {bytes, base});
    if (auto* accept = std::get_if<Accept>(&out)) state = accept->next;
    return out;
  }
  ConfigurationRegister rule;
  ReplicatedState state;
};
template <class T>
bool is(const Verdict& verdict) {
  return std::holds_alternative<T>(verdict);
}

TEST(ConfigurationRegister, AcceptsOneOfTwoChangesOfOneRevisionAndRecognisesItAgain) {
  CommittingRegister changes;
  ASSERT_TRUE(is<Accept>(changes.send(configurationBody(2, "a"), 0)));
  ASSERT_TRUE(is<Accept>(changes.send(configurationBody(5, "a"), 2)));
  EXPECT_TRUE(is<Conflict>(changes.send(configurationBody(5, "b"), 2)));
  EXPECT_TRUE(is<AlreadyAccepted>(changes.send(configurationBody(5, "a"), 2)));
  EXPECT_TRUE(is<AlreadyAccepted>(changes.send(configurationBody(2, "a"), 0)))
      << "also where it is no longer current";
  EXPECT_TRUE(is<Invalid>(changes.send(configurationBody(5, "c"), 5)));
  EXPECT_TRUE(is<Invalid>(changes.send("not a configuration", 5)));
  EXPECT_TRUE(is<OutcomeUnknown>(changes.send(configurationBody(9), 7))) << "revision 7 may still come";
}

TEST(ConfigurationRegister, NeverRejectsAnAcceptedChangeHoweverOld) {
  CommittingRegister changes;
  constexpr std::uint64_t kChanges = ConfigurationRegister::kDefaultCapacity + 300;
  for (std::uint64_t i = 1; i <= kChanges; ++i)
    ASSERT_TRUE(is<Accept>(changes.send(configurationBody(2 * i), 2 * i - 2)));
  EXPECT_EQ(changes.state.accepted.entries().size(), ConfigurationRegister::kDefaultCapacity);
  EXPECT_EQ(changes.state.accepted.compactedRevision(), 600u);
  for (std::uint64_t i = 1; i <= kChanges; ++i) {
    const Verdict verdict = changes.send(configurationBody(2 * i), 2 * i - 2);
    ASSERT_TRUE(i <= 300 ? is<OutcomeUnknown>(verdict) : is<AlreadyAccepted>(verdict)) << i;
  }
  EXPECT_TRUE(is<Conflict>(changes.send(configurationBody(601), 600))) << "above all that was forgotten";
  EXPECT_TRUE(is<Invalid>(changes.send(configurationBody(600), 600))) << "could not be accepted at any time";
}

// What is rejected once is rejected for ever, whatever is accepted in between.
TEST(ConfigurationRegister, ARejectionIsFinal) {
  std::mt19937_64 random(1);
  for (int round = 0; round < 200; ++round) {
    CommittingRegister changes(1 + random() % 4);
    std::map<std::pair<std::string, std::uint64_t>, bool> rejected;
    for (int i = 0; i < 60; ++i) {
      const std::uint64_t base = random() % 24;
      const std::string bytes = configurationBody(base + random() % 4, std::to_string(random() % 2));
      const Verdict verdict = changes.send(bytes, base);
      if (is<Conflict>(verdict) || is<Invalid>(verdict)) rejected[{bytes, base}] = true;
      if (is<Accept>(verdict)) {
        ASSERT_FALSE((rejected[{bytes, base}]));
      }
    }
  }
}

}  // namespace
}  // namespace lilacmux::test
