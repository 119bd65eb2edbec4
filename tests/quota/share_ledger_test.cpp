// Checks that all gatekeepers together stay within the quota despite partitions and lost replies, and that
// few requests within the quota are rejected.
#include "quota/share_ledger.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "quota/admission.hpp"

namespace lilacmux::test {
namespace {

using Millis = double;

// One ledger and its gatekeepers under a simulated clock. The seed determines the arrivals, lost replies,
// partitions and ledger replacements.
class Fleet {
 public:
  Fleet(std::uint64_t seed, unsigned gatekeepers, double rate, double burst)
      : random_(seed), nodes_(gatekeepers), rate_(rate), burst_(burst) {
    replaceLedger({});
    for (Node& node : nodes_) {
      node.admission.setLimitedTenants({"t"});
      node.nextReportAt = 250 * chance();
    }
  }

  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  void replaceLedger(const std::set<std::string>& unconfirmed) {
    ledger_.emplace(ShareLedger::Refill::byQuota, ShareTiming{}, now_, unconfirmed, ++ledgerCount_ << 32);
    for (Node& node : nodes_) node.isKnown = false;
    ledger_->setQuotas(now_, {{"t", rule.quotaFor(rate_, burst_)}});
  }

  // Runs for `span` ms. `requestRate` is the total of all gatekeepers, distributed unevenly.
  void run(Millis span, double requestRate) {
    for (const Millis until = now_ + span; now_ < until; now_ += 1) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        Node& node = nodes_[i];
        const double nodeRate = requestRate * 2 * static_cast<double>(i + 1) /
                                static_cast<double>(nodes_.size() * (nodes_.size() + 1));
        if (chance() < nodeRate / 1000) handleRequest(node);
        if (now_ >= node.nextReportAt) report(node, i);
      }
      while (!admitted_.empty() && admitted_.front() < now_ - 1000 * rule.windowSeconds)
        admitted_.pop_front();
      maxAdmitted = std::max(maxAdmitted, admitted_.size());
    }
  }
  std::set<std::string> gatekeeperNames() const {
    std::set<std::string> out;
    for (std::size_t i = 0; i < nodes_.size(); ++i) out.insert("g" + std::to_string(i));
    return out;
  }
  void setPartitioned(std::size_t i, bool isPartitioned) { nodes_[i].isPartitioned = isPartitioned; }

  const QuotaRule rule{5, 0.1, 20};
  double lossRate = 0;          // fraction of replies that are lost
  std::size_t maxAdmitted = 0;  // most admitted requests in any window
  std::size_t requestCount = 0, rejectedCount = 0;
  double allowedPerWindow() const {
    return (rate_ * rule.windowSeconds + burst_) * (1 + rule.overage) + rule.slack;
  }

 private:
  struct Node {
    Admission admission;
    Millis nextReportAt = 0;
    bool isPartitioned = false, isKnown = false;
  };

  void handleRequest(Node& node) {
    ++requestCount;
    if (!node.admission.tryAdmit(now_, "t", chance()).admitted) {
      ++rejectedCount;
    } else {
      admitted_.push_back(now_);
      node.admission.requestEnded(now_, "t", true);
    }
    if (node.admission.need() != Admission::Need::none)
      node.nextReportAt = std::min(node.nextReportAt, now_ + 10);
  }
  void report(Node& node, std::size_t i) {
    node.nextReportAt = now_ + 250;
    const auto demands = node.admission.demands(now_, node.isKnown ? ReportScope::delta : ReportScope::full);
    if (node.isPartitioned) return failReport(node);
    const auto reply = ledger_->handleReport(now_, "g" + std::to_string(i), demands, !node.isKnown);
    if (chance() < lossRate) return failReport(node);
    node.isKnown = reply.isHolderKnown;
    node.admission.responseReceived(now_, now_, now_ + ShareTiming{}.lease);
    for (const auto& grant : reply.grants) node.admission.applyGrant(now_, grant, reply.grantNumber);
  }
  void failReport(Node& node) {
    node.isKnown = false;
    node.admission.requestFailed();
  }

  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  const double rate_, burst_;
  std::optional<ShareLedger> ledger_;
  std::deque<Millis> admitted_;
  Millis now_ = 0;
  std::uint64_t ledgerCount_ = 0;
};

TEST(ShareLedgerTest, OverloadIsLimitedToTheQuotaAndUsesAllOfIt) {
  for (std::uint64_t seed = 0; seed < 4; ++seed) {
    Fleet fleet(seed, 11, 100, 100);
    fleet.run(12000, 700);
    EXPECT_LE(static_cast<double>(fleet.maxAdmitted), fleet.allowedPerWindow()) << "seed " << seed;
    EXPECT_GE(static_cast<double>(fleet.requestCount - fleet.rejectedCount), 0.95 * 100 * 12);
  }
}

