// The verdicts of the configuration register.
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
      : configurationRegister(capacity) {}
  Verdict submit(const std::string& bytes, std::uint64_t base) {
    Verdict verdict = configurationRegister.decide(state, {bytes, base});
    if (auto* accept = std::get_if<Accept>(&verdict)) state = accept->next;
    return verdict;
  }
  ConfigurationRegister configurationRegister;
  ReplicatedState state;
};
template <class T>
bool is(const Verdict& verdict) {
  return std::holds_alternative<T>(verdict);
}

TEST(ConfigurationRegister, AcceptsOneOfTwoChangesWithTheSameRevisionAndRecognisesRepeats) {
  CommittingRegister changes;
  ASSERT_TRUE(is<Accept>(changes.submit(configurationBody(2, "a"), 0)));
  ASSERT_TRUE(is<Accept>(changes.submit(configurationBody(5, "a"), 2)));
  EXPECT_TRUE(is<Conflict>(changes.submit(configurationBody(5, "b"), 2)));
  EXPECT_TRUE(is<AlreadyAccepted>(changes.submit(configurationBody(5, "a"), 2)));
  EXPECT_TRUE(is<AlreadyAccepted>(changes.submit(configurationBody(2, "a"), 0)))
      << "a repeat is recognised after the change is no longer current";
  EXPECT_TRUE(is<Invalid>(changes.submit(configurationBody(5, "c"), 5)));
  EXPECT_TRUE(is<Invalid>(changes.submit("not a configuration", 5)));
  EXPECT_TRUE(is<OutcomeUnknown>(changes.submit(configurationBody(9), 7)))
      << "revision 7 may still be committed";
}

TEST(ConfigurationRegister, NeverRejectsAnAcceptedChangeOfAnyAge) {
  CommittingRegister changes;
  constexpr std::uint64_t kChanges = ConfigurationRegister::kDefaultCapacity + 300;
  for (std::uint64_t i = 1; i <= kChanges; ++i)
    ASSERT_TRUE(is<Accept>(changes.submit(configurationBody(2 * i), 2 * i - 2)));
  EXPECT_EQ(changes.state.accepted.entries().size(), ConfigurationRegister::kDefaultCapacity);
  EXPECT_EQ(changes.state.accepted.compactedRevision(), 600u);
  for (std::uint64_t i = 1; i <= kChanges; ++i) {
    const Verdict verdict = changes.submit(configurationBody(2 * i), 2 * i - 2);
    ASSERT_TRUE(i <= 300 ? is<OutcomeUnknown>(verdict) : is<AlreadyAccepted>(verdict)) << i;
  }
  EXPECT_TRUE(is<Conflict>(changes.submit(configurationBody(601), 600)))
      << "revision is above all evicted ones";
  EXPECT_TRUE(is<Invalid>(changes.submit(configurationBody(600), 600)))
      << "invalid whatever revision is current";
}

// A change that has been rejected once is never accepted, whatever other changes are accepted in between.
TEST(ConfigurationRegister, RejectionsAreFinal) {
  std::mt19937_64 random(1);
  for (int trial = 0; trial < 200; ++trial) {
    CommittingRegister changes(1 + random() % 4);
    std::map<std::pair<std::string, std::uint64_t>, bool> rejected;
    for (int i = 0; i < 60; ++i) {
      const std::uint64_t base = random() % 24;
      const std::string bytes = configurationBody(base + random() % 4, std::to_string(random() % 2));
      const Verdict verdict = changes.submit(bytes, base);
      if (is<Conflict>(verdict) || is<Invalid>(verdict)) rejected[{bytes, base}] = true;
      if (is<Accept>(verdict)) {
        ASSERT_FALSE((rejected[{bytes, base}]));
      }
    }
  }
}

}  // namespace
}  // namespace lilacmux::test
