// Who was away catches up: by a snapshot or by the changes, never by both, in bounded memory; also where more
// changes come meanwhile, where the configuration is large, and where the link is narrow.
#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <random>
#include <set>

#include "fleet/follow_codec.hpp"
#include "fleet/follower_state.hpp"
#include "fleet/primary_service.hpp"
#include "fleet/relay.hpp"
#include "gateway/route_table.hpp"
#include "settings/configuration.hpp"

namespace lilacmux::test {
namespace {

constexpr std::uint64_t kEpoch = 1 << 20;
constexpr double kLease = 4200;

Instance server(std::size_t number, unsigned capacity = 3) {
  return {"i-" + std::to_string(number), "s", "10.0.0.1:80", "z", capacity, false, 0};
}

std::map<std::string, Instance> byId(const std::vector<Instance>& list) {
  std::map<std::string, Instance> out;
  for (const Instance& instance : list) out[instance.id] = instance;
  return out;
}

// Over the wire and back.
FollowResponse sent(const FollowResponse& answer, std::size_t& bytes) {
  std::string wire = encode(toFrame(answer));
  bytes = wire.size();
  Frame frame;
  EXPECT_EQ(decode(wire, frame), Decoded::frame);
  return *parseFollowResponse(std::move(frame));
}

FollowRequest requestOf(const FollowerState& state, std::uint64_t revision) {
  FollowRequest out;
  out.name = "edge";
  out.zone = "z";
  out.revision = revision;
  out.position = state.position();
  return out;
}

// Some servers come, some go, some change; 1 to 4 of them a step.
class Platform {
 public:
  explicit Platform(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < 40; ++i) list_.push_back(server(next_++));
  }
  const std::vector<Instance>& change() {
    for (std::size_t count = 1 + random_() % 4; count > 0; --count) {
      Instance& one = list_[random_() % list_.size()];
      switch (random_() % 4) {
        case 0:
          one = server(next_++);  // replaces one that was removed
          break;
        case 1:
          one.draining = true;
          break;
        default:
          ++one.capacity;
      }
    }
    return list_;
  }
  const std::vector<Instance>& list() const { return list_; }

 private:
  std::mt19937_64 random_;
  std::size_t next_ = 0;
  std::vector<Instance> list_;
};

// A gatekeeper and a relay that are away for up to 400 changes, while more come between their calls.
TEST(CatchUp, WhoWasAwayGetsTheSnapshotOrTheChangesAndHasAllThen) {
  unsigned snapshots = 0, changes = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    Platform platform(seed);
    PrimaryService primary(0, kEpoch, ChangeLog(), {}, QuotaRule{}, RetryRule{});
    Relay relay("r", {"10.0.0.9:1", "z"}, 1, 0);
    FollowerState gatekeeper(kLease);
    primary.updateServers(platform.list());
    unsigned gatekeeperAway = 0;
    for (double now = 0; now < 40; ++now) {
      const std::size_t away = random() % 4 == 0 ? random() % 400 : random() % 3;
      for (std::size_t i = 0; i < away; ++i) primary.updateServers(platform.change());
      std::size_t bytes = 0;
      FollowResponse response;
      primary.fillResponse(now, relay.nextRequest(now, ReportScope::full), true, response);
      relay.handleResponse(now, sent(response, bytes), now);
      // The gateway does not ask each time, and now and then not for long: a relay that received a
      // snapshot may have worked out what it changes.
      if (gatekeeperAway > 0 && --gatekeeperAway > 0) continue;
      if (random() % 8 == 0) gatekeeperAway = 10;
      if (random() % 3 == 0) continue;
      const auto answer = sent(relay.handleRequest(now, requestOf(gatekeeper, 0)), bytes);
      std::set<std::string> ids;
      if (const auto& servers = answer.delta.servers) {
        for (const Instance& instance : servers->updated) EXPECT_TRUE(ids.insert(instance.id).second);
        for (const std::string& id : servers->removed) EXPECT_TRUE(ids.insert(id).second) << id;
        EXPECT_TRUE(!servers->isSnapshot || servers->removed.empty());
        ++(servers->isSnapshot ? snapshots : changes);
      }
      gatekeeper.apply(answer, now, 0);
      ASSERT_EQ(gatekeeper.instances(), byId(platform.list())) << "seed " << seed << " at " << now;
    }
  }
  EXPECT_GT(snapshots, 50u);
  EXPECT_GT(changes, 50u);
}