TEST(ShareLedgerTest, AdmissionStaysWithinTheQuotaAcrossPartitionsLostRepliesAndLedgerReplacement) {
  for (std::uint64_t seed = 0; seed < 6; ++seed) {
    Fleet fleet(seed, 9, 60, 60);
    fleet.lossRate = 0.1;
    fleet.run(3000, 60);
    for (int fault = 0; fault < 5; ++fault) {
      for (std::size_t i = 0; i < 9; ++i) fleet.setPartitioned(i, fleet.chance() < 0.4);
      fleet.run(1000 + 3000 * fleet.chance(), 500);
      if (fleet.chance() < 0.5) fleet.replaceLedger(fleet.gatekeeperNames());
      for (std::size_t i = 0; i < 9; ++i) fleet.setPartitioned(i, false);
      fleet.run(2000 * fleet.chance(), 500);
    }
    EXPECT_LE(static_cast<double>(fleet.maxAdmitted), fleet.allowedPerWindow()) << "seed " << seed;
  }
}

// The recovery period of a new ledger ends once all unconfirmed holders have reported, before their leases
// expire.
TEST(ShareLedgerTest, NewLedgerGrantsOnceAllHoldersHaveReported) {
  Fleet fleet(2, 5, 50, 50);
  fleet.run(5000, 40);
  fleet.replaceLedger(fleet.gatekeeperNames());
  fleet.run(500, 40);
  const std::size_t requestsBefore = fleet.requestCount, rejectedBefore = fleet.rejectedCount;
  fleet.run(3000, 40);
  EXPECT_LE(fleet.rejectedCount - rejectedBefore, (fleet.requestCount - requestsBefore) / 10);
}

TEST(ShareLedgerTest, DisconnectedGatekeeperUsesItsGrantedRateUntilItsLeaseExpires) {
  Fleet fleet(1, 3, 90, 90);
  fleet.run(4000, 60);
  for (std::size_t i = 0; i < 3; ++i) fleet.setPartitioned(i, true);
  const std::size_t admittedWhenPartitioned = fleet.requestCount - fleet.rejectedCount;
  fleet.run(3000, 60);
  EXPECT_GE(fleet.requestCount - fleet.rejectedCount - admittedWhenPartitioned, 100u);
  fleet.run(2000, 60);
  const std::size_t admittedAtExpiry = fleet.requestCount - fleet.rejectedCount;
  fleet.run(2000, 60);
  EXPECT_EQ(fleet.requestCount - fleet.rejectedCount, admittedAtExpiry)
      << "requests were admitted without a lease";
}

TEST(ShareLedgerTest, WaitingRequestsAreServedAtOnceAndCountAsUsed) {
  ShareLedger ledger(ShareLedger::Refill::byQuota, ShareTiming{}, 0, {}, 1 << 20);
  ledger.setQuota(0, "t", {10, 10});
  ledger.handleReport(1000, "a", {{"t", 0, 0, 0, 0, 0, 0}}, true);
  const auto reply = ledger.handleReport(1010, "a", {{"t", 2, 0, 0, 0, 3, 0}}, false);
  ASSERT_EQ(reply.grants.size(), 1u);
  EXPECT_GE(reply.grants[0].tokens, 3);
  // The three waiting requests have used their tokens, even if the holder does not report it. Only tokens
  // granted in addition can return to the bucket.
  const double before = ledger.totals(1010, "t").reserve;
  ledger.handleReport(1010, "a", {{"t", 2, 0, 0, 0, 0, 0}}, false);
  EXPECT_NEAR(ledger.totals(1010, "t").reserve, before, 1e-6);
}

TEST(ShareLedgerTest, UnknownHolderMustSendAFullReportBeforeItIsGrantedTokens) {
  ShareLedger ledger(ShareLedger::Refill::byQuota, ShareTiming{}, 0, {"a"}, 1 << 20);
  ledger.setQuota(0, "t", {10, 10});
  const auto reply = ledger.handleReport(500, "a", {{"t", 1, 0, 0, 0, 1, 2}}, false);
  EXPECT_FALSE(reply.isHolderKnown);
  EXPECT_TRUE(reply.grants.empty());
  EXPECT_TRUE(ledger.handleReport(510, "a", {{"t", 1, 0, 5, 7, 1, 2}}, true).isHolderKnown);
  EXPECT_GT(ledger.handleReport(900, "a", {{"t", 1, 0, 5, 7, 1, 2}}, false).grants[0].tokens, 0);
}

