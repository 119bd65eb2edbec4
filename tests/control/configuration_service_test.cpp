// The queue of configuration changes, over a core of one member and a core of three.
#include "control/configuration_service.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "configuration_body.hpp"

namespace lilacmux::test {
namespace {

class ConfigurationServiceTest : public testing::Test, private ReplicaHost {
 protected:
  void SetUp() override {
    for (; !replica.canPropose(now) && now < 5000; now += 50) replica.tick(now);
    ASSERT_TRUE(replica.canPropose(now));
  }
  void replace(const std::string& bytes, std::uint64_t base) {
    service.submit(now, replica, {bytes, base},
                   [this](const ChangeResult& result) { results.push_back(result.outcome); });
  }

  Millis now = 0;
  bool diskFails = false;
  std::vector<ChangeOutcome> results;
  ConfigurationService service;
  Replica replica{"a", {"a"}, true, std::nullopt, timing(), 0, *this};

 private:
  static Replica::Timing timing() {
    Replica::Timing out;
    out.toleratedLosses = 0;
    return out;
  }
  void send(const NodeId&, const MemberMessage&) override {}
  bool store(const DurableState&) override { return !diskFails; }
  void onCommitted(const ReplicatedState&) override { service.onCommitted(); }
  void onPrimacyLost() override { service.onPrimacyLost(); }
  void log(const std::string&) override {}
};

TEST_F(ConfigurationServiceTest, AcknowledgesCommittedChangesAndIsUnavailableOnceTheDiskFails) {
  replace(configurationBody(2), 0);
  replace(configurationBody(3), 0);
  diskFails = true;
  replace(configurationBody(4), 2);  // may be on the disk or not
  replace(configurationBody(4), 2);
  EXPECT_EQ(results, (std::vector{ChangeOutcome::acknowledged, ChangeOutcome::conflict,
                                  ChangeOutcome::unavailable, ChangeOutcome::notPrimary}));
}

// Three members, of which two never answer once the first change is on its way.
TEST(ConfigurationService, ExpiresQueuedChangesAfterASecondAndNeverRejectsAProposal) {
  struct Host : ReplicaHost {
    void send(const NodeId& to, const MemberMessage& message) override { sent.emplace_back(to, message); }
    bool store(const DurableState&) override { return true; }
    void onCommitted(const ReplicatedState&) override { service.onCommitted(); }
    void onPrimacyLost() override { service.onPrimacyLost(); }
    void log(const std::string&) override {}
    std::vector<std::pair<NodeId, MemberMessage>> sent;
    ConfigurationService service;
  };
  const std::vector<NodeId> names{"a", "b", "c"};
  std::map<NodeId, Host> hosts;
  std::map<NodeId, std::unique_ptr<Replica>> replicas;
  for (const NodeId& name : names)
    replicas[name] =
        std::make_unique<Replica>(name, names, true, std::nullopt, Replica::Timing{}, 0, hosts[name]);
  bool backupsReachable = true;
  Millis now = 0;
  const auto step = [&] {
    now += 10;
    for (const NodeId& name : names) {
      replicas[name]->tick(now);
      hosts[name].service.processQueue(now, *replicas[name]);
    }
    for (const NodeId& from : names)
      for (const auto& [to, message] : std::exchange(hosts[from].sent, {}))
        if (backupsReachable || message.kind != MemberMessage::Kind::replicate)
          replicas[to]->receive(now, message);
  };
  const auto runFor = [&](Millis duration) {
    const Millis end = now + duration;
    while (now < end) step();
  };
  const auto primary = [&] {
    return *std::find_if(names.begin(), names.end(),
                         [&](const NodeId& name) { return replicas[name]->canPropose(now); });
  };
  while (std::none_of(names.begin(), names.end(),
                      [&](const NodeId& name) { return replicas[name]->canPropose(now); }))
    step();
  const NodeId leader = primary();
  backupsReachable = false;
  std::vector<std::pair<std::string, ChangeOutcome>> results;
  const auto replace = [&](const std::string& bytes) {
    hosts[leader].service.submit(now, *replicas[leader], {bytes, 0}, [&, bytes](const ChangeResult& result) {
      results.emplace_back(bytes, result.outcome);
    });
  };
  replace(configurationBody(1, "proposed"));
  replace(configurationBody(1, "queued"));
  runFor(900);
  EXPECT_TRUE(results.empty());
  runFor(200);
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0], std::pair(configurationBody(1, "queued"), ChangeOutcome::unavailable));
  hosts[leader].sent.clear();
  replicas[leader]->resign();
  ASSERT_EQ(results.size(), 2u);
  EXPECT_EQ(results[1], std::pair(configurationBody(1, "proposed"), ChangeOutcome::unavailable));
}

}  // namespace
}  // namespace lilacmux::test
