// The quota holds over all gatekeepers, whoever is partitioned and whatever is lost, and few requests inside
// it are rejected.
#include "quota/share_ledger.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "quota/admission.hpp"

namespace lilacmux::test {
namespace {

using Millis = double;

// One ledger and its gatekeepers under a simulated clock. Replies get lost, gatekeepers are partitioned, and
// the ledger is replaced, by seed.
class Fleet {
 public:
  Fleet(std::uint64_t seed, unsigned gatekeepers, double rate, double burst)
      : random_(seed), nodes_(gatekeepers), rate_(rate), burst_(burst) {
    replaceLedger({});
    for (Node& node : nodes_) {
      node.admission.setLimitedTenants({"t"});
      node.reportsAt = 250 * chance();
    }
  }

  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  void replaceLedger(const std::set<std::string>& unconfirmed) {
    ledger_.emplace(ShareLedger::Refill::byQuota, ShareTiming{}, now_, unconfirmed, ++ledgers_ << 32);
    for (Node& node : nodes_) node.known = false;
    ledger_->setQuotas(now_, {{"t", rule.quotaFor(rate_, burst_)}});
  }

  // `requestRate`: of all gatekeepers, shared out unevenly.
  void run(Millis span, double requestRate) {
    for (const Millis until = now_ + span; now_ < until; now_ += 1) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        Node& node = nodes_[i];
        const double mine = requestRate * 2 * static_cast<double>(i + 1) /
                            static_cast<double>(nodes_.size() * (nodes_.size() + 1));
        if (chance() < mine / 1000) arrive(node);
        if (now_ >= node.reportsAt) report(node, i);
      }
      while (!admitted_.empty() && admitted_.front() < now_ - 1000 * rule.windowSeconds)
        admitted_.pop_front();
      most = std::max(most, admitted_.size());
    }
  }
  std::set<std::string> names() const {
    std::set<std::string> out;
    for (std::size_t i = 0; i < nodes_.size(); ++i) out.insert("g" + std::to_string(i));
    return out;
  }
  void partition(std::size_t i, bool yes) { nodes_[i].isPartitioned = yes; }

  const QuotaRule rule{5, 0.1, 20};
  double lossRate = 0;  // share of replies that are lost
  std::size_t most = 0, asked = 0, rejected = 0;
  double allowed() const { return (rate_ * rule.windowSeconds + burst_) * (1 + rule.overage) + rule.slack; }

 private:
  struct Node {
    Admission admission;
    Millis reportsAt = 0;
    bool isPartitioned = false, known = false;
  };

  void arrive(Node& node) {
    ++asked;
    if (!node.admission.tryAdmit(now_, "t", chance()).admitted) {
      ++rejected;
    } else {
      admitted_.push_back(now_);
      node.admission.requestEnded(now_, "t", true);
    }
    if (node.admission.need() != Admission::Need::none) node.reportsAt = std::min(node.reportsAt, now_ + 10);
  }
  void report(Node& node, std::size_t i) {
    node.reportsAt = now_ + 250;
    const auto demands = node.admission.demands(now_, node.known ? ReportScope::delta : ReportScope::full);
    if (node.isPartitioned) return fail(node);
    const auto reply = ledger_->handleReport(now_, "g" + std::to_string(i), demands, !node.known);
    if (chance() < lossRate) return fail(node);
    node.known = reply.isHolderKnown;
    node.admission.responseReceived(now_, now_, now_ + ShareTiming{}.lease);
    for (const auto& grant : reply.grants) node.admission.applyGrant(now_, grant, reply.grantNumber);
  }
  void fail(Node& node) {
    node.known = false;
    node.admission.requestFailed();
  }

  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  const double rate_, burst_;
  std::optional<ShareLedger> ledger_;
  std::deque<Millis> admitted_;
  Millis now_ = 0;
  std::uint64_t ledgers_ = 0;
};

TEST(ShareLedgerTest, AFloodIsHeldToTheLimitAndUsesAllOfIt) {
  for (std::uint64_t seed = 0; seed < 4; ++seed) {
    Fleet fleet(seed, 11, 100, 100);
    fleet.run(12000, 700);
    EXPECT_LE(static_cast<double>(fleet.most), fleet.allowed()) << "seed " << seed;
    EXPECT_GE(static_cast<double>(fleet.asked - fleet.rejected), 0.95 * 100 * 12);
  }
}

