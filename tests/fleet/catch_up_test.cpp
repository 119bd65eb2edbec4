// Followers that were disconnected catch up either by a snapshot or by changes, never by both, with bounded
// memory at the sender. Covers changes that arrive in the meantime and large configurations.
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

// Encodes and decodes a response, and stores the encoded size in `bytes`.
FollowResponse roundTrip(const FollowResponse& response, std::size_t& bytes) {
  std::string wire = encode(toFrame(response));
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

// A platform whose server list changes randomly: each step replaces, drains or otherwise changes 1 to 4
// servers.
class Platform {
 public:
  explicit Platform(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < 40; ++i) list_.push_back(server(next_++));
  }
  const std::vector<Instance>& change() {
    for (std::size_t count = 1 + random_() % 4; count > 0; --count) {
      Instance& instance = list_[random_() % list_.size()];
      switch (random_() % 4) {
        case 0:
          instance = server(next_++);  // replaces a removed server
          break;
        case 1:
          instance.draining = true;
          break;
        default:
          ++instance.capacity;
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

// A gateway and a relay that miss up to 400 changes, while more changes occur between their requests.
TEST(CatchUp, ADisconnectedFollowerReceivesASnapshotOrChangesAndIsUpToDateAfterwards) {
  unsigned snapshots = 0, changes = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    Platform platform(seed);
    PrimaryService primary(0, kEpoch, ChangeLog(), {}, QuotaRule{}, RetryRule{});
    Relay relay("r", {"10.0.0.9:1", "z"}, 1, 0);
    FollowerState gateway(kLease);
    primary.updateServers(platform.list());
    unsigned remainingSkips = 0;
    for (double now = 0; now < 40; ++now) {
      const std::size_t missedChanges = random() % 4 == 0 ? random() % 400 : random() % 3;
      for (std::size_t i = 0; i < missedChanges; ++i) primary.updateServers(platform.change());
      std::size_t bytes = 0;
      FollowResponse response;
      primary.fillResponse(now, relay.nextRequest(now, ReportScope::full), true, response);
      relay.handleResponse(now, roundTrip(response, bytes), now);
      // The gateway skips requests at random, sometimes nine in a row, so that the relay may have received a
      // snapshot and computed its difference from the previous list in the meantime.
      if (remainingSkips > 0 && --remainingSkips > 0) continue;
      if (random() % 8 == 0) remainingSkips = 10;
      if (random() % 3 == 0) continue;
      const auto relayResponse = roundTrip(relay.handleRequest(now, requestOf(gateway, 0)), bytes);
      std::set<std::string> ids;
      if (const auto& servers = relayResponse.delta.servers) {
        for (const Instance& instance : servers->updated) EXPECT_TRUE(ids.insert(instance.id).second);
        for (const std::string& id : servers->removed) EXPECT_TRUE(ids.insert(id).second) << id;
        EXPECT_TRUE(!servers->isSnapshot || servers->removed.empty());
        ++(servers->isSnapshot ? snapshots : changes);
      }
      gateway.apply(relayResponse, now, 0);
      ASSERT_EQ(gateway.instances(), byId(platform.list())) << "seed " << seed << " at " << now;
    }
  }
  EXPECT_GT(snapshots, 50u);
  EXPECT_GT(changes, 50u);
}

TEST(CatchUp, TheLogIsBoundedInChangesAndInEntries) {
  ChangeLog primary(kEpoch), relay;
  std::vector<Instance> list;
  for (std::size_t i = 0; i < 304; ++i) list.push_back(server(i));
  std::size_t maxEntries = 0, maxChanges = 0;
  for (std::size_t step = 0; step < 3000; ++step) {
    for (std::size_t i = 0; i < 1 + step % 60; ++i) ++list[(step * 31 + i) % list.size()].capacity;
    primary.updateServers(list);
    relay.apply(kEpoch, primary.deltaSince(relay.position(), 0));
    for (const ChangeLog* log : {&primary, &relay}) {
      maxEntries = std::max(maxEntries, log->entryCount());
      maxChanges = std::max(maxChanges, log->changeCount());
    }
    ASSERT_EQ(relay.servers(), primary.servers());
  }
  EXPECT_LE(maxEntries, list.size()) << "a snapshot would be no longer";
  EXPECT_LE(maxChanges, ChangeLog::kMaxChanges);
}

// The list may change while its pages are being read.
TEST(CatchUp, AServerThatIsListedTwiceIsSentOnceAsItIsStored) {
  ChangeLog primary(kEpoch);
  primary.updateServers({server(1)});
  const auto index = primary.index();
  primary.updateServers({server(1, 5), server(1)});
  EXPECT_EQ(primary.servers().at("i-1").capacity, 3u);
  EXPECT_FALSE(primary.deltaSince({kEpoch, index}, 0).servers) << "the stored record has not changed";
  Instance draining = server(1);
  draining.draining = true;
  primary.updateServers({draining, server(1)});
  EXPECT_TRUE(primary.servers().at("i-1").draining);
}

// The list lags by a varying time, so a later read, or the next primary, may receive an older list.
TEST(CatchUp, AnOlderListDoesNotResetTheDrainingState) {
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

// A gateway that moves from a relay with a list to a relay that has not received one yet retains its index.
// Otherwise the second relay would return it to the older list that is still in flight.
TEST(CatchUp, ARelayWithoutAListPreservesTheIndexOfAFollower) {
  ChangeLog primary(kEpoch), early;
  early.apply(kEpoch, primary.deltaSince({}, 0));
  primary.updateServers({server(1)});
  const auto first = primary.deltaSince({kEpoch, early.index()}, 0);  // in flight to `early`
  primary.updateServers({server(1), server(2)});
  const auto index = primary.index();
  EXPECT_EQ(early.deltaSince({kEpoch, index}, 0).index, index);
  early.apply(kEpoch, first);
  EXPECT_FALSE(early.deltaSince({kEpoch, index}, 0).servers);
  early.apply(kEpoch, primary.deltaSince({kEpoch, early.index()}, 0));
  EXPECT_FALSE(early.deltaSince({kEpoch, index}, 0).servers);
}

// A configuration that could not be applied may have revoked keys that the active one still contains.
TEST(CatchUp, NoLeaseIsRenewedWhileTheActiveRevisionIsOlderThanTheReportedOne) {
  FollowerState state(kLease);
  FollowResponse response;
  response.epoch = kEpoch;
  response.ageMs = 200;
  response.delta.revision = 7;
  state.apply(response, 1000, 7);
  EXPECT_DOUBLE_EQ(state.remainingLease(1000), kLease - 200);
  response.delta.revision = 8;
  state.apply(response, 3000, 7);
  EXPECT_DOUBLE_EQ(state.remainingLease(3000), kLease - 200 - 2000)
      << "revision 7 is active although revision 8 was reported";
  state.apply(response, 3000, 8);
  EXPECT_DOUBLE_EQ(state.remainingLease(3000), kLease - 200);
  response.epoch = kEpoch - 1;
  state.apply(response, 4000, 8);
  EXPECT_DOUBLE_EQ(state.remainingLease(3000), kLease - 200) << "not renewed by an older primary";
}

// A gateway that received an outdated list must stop relying on it earlier.
TEST(CatchUp, AnOutdatedListShortensTheLease) {
  FollowerState state(kLease);
  FollowResponse response;
  response.epoch = kEpoch;
  response.ageMs = 200;
  response.listAgeMs = 700;
  response.delta.revision = 7;
  state.apply(response, 1000, 7);
  EXPECT_DOUBLE_EQ(state.remainingLease(1000), kLease - 900);
}

// A new primary that has not read the list does not know which servers have left since the last read.
TEST(CatchUp, NoLeaseIsRenewedByAPrimaryThatHasNotReadTheList) {
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

// The next primary continues the log that it has replicated, so no follower with the same list needs a
// snapshot.
TEST(CatchUp, AfterAFailoverAFollowerReceivesOnlyTheChanges) {
  ChangeLog primary(kEpoch), relay;
  primary.updateServers({server(1), server(2)});
  relay.apply(kEpoch, primary.deltaSince({}, 0));
  const ListPosition gateway = relay.position();
  ChangeLog next = ChangeLog::continuing(2 * kEpoch, relay);
  EXPECT_FALSE(next.deltaSince(gateway, 0).hasServerList) << "the new primary has not read the list yet";
  relay.apply(2 * kEpoch, next.deltaSince(relay.position(), 0));
  EXPECT_EQ(relay.position(), gateway);
  EXPECT_FALSE(relay.hasServerList());
  next.updateServers({server(1), server(3)});
  relay.apply(2 * kEpoch, next.deltaSince(relay.position(), 0));
  EXPECT_TRUE(relay.hasServerList());
  const auto delta = relay.deltaSince(gateway, 0);
  EXPECT_FALSE(delta.isSnapshot());
  EXPECT_EQ(delta.servers->updated, std::vector<Instance>{server(3)});
  EXPECT_EQ(delta.servers->removed, std::vector<std::string>{"i-2"});
  EXPECT_EQ(delta.index, next.index());
}

TEST(CatchUp, AFailoverWithoutChangesSendsNoServers) {
  ChangeLog primary(kEpoch);
  primary.updateServers({server(1), server(2)});
  ChangeLog next = ChangeLog::continuing(2 * kEpoch, primary);
  next.updateServers({server(1), server(2)});
  const auto delta = next.deltaSince(primary.position(), 0);
  EXPECT_TRUE(delta.hasServerList);
  EXPECT_FALSE(delta.servers);
  EXPECT_EQ(delta.index, next.index());
}

// A primary without a replicated log sends relays a snapshot, of which they forward only the difference from
// the previous list.
TEST(CatchUp, ARelayForwardsASnapshotAsItsDifferenceFromThePreviousList) {
  ChangeLog primary(kEpoch), relay, newPrimary(2 * kEpoch);
  primary.updateServers({server(1), server(2)});
  relay.apply(kEpoch, primary.deltaSince({}, 0));
  const ListPosition gateway = relay.position();
  newPrimary.updateServers({server(2), server(3)});
  const auto response = newPrimary.deltaSince(relay.position(), 0);
  EXPECT_TRUE(response.isSnapshot());
  relay.apply(2 * kEpoch, response);
  const auto delta = relay.deltaSince(gateway, 0);
  EXPECT_FALSE(delta.isSnapshot());
  EXPECT_EQ(delta.servers->updated, std::vector<Instance>{server(3)});
  EXPECT_EQ(delta.servers->removed, std::vector<std::string>{"i-1"});
}

// The old primary had sent some followers newer changes than it had sent the next primary.
TEST(CatchUp, AFollowerAheadOfTheNextPrimaryReceivesASnapshot) {
  ChangeLog primary(kEpoch);
  primary.updateServers({server(1)});
  const ChangeLog outdated = primary;
  primary.updateServers({server(1), server(2)});
  ChangeLog next = ChangeLog::continuing(2 * kEpoch, outdated);
  next.updateServers({server(1)});
  EXPECT_TRUE(next.deltaSince(primary.position(), 0).isSnapshot());
  EXPECT_FALSE(next.deltaSince(outdated.position(), 0).isSnapshot());
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

// The cost of catching up after 300 changes, with the server counts of the grown and the large sites. Checks
// the transferred bytes; prints the times only, because they depend on the machine.
TEST(CatchUp, AfterThreeHundredChangesOneConfigurationAndOneListAreSent) {
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
    const auto startedAt = std::chrono::steady_clock::now();
    const auto elapsedMs = [&] {
      return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - startedAt).count();
    };
    FollowResponse response;
    std::size_t bytesToRelay = 0, bytesToGateway = 0;
    primary.fillResponse(1, relay.nextRequest(1, ReportScope::full), true, response);
    relay.handleResponse(1, roundTrip(response, bytesToRelay), 1);
    const double relayMs = elapsedMs();
    FollowerState state(kLease);
    const auto relayResponse = roundTrip(relay.handleRequest(2, requestOf(state, 0)), bytesToGateway);
    const double responseMs = elapsedMs();
    const auto parsed = parseConfiguration(*relayResponse.delta.configuration);
    ASSERT_TRUE(std::holds_alternative<Configuration>(parsed));
    const RouteTable table(std::get<Configuration>(parsed));
    state.apply(relayResponse, 2, table.revision());
    const double activeMs = elapsedMs();
    EXPECT_EQ(state.instances(), byId(list));
    EXPECT_EQ(table.revision(), 300u);
    EXPECT_LT(bytesToRelay, body->size() + 200 * servers)
        << "one configuration and one list, regardless of the number of missed changes";
    EXPECT_LT(bytesToGateway, body->size() + 200 * servers);
    std::cout << servers << " servers, 5,000 routes (" << body->size() << " bytes): " << bytesToRelay
              << " bytes to a relay, received after " << relayMs << " ms; " << bytesToGateway
              << " bytes to a gateway, encoded and decoded in " << responseMs - relayMs << " ms, active "
              << activeMs - responseMs << " ms later\n";
  }
}

}  // namespace
}  // namespace lilacmux::test