TEST(CatchUp, TheLogIsBoundedInChangesAndInEntries) {
  ChangeLog primary(kEpoch), relay;
  std::vector<Instance> list;
  for (std::size_t i = 0; i < 304; ++i) list.push_back(server(i));
  std::size_t mostEntries = 0, mostChanges = 0;
  for (std::size_t round = 0; round < 3000; ++round) {
    for (std::size_t i = 0; i < 1 + round % 60; ++i) ++list[(round * 31 + i) % list.size()].capacity;
    primary.updateServers(list);
    relay.apply(kEpoch, primary.deltaSince(relay.position(), 0));
    for (const ChangeLog* log : {&primary, &relay}) {
      mostEntries = std::max(mostEntries, log->entryCount());
      mostChanges = std::max(mostChanges, log->changeCount());
    }
    ASSERT_EQ(relay.servers(), primary.servers());
  }
  EXPECT_LE(mostEntries, list.size()) << "a snapshot is as short";
  EXPECT_LE(mostChanges, ChangeLog::kMaxChanges);
}

// A list of several pages changes while it is read.
TEST(CatchUp, AServerThatIsListedTwiceIsSentOnceAndAsItIsKept) {
  ChangeLog primary(kEpoch);
  primary.updateServers({server(1)});
  const auto index = primary.index();
  primary.updateServers({server(1, 5), server(1)});
  EXPECT_EQ(primary.servers().at("i-1").capacity, 3u);
  EXPECT_FALSE(primary.deltaSince({kEpoch, index}, 0).servers) << "nothing has changed in what is kept";
  Instance draining = server(1);
  draining.draining = true;
  primary.updateServers({draining, server(1)});
  EXPECT_TRUE(primary.servers().at("i-1").draining);
}

// The list lags, by more at one read than at another, and the next primary may read an older one.
TEST(CatchUp, AServerThatDrainsDoesSoWhateverAnOlderListSays) {
  ChangeLog primary(kEpoch), next(2 * kEpoch), relay;
  Instance draining = server(1);
  draining.draining = true;
  primary.updateServers({draining});
  primary.updateServers({server(1)});
  EXPECT_TRUE(primary.servers().at("i-1").draining);
  relay.apply(kEpoch, primary.deltaSince({}, 0));
  next.updateServers({server(1)});
  relay.apply(2 * kEpoch, next.deltaSince(relay.position(), 0));
  EXPECT_TRUE(relay.servers().at("i-1").draining);
  EXPECT_TRUE(relay.deltaSince({}, 0).servers->updated.at(0).draining);
}

// A relay that came before the list and one that had it already: a gatekeeper that goes from the second to
// the first keeps its index, or the first would take it back to what the list was then.
TEST(CatchUp, AnIndexIsKeptAtARelayThatHasNoListYet) {
  ChangeLog primary(kEpoch), early;
  early.apply(kEpoch, primary.deltaSince({}, 0));
  primary.updateServers({server(1)});
  const auto first = primary.deltaSince({kEpoch, early.index()}, 0);  // on its way to `early`
  primary.updateServers({server(1), server(2)});
  const auto index = primary.index();
  EXPECT_EQ(early.deltaSince({kEpoch, index}, 0).index, index);
  early.apply(kEpoch, first);
  EXPECT_FALSE(early.deltaSince({kEpoch, index}, 0).servers);
  early.apply(kEpoch, primary.deltaSince({kEpoch, early.index()}, 0));
  EXPECT_FALSE(early.deltaSince({kEpoch, index}, 0).servers);
}

// A version that could not be taken in may have taken keys away that the one in force has.
TEST(CatchUp, NoLeaseIsRenewedForAVersionOlderThanTheNewestReported) {
  FollowerState state(kLease);
  FollowResponse response;
  response.epoch = kEpoch;
  response.ageMs = 200;
  response.delta.revision = 7;
  state.apply(response, 1000, 7);
  EXPECT_DOUBLE_EQ(state.remainingLease(1000), kLease - 200);
  response.delta.revision = 8;
  state.apply(response, 3000, 7);
  EXPECT_DOUBLE_EQ(state.remainingLease(3000), kLease - 200 - 2000) << "renewed for 7, while 8 is in force";
  state.apply(response, 3000, 8);
  EXPECT_DOUBLE_EQ(state.remainingLease(3000), kLease - 200);
  response.epoch = kEpoch - 1;
  state.apply(response, 4000, 8);
  EXPECT_DOUBLE_EQ(state.remainingLease(3000), kLease - 200) << "by an older primary";
}