TEST(ShareLedgerTest, TheLimitHoldsThroughPartitionsLostRepliesAndNewLedgers) {
  for (std::uint64_t seed = 0; seed < 6; ++seed) {
    Fleet fleet(seed, 9, 60, 60);
    fleet.lossRate = 0.1;
    fleet.run(3000, 60);
    for (int fault = 0; fault < 5; ++fault) {
      for (std::size_t i = 0; i < 9; ++i) fleet.partition(i, fleet.chance() < 0.4);
      fleet.run(1000 + 3000 * fleet.chance(), 500);
      if (fleet.chance() < 0.5) fleet.replaceLedger(fleet.names());
      for (std::size_t i = 0; i < 9; ++i) fleet.partition(i, false);
      fleet.run(2000 * fleet.chance(), 500);
    }
    EXPECT_LE(static_cast<double>(fleet.most), fleet.allowed()) << "seed " << seed;
  }
}

// Once all that may hold something have reported, a new ledger need not wait for any lease to expire.
TEST(ShareLedgerTest, ANewLedgerGrantsOnceAllHoldersHaveReported) {
  Fleet fleet(2, 5, 50, 50);
  fleet.run(5000, 40);
  fleet.replaceLedger(fleet.names());
  fleet.run(500, 40);
  const std::size_t asked = fleet.asked, rejected = fleet.rejected;
  fleet.run(3000, 40);
  EXPECT_LE(fleet.rejected - rejected, (fleet.asked - asked) / 10);
}

TEST(ShareLedgerTest, ADisconnectedGatekeeperUsesItsGrantedRateUntilItsLeaseExpires) {
  Fleet fleet(1, 3, 90, 90);
  fleet.run(4000, 60);
  for (std::size_t i = 0; i < 3; ++i) fleet.partition(i, true);
  const std::size_t before = fleet.asked - fleet.rejected;
  fleet.run(3000, 60);
  EXPECT_GE(fleet.asked - fleet.rejected - before, 100u);
  fleet.run(2000, 60);
  const std::size_t after = fleet.asked - fleet.rejected;
  fleet.run(2000, 60);
  EXPECT_EQ(fleet.asked - fleet.rejected, after) << "admitted without a lease";
}

TEST(ShareLedgerTest, WaitingRequestsAreServedAtOnceAndCountAsUsed) {
  ShareLedger ledger(ShareLedger::Refill::byQuota, ShareTiming{}, 0, {}, 1 << 20);
  ledger.setQuota(0, "t", {10, 10});
  ledger.handleReport(1000, "a", {{"t", 0, 0, 0, 0, 0, 0}}, true);
  const auto reply = ledger.handleReport(1010, "a", {{"t", 2, 0, 0, 0, 3, 0}}, false);
  ASSERT_EQ(reply.grants.size(), 1u);
  EXPECT_GE(reply.grants[0].tokens, 3);
  // Those three are gone, whatever is reported of them: only what was granted beyond them can come back.
  const double before = ledger.totals(1010, "t").reserve;
  ledger.handleReport(1010, "a", {{"t", 2, 0, 0, 0, 0, 0}}, false);
  EXPECT_NEAR(ledger.totals(1010, "t").reserve, before, 1e-6);
}

TEST(ShareLedgerTest, AnUnknownHolderMustSendAFullReportBeforeItIsGrantedAnything) {
  ShareLedger ledger(ShareLedger::Refill::byQuota, ShareTiming{}, 0, {"a"}, 1 << 20);
  ledger.setQuota(0, "t", {10, 10});
  const auto reply = ledger.handleReport(500, "a", {{"t", 1, 0, 0, 0, 1, 2}}, false);
  EXPECT_FALSE(reply.isHolderKnown);
  EXPECT_TRUE(reply.grants.empty());
  EXPECT_TRUE(ledger.handleReport(510, "a", {{"t", 1, 0, 5, 7, 1, 2}}, true).isHolderKnown);
  EXPECT_GT(ledger.handleReport(900, "a", {{"t", 1, 0, 5, 7, 1, 2}}, false).grants[0].tokens, 0);
}

