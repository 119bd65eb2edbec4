// The primary's role over a core of three replicas, whose messages the test delivers.
#include "control/primary_role.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>

namespace lilacmux {
namespace {

// Three replicas on one clock.
class Core {
 public:
  using OnCommitted = std::function<void(const NodeId&, const ReplicatedState&)>;

  explicit Core(OnCommitted onCommitted) : onCommitted_(std::move(onCommitted)) {
    const std::vector<NodeId> names = {"a:1", "b:1", "c:1"};
    for (const NodeId& name : names) hosts_[name] = std::make_unique<Host>(*this, name);
    for (const NodeId& name : names)
      replicas_[name] =
          std::make_unique<Replica>(name, names, true, std::nullopt, Replica::Timing(), now, *hosts_[name]);
  }
  // Lets time pass, and delivers messages unless they are held back.
  void run(Millis duration) {
    for (const Millis end = now + duration; now < end; now += kTick) {
      for (const auto& [name, replica] : replicas_) replica->tick(now);
      deliver();
    }
  }
  Replica* primary() {
    for (const auto& [name, replica] : replicas_)
      if (replica->canPropose(now)) return replica.get();
    return nullptr;
  }

  Millis now = 0;
  bool holdsBackStates = false;

 private:
  static constexpr Millis kTick = 50;

  class Host : public ReplicaHost {
   public:
    Host(Core& core, NodeId name) : core_(core), name_(std::move(name)) {}
    void send(const NodeId& to, const MemberMessage& message) override {
      core_.messages_.emplace_back(to, message);
    }
    bool store(const DurableState&) override { return true; }
    void onCommitted(const ReplicatedState& state) override { core_.onCommitted_(name_, state); }
    void onPrimacyLost() override {}
    void log(const std::string&) override {}

   private:
    Core& core_;
    const NodeId name_;
  };

  void deliver() {
    std::deque<std::pair<NodeId, MemberMessage>> held;
    while (!messages_.empty()) {
      const auto [to, message] = messages_.front();
      messages_.pop_front();
      if (holdsBackStates && message.state)
        held.emplace_back(to, message);
      else
        replicas_.at(to)->receive(now, message);
    }
    messages_ = std::move(held);
  }

  const OnCommitted onCommitted_;
  std::map<NodeId, std::unique_ptr<Host>> hosts_;
  std::map<NodeId, std::unique_ptr<Replica>> replicas_;
  std::deque<std::pair<NodeId, MemberMessage>> messages_;
};

class PrimaryRoleTest : public testing::Test {
 protected:
  PrimaryRoleTest()
      : core([this](const NodeId&, const ReplicatedState& state) { role.apply(core.now, 1, log, state); }),
        role(
            io, NodeSettings(), [] {}, [] { return true; }, [](const std::string&) {}) {}

  FollowResponse report(const std::string& relay) {
    FollowRequest request;
    request.name = relay + "#1";
    request.full = true;
    request.relay = RelayReport{relay + ":7000", 1, true};
    FollowResponse out;
    role.fillResponse(core.now, request, core.primary()->committed(), out);
    return out;
  }

  boost::asio::io_context io;
  ChangeLog log;
  Core core;
  PrimaryRole role;
};

// Guards against grants that the next primary does not wait for: a relay reported while a proposal was
// pending that dropped its name.
TEST_F(PrimaryRoleTest, ARelayWhoseNameIsBeingDroppedGetsNoGrants) {
  core.run(3000);
  ASSERT_NE(core.primary(), nullptr);
  EXPECT_FALSE(report("first").holdingsKnown) << "its name is not replicated yet";
  role.propose(core.now, *core.primary());
  core.run(500);
  ASSERT_TRUE(core.primary()->committed().grantHolders.contains("first"));
  report("second");
  Replica& primary = *core.primary();
  core.holdsBackStates = true;
  role.propose(core.now, primary);  // drops the name of the first, which has not reported under it yet
  core.run(200);
  FollowRequest request;
  request.name = "first#1";
  request.full = true;
  request.relay = RelayReport{"first:7000", 1, true};
  FollowResponse response;
  role.fillResponse(core.now, request, primary.committed(), response);
  EXPECT_FALSE(response.holdingsKnown);
  core.holdsBackStates = false;
  core.run(500);
  EXPECT_FALSE(primary.committed().grantHolders.contains("first"));
  role.propose(core.now, primary);
  core.run(500);
  EXPECT_TRUE(primary.committed().grantHolders.contains("first")) << "its name was queued again";
  EXPECT_TRUE(report("first").holdingsKnown);
}

}  // namespace
}  // namespace lilacmux