// A gateway that received an old list must not rely on it for as long.
TEST(CatchUp, AnOldListShortensTheLease) {
  FollowerState state(kLease);
  FollowResponse response;
  response.epoch = kEpoch;
  response.ageMs = 200;
  response.listAgeMs = 700;
  response.delta.revision = 7;
  state.apply(response, 1000, 7);
  EXPECT_DOUBLE_EQ(state.remainingLease(1000), kLease - 900);
}

// A new primary that has not read the list knows nothing of what has left since the last one read it.
TEST(CatchUp, NoLeaseIsRenewedByAPrimaryThatHasReadNoList) {
  FollowerState state(kLease);
  FollowResponse response;
  response.epoch = kEpoch;
  response.delta.revision = 7;
  state.apply(response, 1000, 7);
  response.epoch = 2 * kEpoch;
  response.listAgeMs.reset();
  state.apply(*parseFollowResponse(toFrame(response)), 3000, 7);
  EXPECT_EQ(state.epoch(), 2 * kEpoch);
  EXPECT_DOUBLE_EQ(state.remainingLease(3000), kLease - 2000);
}

// The next primary goes on from the list that it has followed: nobody who has that list needs a snapshot.
TEST(CatchUp, ATakeOverCostsAFollowerWhatHasChanged) {
  ChangeLog primary(kEpoch), relay;
  primary.updateServers({server(1), server(2)});
  relay.apply(kEpoch, primary.deltaSince({}, 0));
  const ListPosition gatekeeper = relay.position();
  ChangeLog next = ChangeLog::continuing(2 * kEpoch, relay);
  EXPECT_FALSE(next.deltaSince(gatekeeper, 0).hasServerList) << "it has read no list yet";
  relay.apply(2 * kEpoch, next.deltaSince(relay.position(), 0));
  EXPECT_EQ(relay.position(), gatekeeper);
  EXPECT_FALSE(relay.hasServerList());
  next.updateServers({server(1), server(3)});
  relay.apply(2 * kEpoch, next.deltaSince(relay.position(), 0));
  EXPECT_TRUE(relay.hasServerList());
  const auto delta = relay.deltaSince(gatekeeper, 0);
  EXPECT_FALSE(delta.isSnapshot());
  EXPECT_EQ(delta.servers->updated, std::vector<Instance>{server(3)});
  EXPECT_EQ(delta.servers->removed, std::vector<std::string>{"i-2"});
  EXPECT_EQ(delta.index, next.index());
}

TEST(CatchUp, ATakeOverWithoutAChangeSendsNoServerAgain) {
  ChangeLog primary(kEpoch);
  primary.updateServers({server(1), server(2)});
  ChangeLog next = ChangeLog::continuing(2 * kEpoch, primary);
  next.updateServers({server(1), server(2)});
  const auto delta = next.deltaSince(primary.position(), 0);
  EXPECT_TRUE(delta.hasServerList);
  EXPECT_FALSE(delta.servers);
  EXPECT_EQ(delta.index, next.index());
}

// One that has followed nobody sends relays a snapshot; they work out what it changes for their gatekeepers.
TEST(CatchUp, ARelayForwardsASnapshotAsWhatItChanges) {
  ChangeLog primary(kEpoch), relay, stranger(2 * kEpoch);
  primary.updateServers({server(1), server(2)});
  relay.apply(kEpoch, primary.deltaSince({}, 0));
  const ListPosition gatekeeper = relay.position();
  stranger.updateServers({server(2), server(3)});
  const auto response = stranger.deltaSince(relay.position(), 0);
  EXPECT_TRUE(response.isSnapshot());
  relay.apply(2 * kEpoch, response);
  const auto delta = relay.deltaSince(gatekeeper, 0);
  EXPECT_FALSE(delta.isSnapshot());
  EXPECT_EQ(delta.servers->updated, std::vector<Instance>{server(3)});
  EXPECT_EQ(delta.servers->removed, std::vector<std::string>{"i-1"});
}