// A report inspects the tenants that it names, whatever the number of the others.
TEST(ShareLedgerTest, AReportCostsByTheTenantsThatItNames) {
  for (const int others : {5, 50, 500}) {
    ShareLedger ledger(ShareLedger::Refill::byQuota, ShareTiming{}, 0, {}, 0);
    for (int t = 0; t < others; ++t) ledger.setQuota(0, "t" + std::to_string(t), {10, 10});
    for (int h = 0; h < others; ++h)
      ledger.handleReport(1, "h" + std::to_string(h), {{"t1", 1, 0, 0, 0, 0, 2}}, true);
    const auto before = ledger.inspectedCount();
    ledger.handleReport(2, "h3", {{"t1", 1, 0, 0, 0, 1, 2}}, false);
    EXPECT_LE(ledger.inspectedCount() - before, 2u) << others;
  }
}

TEST(ShareLedgerTest, WhatAHolderReturnsAsItLeavesIsThereForOthersAtOnce) {
  ShareLedger ledger(ShareLedger::Refill::byQuota, {}, 0, {}, 1 << 20);
  ledger.setQuota(0, "t", {10, 40});
  ledger.handleReport(0, "a", {}, true);
  ledger.handleReport(4000, "b", {}, true);
  ledger.handleReport(4000, "a", {}, true);
  const auto granted = ledger.handleReport(4001, "a", {{"t", 5, 0, 0, 0, 0, 28}}, false);
  ASSERT_NEAR(granted.grants[0].tokens, 28, 0.5);
  const double offered = granted.grants[0].rate;
  ledger.handleReport(4010, "a", {{"t", 5, 28, offered, granted.grantNumber, 0, 28}}, false);
  const double before = ledger.handleReport(4020, "b", {{"t", 5, 0, 0, 0, 30, 0}}, false).grants[0].tokens;
  EXPECT_LT(before, 13);
  ledger.release(4030, "a", {{"t", 0, 3, 0, granted.grantNumber, 0, 0, 25}});
  const auto after = ledger.handleReport(4031, "b", {{"t", 5, 0, 0, 0, 30, 0}}, false).grants[0].tokens;
  EXPECT_NEAR(after, 25, 0.5);
  EXPECT_LE(ledger.totals(4031, "t").reserve, 40.5);
  // No holder returns more than it had.
  ledger.release(4040, "b", {{"t", 0, 0, 0, 0, 0, 0, 1000}});
  EXPECT_LE(ledger.totals(4040, "t").reserve, 41);
}

// Nor does its granted rate take part of the refill for as long as its lease would have lasted.
TEST(ShareLedgerTest, NothingIsSetAsideForAHolderThatHasLeft) {
  for (const bool releases : {false, true}) {
    ShareLedger ledger(ShareLedger::Refill::byQuota, {}, 0, {}, 1 << 20);
    ledger.setQuota(0, "t", {10, 40});
    for (const char* name : {"a", "b"}) ledger.handleReport(1000, name, {{"t", 5, 0, 0, 0, 0, 20}}, true);
    ledger.handleReport(1001, "a", {{"t", 5, 5, 0, 0, 0, 0}}, false);
    if (releases) ledger.release(1002, "a", {});
    double taken = 0;
    for (Millis now = 1100; now <= 4600; now += 100)
      taken += ledger.handleReport(now, "b", {{"t", 5, 0, 0, 0, 100, 0}}, false).grants[0].tokens;
    if (releases)
      EXPECT_GT(taken, 34);
    else
      EXPECT_LT(taken, 30);
  }
}

// Nor for an incarnation that another of the same name has followed, once that has heard of all its
// sub-grants.
TEST(ShareLedgerTest, NothingIsSetAsideForARetiredIncarnation) {
  for (const bool retires : {false, true}) {
    ShareLedger ledger(ShareLedger::Refill::byQuota, {}, 0, {}, 1 << 20);
    ledger.setQuota(0, "t", {10, 40});
    ledger.handleReport(1000, "r#1", {{"t", 5, 0, 0, 0, 0, 20}}, true);
    ledger.handleReport(1001, "b", {{"t", 5, 0, 0, 0, 0, 20}}, true);
    ledger.handleReport(1300, "r#2", {}, true);
    if (retires) ledger.retireEarlierIncarnations(1900, "r#2");
    double taken = 0;
    for (Millis now = 1900; now <= 4600; now += 100) {
      ledger.handleReport(now, "r#2", {}, false);
      taken += ledger.handleReport(now, "b", {{"t", 5, 0, 0, 0, 100, 0}}, false).grants[0].tokens;
    }
    if (retires)
      EXPECT_GT(taken, 30);
    else
      EXPECT_LT(taken, 10);
    EXPECT_EQ(ledger.holderCount(5100), 2u);
  }
}

}  // namespace
}  // namespace lilacmux::test
