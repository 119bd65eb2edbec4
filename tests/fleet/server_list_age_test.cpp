// The age of the platform's server list, and by how much it shortens leases.
#include "fleet/server_list_age.hpp"

#include <gtest/gtest.h>

namespace lilacmux::test {
namespace {

TEST(ServerListAge, RunsFromTheStartOfTheLastCompleteScan) {
  ServerListAge age;
  age.beginScan(1000);
  EXPECT_EQ(age.asOf(), std::nullopt);
  age.pageReceived();
  EXPECT_EQ(age.asOf(), std::nullopt) << "only a part of the list was read";
  age.completeScan();
  EXPECT_EQ(age.asOf(), 1000);
  age.beginScan(1500);
  age.pageReceived();
  EXPECT_EQ(age.asOf(), 1000);
}

TEST(ServerListAge, DoesNotRunWhileThePlatformIsDownAndRetainsTheTimeBefore) {
  ServerListAge age;
  age.beginScan(1000);
  age.completeScan();
  age.beginScan(1500);
  age.requestFailed(2400);
  EXPECT_EQ(age.asOf(), 1000) << "the failure may be due to the reader's own link";
  age.beginScan(3000);
  age.requestFailed(3900);
  EXPECT_EQ(age.asOf(), 2500) << "down between two failures";
  age.beginScan(4400);
  age.pageReceived();
  EXPECT_EQ(age.asOf(), 2500);
  age.beginScan(4900);
  age.requestFailed(5800);
  EXPECT_EQ(age.asOf(), 2500) << "the platform has responded since the last failure";
  age.beginScan(6300);
  age.pageReceived();
  age.completeScan();
  EXPECT_EQ(age.asOf(), 6300);
}

// The first failure of a new primary may be its own fault. After a second one the platform is considered
// down, so that no reader can know more.
TEST(ServerListAge, IsUnknownToAReaderWithoutAListUntilThePlatformIsFoundToBeDown) {
  ServerListAge age;
  age.beginScan(1000);
  age.requestFailed(1900);
  EXPECT_EQ(age.asOf(), std::nullopt);
  age.beginScan(2400);
  age.requestFailed(3300);
  EXPECT_EQ(age.asOf(), 3300);
}

// A gateway that loses contact right after a response serves until its lease ends. That must be before the
// drain timeout has elapsed for any server that the list in the response did not yet show as draining.
TEST(ExcessListAge, TheLeaseEndsBeforeTheTimeoutOfADrainThatTheListDidNotShow) {
  ServiceBounds bounds;
  bounds.revocationGlobal = true;
  bounds.drainTimeoutMs = 5000;
  for (const double age : {0.0, 300.0, 650.0, 1000.0, 1700.0, 2100.0, 4000.0}) {
    const double listedAt = 10000, requestedAt = listedAt + age;
    const double servesUntil =
        requestedAt - *excessListAge(requestedAt, listedAt, bounds) + bounds.servingLeaseMs();
    EXPECT_LE(servesUntil, listedAt + bounds.drainTimeoutMs) << age;
  }
  EXPECT_EQ(excessListAge(10000, std::nullopt, bounds), std::nullopt)
      << "a new primary has not read the list yet";
  bounds.drainTimeoutMs = 3000;  // shorter than the lease: applies only to gateways in contact
  EXPECT_EQ(excessListAge(12000, 10000, bounds), 0);
}

}  // namespace
}  // namespace lilacmux::test