// The old primary sent some of them more than it sent the one that took over.
TEST(CatchUp, WhoKnowsMoreOfAnEarlierEpochThanTheNextPrimaryGetsASnapshot) {
  ChangeLog primary(kEpoch);
  primary.updateServers({server(1)});
  const ChangeLog behind = primary;
  primary.updateServers({server(1), server(2)});
  ChangeLog next = ChangeLog::continuing(2 * kEpoch, behind);
  next.updateServers({server(1)});
  EXPECT_TRUE(next.deltaSince(primary.position(), 0).isSnapshot());
  EXPECT_FALSE(next.deltaSince(behind.position(), 0).isSnapshot());
}

nlohmann::json routes(std::size_t count) {
  nlohmann::json out = nlohmann::json::array();
  for (std::size_t i = 0; i < count; ++i)
    out.push_back({{"name", "r-" + std::to_string(1000000 + i)},
                   {"hostname", "host" + std::to_string(i % 500) + ".example"},
                   {"pathPrefix", "/path" + std::to_string(i) + "/"},
                   {"routeType", "idempotent"},
                   {"timeoutMs", 800},
                   {"targetLatencyMs", 300},
                   {"priority", 2},
                   {"trafficSplit", {{{"targetService", "s"}, {"weight", 100}}}},
                   {"maxAttempts", 2},
                   {"public", false}});
  return out;
}

std::shared_ptr<const std::string> bodyOf(std::uint64_t revision, std::size_t routeCount) {
  const auto bytes = nlohmann::json::to_msgpack({{"revision", revision},
                                                 {"routeRules", routes(routeCount)},
                                                 {"backendServices", {{{"name", "s"}}}},
                                                 {"tenants", nlohmann::json::array()}});
  return std::make_shared<const std::string>(bytes.begin(), bytes.end());
}

// What it costs to come back after 300 changes, at the grown and the large sites' size. Bytes are bounded,
// times are only printed: they depend on the machine.
TEST(CatchUp, AfterThreeHundredChangesItTakesOneConfigurationAndOneList) {
  for (const std::size_t servers : {304, 900}) {
    PrimaryService primary(0, kEpoch, ChangeLog(), {}, QuotaRule{}, RetryRule{});
    Relay relay("r", {"10.0.0.9:1", "z"}, 1, 0);
    std::vector<Instance> list;
    for (std::size_t i = 0; i < servers; ++i) list.push_back(server(i));
    for (std::uint64_t revision = 1; revision < 300; ++revision) {
      ++list[revision % servers].capacity;
      primary.updateServers(list);
      primary.setConfiguration(0, revision, std::make_shared<const std::string>(20000, 'c'), {});
    }
    const auto body = bodyOf(300, 5000);
    primary.setConfiguration(0, 300, body, {});
    const auto begun = std::chrono::steady_clock::now();
    const auto passed = [&] {
      return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun).count();
    };
    FollowResponse response;
    std::size_t toRelay = 0, toGatekeeper = 0;
    primary.fillResponse(1, relay.nextRequest(1, ReportScope::full), true, response);
    relay.handleResponse(1, sent(response, toRelay), 1);
    const double relayMs = passed();
    FollowerState state(kLease);
    const auto answer = sent(relay.handleRequest(2, requestOf(state, 0)), toGatekeeper);
    const double answeredMs = passed();
    const auto read = parseConfiguration(*answer.delta.configuration);
    ASSERT_TRUE(std::holds_alternative<Configuration>(read));
    const RouteTable table(std::get<Configuration>(read));
    state.apply(answer, 2, table.revision());
    const double inForceMs = passed();
    EXPECT_EQ(state.instances(), byId(list));
    EXPECT_EQ(table.revision(), 300u);
    EXPECT_LT(toRelay, body->size() + 200 * servers) << "one configuration and one list, whatever was missed";
    EXPECT_LT(toGatekeeper, body->size() + 200 * servers);
    std::cout << servers << " servers, 5,000 routes (" << body->size() << " bytes): " << toRelay
              << " bytes to a relay, which has it after " << relayMs << " ms; " << toGatekeeper
              << " to a gatekeeper, written and read in " << answeredMs - relayMs << " ms, in force "
              << inForceMs - answeredMs << " ms later\n";
  }
}

}  // namespace
}  // namespace lilacmux::test
