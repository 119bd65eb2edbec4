// Where requests for keys are sent.
#include "gateway/key_router.hpp"

#include <gtest/gtest.h>

#include <map>

namespace lilacmux {
namespace {

class KeyRouterTest : public testing::Test, protected EngineActions {
 protected:
  static constexpr unsigned kSafe = 0, kUnsafe = 1;
  KeyRouterTest()
      : router(
            classes(), [this](Key key) { return ownerOf(key); }, *this) {}

  void send(RequestId, ServerId server, Time) override { sent.push_back(server); }
  void reject(RequestId, Time) override { ++rejected; }
  void fail(RequestId) override { ++failed; }
  void setTimer(Time, std::uint64_t tag) override { timers.push_back(tag); }
  void subscribe() override {}
  void log(const std::string&) override {}

  static std::vector<ClassSettings> classes() {
    std::vector<ClassSettings> out(2);
    out[kSafe].latencyTarget = out[kUnsafe].latencyTarget = 1000;
    out[kSafe].idempotency = Idempotency::safe;
    out[kUnsafe].idempotency = Idempotency::unsafe;
    return out;
  }
  std::optional<ServerId> ownerOf(Key key) const {
    const auto found = owners.find(key);
    return found == owners.end() ? std::nullopt : std::optional(found->second);
  }
  void request(Time now, unsigned classIndex, std::optional<Key> key) {
    EngineRequest out;
    out.id = 1;
    out.classIndex = classIndex;
    out.expiresAt = now + 3000;
    router.handleRequest(now, out, key);
  }
  void attemptEnds(Time now, AttemptResult result, bool isFinished = false) {
    AttemptOutcome out;
    out.id = 1;
    out.result = result;
    out.isRequestFinished = isFinished;
    router.handleOutcome(now, out);
  }
  void timerExpires(Time now) { router.handleTimer(now, timers.back()); }

  std::map<Key, ServerId> owners;
  std::vector<ServerId> sent;
  std::vector<std::uint64_t> timers;
  int rejected = 0, failed = 0;
  KeyRouter router;
};

TEST_F(KeyRouterTest, SendsARequestToTheOwnerOfItsKey) {
  owners = {{7, 70}, {8, 80}};
  request(0, kUnsafe, 8);
  EXPECT_EQ(sent, std::vector<ServerId>{80});
  attemptEnds(10, AttemptResult::ok, true);
  EXPECT_EQ(router.pendingRequestCount(), 0u);
}

TEST_F(KeyRouterTest, AsksTheNewOwnerAfterAMisdirectedAttempt) {
  owners = {{7, 70}};
  request(0, kUnsafe, 7);
  attemptEnds(5, AttemptResult::full);
  owners = {{7, 71}};
  timerExpires(45);
  EXPECT_EQ(sent, (std::vector<ServerId>{70, 71}));
}

TEST_F(KeyRouterTest, RejectsInsideAQuarterOfTheTargetWhereNobodyOwnsTheKey) {
  request(0, kSafe, 7);
  Time now = 0;
  while (rejected == 0 && now < 3000) timerExpires(now += 40);
  EXPECT_EQ(rejected, 1);
  EXPECT_LE(now, 250);
  EXPECT_TRUE(sent.empty());
}

TEST_F(KeyRouterTest, RepeatsOnlyWhatMayRunAgain) {
  owners = {{7, 70}};
  request(0, kUnsafe, 7);
  attemptEnds(5, AttemptResult::error);
  EXPECT_EQ(failed, 1);
  request(10, kSafe, 7);
  attemptEnds(15, AttemptResult::error);
  timerExpires(55);
  EXPECT_EQ(sent.size(), 3u);
  EXPECT_EQ(failed, 1);
}

TEST_F(KeyRouterTest, RejectsARequestWithoutAKey) {
  request(0, kSafe, std::nullopt);
  EXPECT_EQ(rejected, 1);
}

TEST_F(KeyRouterTest, ATimerOfARequestThatHasLeftDoesNothing) {
  request(0, kSafe, 7);
  router.handleClientDisconnect(1);
  timerExpires(40);
  EXPECT_TRUE(sent.empty());
  EXPECT_EQ(rejected, 0);
}

}  // namespace
}  // namespace lilacmux
