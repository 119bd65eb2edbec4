// The order in which a follower tries endpoints.
#include "discovery/endpoint_selector.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "discovery/addresses.hpp"

namespace lilacmux::test {
namespace {

TEST(EndpointSelector, TriesEachEndpointOncePerPass) {
  EndpointSelector selector({endpoint(1), endpoint(2)});
  EXPECT_EQ(selector.next(), endpoint(1));
  selector.setCore(5, {endpoint(8), endpoint(9)});
  EXPECT_EQ(selector.next(), endpoint(8))
      << "an endpoint that becomes known during a pass is tried in the same pass";
  EXPECT_EQ(selector.next(), endpoint(9));
  EXPECT_EQ(selector.next(), endpoint(2));
  EXPECT_EQ(selector.next(), endpoint(8)) << "a new pass starts";
}

TEST(EndpointSelector, StaleHintsDoNotHideSeedsOrTheNewestCore) {
  EndpointSelector selector({endpoint(1)});
  selector.setCore(5, {endpoint(8)});
  for (unsigned stale = 100; stale < 200; ++stale) selector.setCore(4, {endpoint(stale % 250)});
  const auto all = selector.endpoints();
  for (const Endpoint& expected : {endpoint(1), endpoint(8)})
    EXPECT_NE(std::find(all.begin(), all.end(), expected), all.end()) << expected;
  EXPECT_LT(all.size(), 10u);
}

TEST(EndpointSelector, TriesALostEndpointLastInTheNextPass) {
  EndpointSelector selector({endpoint(1), endpoint(2)});
  selector.setPreferred({endpoint(3), endpoint(4)});
  EXPECT_EQ(selector.next(), endpoint(3));
  selector.markResponsive(endpoint(3));
  EXPECT_EQ(selector.next(), endpoint(4)) << "the responsive endpoint was lost";
}

TEST(EndpointSelector, SetSeedsReplacesTheSeeds) {
  EndpointSelector selector({endpoint(1)});
  EXPECT_EQ(selector.next(), endpoint(1));
  selector.setSeeds({endpoint(2)});
  EXPECT_EQ(selector.next(), endpoint(2));
  EXPECT_EQ(selector.next(), endpoint(2));
}

TEST(EndpointSelector, ReturnsNothingWithoutEndpoints) {
  EXPECT_EQ(EndpointSelector({}).next(), std::nullopt);
}

}  // namespace
}  // namespace lilacmux::test