// A report inspects only the tenants that it names, whatever the number of tenants and holders.
TEST(ShareLedgerTest, ReportInspectsOnlyTheTenantsThatItNames) {
  for (const int count : {5, 50, 500}) {
    ShareLedger ledger(ShareLedger::Refill::byQuota, ShareTiming{}, 0, {}, 0);
    for (int t = 0; t < count; ++t) ledger.setQuota(0, "t" + std::to_string(t), {10, 10});
    for (int h = 0; h < count; ++h)
      ledger.handleReport(1, "h" + std::to_string(h), {{"t1", 1, 0, 0, 0, 0, 2}}, true);
    const auto before = ledger.inspectedCount();
    ledger.handleReport(2, "h3", {{"t1", 1, 0, 0, 0, 1, 2}}, false);
    EXPECT_LE(ledger.inspectedCount() - before, 2u) << count << " tenants and holders";
  }
}

TEST(ShareLedgerTest, TokensReturnedAtShutdownAreAvailableToOthersAtOnce) {
  ShareLedger ledger(ShareLedger::Refill::byQuota, {}, 0, {}, 1 << 20);
  ledger.setQuota(0, "t", {10, 40});
  ledger.handleReport(0, "a", {}, true);
  ledger.handleReport(4000, "b", {}, true);
  ledger.handleReport(4000, "a", {}, true);
  const auto granted = ledger.handleReport(4001, "a", {{"t", 5, 0, 0, 0, 0, 28}}, false);
  ASSERT_NEAR(granted.grants[0].tokens, 28, 0.5);
  const double offeredRate = granted.grants[0].rate;
  ledger.handleReport(4010, "a", {{"t", 5, 28, offeredRate, granted.grantNumber, 0, 28}}, false);
  const double grantedBefore =
      ledger.handleReport(4020, "b", {{"t", 5, 0, 0, 0, 30, 0}}, false).grants[0].tokens;
  EXPECT_LT(grantedBefore, 13);
  ledger.release(4030, "a", {{"t", 0, 3, 0, granted.grantNumber, 0, 0, 25}});
  const auto grantedAfter =
      ledger.handleReport(4031, "b", {{"t", 5, 0, 0, 0, 30, 0}}, false).grants[0].tokens;
  EXPECT_NEAR(grantedAfter, 25, 0.5);
  EXPECT_LE(ledger.totals(4031, "t").reserve, 40.5);
  // A holder cannot return more tokens than it had.
  ledger.release(4040, "b", {{"t", 0, 0, 0, 0, 0, 0, 1000}});
  EXPECT_LE(ledger.totals(4040, "t").reserve, 41);
}

// After a holder has shut down, its granted rate no longer reduces the refill, although its lease has not yet
// expired.
TEST(ShareLedgerTest, NothingIsSetAsideForAHolderThatHasShutDown) {
  for (const bool isReleased : {false, true}) {
    ShareLedger ledger(ShareLedger::Refill::byQuota, {}, 0, {}, 1 << 20);
    ledger.setQuota(0, "t", {10, 40});
    for (const char* name : {"a", "b"}) ledger.handleReport(1000, name, {{"t", 5, 0, 0, 0, 0, 20}}, true);
    ledger.handleReport(1001, "a", {{"t", 5, 5, 0, 0, 0, 0}}, false);
    if (isReleased) ledger.release(1002, "a", {});
    double grantedTokens = 0;
    for (Millis now = 1100; now <= 4600; now += 100)
      grantedTokens += ledger.handleReport(now, "b", {{"t", 5, 0, 0, 0, 100, 0}}, false).grants[0].tokens;
    if (isReleased)
      EXPECT_GT(grantedTokens, 34);
    else
      EXPECT_LT(grantedTokens, 30);
  }
}

// No tokens are set aside for an earlier incarnation of a holder once the next one has received reports of
// all its sub-grants.
TEST(ShareLedgerTest, NothingIsSetAsideForARetiredIncarnation) {
  for (const bool isRetired : {false, true}) {
    ShareLedger ledger(ShareLedger::Refill::byQuota, {}, 0, {}, 1 << 20);
    ledger.setQuota(0, "t", {10, 40});
    ledger.handleReport(1000, "r#1", {{"t", 5, 0, 0, 0, 0, 20}}, true);
    ledger.handleReport(1001, "b", {{"t", 5, 0, 0, 0, 0, 20}}, true);
    ledger.handleReport(1300, "r#2", {}, true);
    if (isRetired) ledger.retireEarlierIncarnations(1900, "r#2");
    double grantedTokens = 0;
    for (Millis now = 1900; now <= 4600; now += 100) {
      ledger.handleReport(now, "r#2", {}, false);
      grantedTokens += ledger.handleReport(now, "b", {{"t", 5, 0, 0, 0, 100, 0}}, false).grants[0].tokens;
    }
    if (isRetired)
      EXPECT_GT(grantedTokens, 30);
    else
      EXPECT_LT(grantedTokens, 10);
    EXPECT_EQ(ledger.holderCount(5100), 2u);
  }
}

}  // namespace
}  // namespace lilacmux::test
