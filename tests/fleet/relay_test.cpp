// Relays: the order in which gateways try them, the data they forward, and draining.
#include "fleet/relay.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "fleet/follow_codec.hpp"
#include "fleet/relay_list.hpp"
#include "quota/admission.hpp"

namespace lilacmux::test {
namespace {

TEST(Relays, OfTheOwnZoneComeFirstAndShareTheGatewaysEvenly) {
  std::vector<RelayEndpoint> relays;
  relays.reserve(6);
  for (int r = 0; r < 6; ++r) relays.push_back({"10.0.0." + std::to_string(r) + ":1", r < 3 ? "a" : "b"});
  std::map<std::string, int> first;
  for (int g = 0; g < 300; ++g) {
    const auto order = rankRelays("edge" + std::to_string(g), "a", relays, 4);
    ASSERT_EQ(order.size(), 4u);
    EXPECT_EQ(order[2].zone, "a");
    EXPECT_EQ(order[3].zone, "b");
    ++first[order[0].address];
  }
  EXPECT_EQ(first.size(), 3u);
  for (const auto& [address, count] : first) EXPECT_GT(count, 60);
}

// A response states the age of its data. A relay without recent contact to the primary redirects gateways.
TEST(Relays, ReportTheAgeOfTheirDataAndRedirectWhenItIsStale) {
  Relay relay("r", {"10.0.0.1:1", "z"}, 1, 0);
  FollowRequest request;
  request.name = "g";
  request.full = true;
  EXPECT_EQ(relay.handleRequest(0, request).epoch, 0u) << "the relay has had no contact with the primary yet";
  FollowResponse response;
  response.epoch = 5 << 20;
  response.listAgeMs = 400;
  relay.handleResponse(100, response, 90);
  const auto relayResponse = relay.handleRequest(300, request);
  EXPECT_DOUBLE_EQ(relayResponse.listAgeMs.value(), 400);
  EXPECT_DOUBLE_EQ(parseFollowResponse(toFrame(relayResponse))->listAgeMs.value(), 400);
  EXPECT_EQ(relayResponse.epoch, response.epoch);
  EXPECT_DOUBLE_EQ(relayResponse.ageMs, 210);
  EXPECT_EQ(relay.handleRequest(2200, request).epoch, 0u);
  FollowResponse older = response;
  older.epoch = 4 << 20;
  relay.handleResponse(2300, older, 2290);
  EXPECT_EQ(relay.handleRequest(2300, request).epoch, 0u)
      << "a response of an older primary does not count as contact";
}

// A relay that connects before the primary has read its first list receives a snapshot later, and forwards
// it.
TEST(Relays, ThatConnectBeforeTheFirstListForwardItLater) {
  ChangeLog primary(9), relay;
  relay.apply(9, primary.deltaSince({}, 0));
  EXPECT_EQ(relay.index(), 0u);
  primary.updateServers({{"a", "s", "10.0.0.1:80", "z", 3, false, 0}});
  relay.apply(9, primary.deltaSince({9, relay.index()}, 0));
  EXPECT_EQ(relay.deltaSince({8, 40}, 0).servers->updated.size(), 1u)
      << "for a gateway that followed another primary before";
  EXPECT_TRUE(relay.deltaSince({8, 40}, 0).isSnapshot());
}

// Tokens that are reserved for a gateway that has moved to another relay are not available to the remaining
// gateways.
TEST(Relays, RequestTokensForRemainingGatewaysBesidesThoseReservedForDetachedOnes) {
  ShareRelay relay({}, gatekeeperTiming(), 0, 1 << 20);
  relay.responseReceived(0, 0, 4000);
  relay.handleReport(0, "remaining", {{"t", 5, 0, 0, 0, 0, 4}}, true);
  relay.handleReport(0, "detached", {{"t", 5, 0, 0, 0, 0, 4}}, true);
  relay.demands(0, ReportScope::full);
  relay.applyGrant(0, {"t", 30, 20}, 7);
  relay.handleReport(10, "detached", {{"t", 5, 9, 0, 0, 0, 4}}, false);
  relay.responseReceived(1500, 1500, 5500);
  relay.handleReport(1500, "remaining", {{"t", 5, 0, 0, 0, 0, 4}}, false);
  const auto demands = relay.demands(1500, ReportScope::full);
  ASSERT_EQ(demands.size(), 1u);
  EXPECT_GT(demands[0].requestedTokens, 9 + 4)
      << "tokens in addition to those reserved for the detached gateway";
}

// A follower that has received newer changes from another relay does not return to an earlier position.
TEST(Relays, SendNoDataOlderThanThatOfTheFollower) {
  ChangeLog primary(9);
  const Instance a{"a", "s", "10.0.0.1:80", "z", 3, false, 0};
  Instance draining = a;
  draining.draining = true;
  primary.updateServers({a});
  ChangeLog behind, ahead;
  behind.apply(9, primary.deltaSince({}, 0));
  ahead.apply(9, primary.deltaSince({}, 0));
  primary.updateServers({draining});
  ahead.apply(9, primary.deltaSince({9, ahead.index()}, 0));
  EXPECT_EQ(ahead.index(), primary.index());
  const auto followerDelta = ahead.deltaSince({}, 0);
  ASSERT_EQ(followerDelta.servers->updated.size(), 1u);
  EXPECT_TRUE(followerDelta.servers->updated[0].draining);
  const auto deltaFromBehind = behind.deltaSince({9, followerDelta.index}, 0);
  EXPECT_FALSE(deltaFromBehind.servers) << "the list of the relay is older than that of the follower";
  EXPECT_EQ(deltaFromBehind.index, followerDelta.index);
  behind.apply(8, primary.deltaSince({}, 0));
  EXPECT_EQ(behind.epoch(), 9u);
}

// A draining relay redirects its gateways, which retain their holdings, and returns its remaining tokens.
// Other relays can then use these tokens immediately, not only after the lease of the draining relay has
// ended.
TEST(Relays, ThatDrainRedirectGatewaysAndReturnRemainingTokens) {
  Relay relay("r", {"10.0.0.1:1", "z"}, 1, 0);
  FollowResponse response;
  response.epoch = 5 << 20;
  response.relays = {{"10.0.0.1:1", "z"}, {"10.0.0.2:1", "z"}, {"10.0.0.3:1", "y"}};
  response.relayListHash = 7;
  response.quotaGrants.grants = {{"t", 30, 20}};
  relay.handleResponse(10, response, 5);
  FollowRequest request;
  request.full = true;
  for (const char* name : {"unresponsive", "redirected"}) {
    request.name = name;
    request.zone = "z";
    request.demands = {{"t", 5, 0, 0, 0, 0, 4}};
    EXPECT_NE(relay.handleRequest(20, request).epoch, 0u);
  }
  relay.drain();
  request.name = "redirected";
  const auto redirect = relay.handleRequest(30, request);
  EXPECT_EQ(redirect.epoch, 0u);
  EXPECT_EQ(redirect.leader, "10.0.0.2:1") << "the other relay of the zone";
  const auto last = parseFollowRequest(toFrame(relay.detachRequest(40)));
  ASSERT_TRUE(last && last->detaching);
  ASSERT_EQ(last->demands.size(), 1u);
  EXPECT_NEAR(last->demands[0].reserve, 4, 0.01) << "the tokens that the unresponsive gateway holds";
  EXPECT_NEAR(last->demands[0].returnedTokens, 22, 0.01);
  EXPECT_GT(last->demands[0].grantedRate, 0);
}

}  // namespace
}  // namespace lilacmux::test
