// The retry budget holds over all gatekeepers together, and is there for whoever needs it.
#include "quota/retry_ledger.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "quota/admission.hpp"
#include "quota/rate_meter.hpp"

namespace lilacmux::test {
namespace {

using Millis = double;

// Gatekeepers that get requests for one service at an even rate, and would retry some of them.
class RetryingFleet {
 public:
  RetryingFleet(std::uint64_t seed, std::size_t gatekeepers) : random_(seed), nodes_(gatekeepers) {
    replaceLedger({});
    for (Node& node : nodes_) {
      node.budget.setLimitedTenants({"s"});
      node.reportsAt = 250 * chance();
    }
  }
  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  void replaceLedger(const std::set<std::string>& unconfirmed) {
    ledger_.emplace(rule, now_, unconfirmed, ++ledgers_ << 32);
    for (Node& node : nodes_) node.known = false;
  }

  // `share`: of the requests, those that would be retried.
  void run(Millis span, double requestRate, double share) {
    for (const Millis until = now_ + span; now_ < until; now_ += 1) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        Node& node = nodes_[i];
        if (chance() < requestRate / static_cast<double>(nodes_.size()) / 1000) {
          node.requests.count("s");
          requests_.push_back(now_);
          if (chance() < share) retry(i);
        }
        if (now_ >= node.reportsAt) report(node, i);
      }
      dropOld();
      worst = std::max(worst, static_cast<double>(retries_.size()) -
                                  rule.ratio * static_cast<double>(requests_.size()) - rule.slack);
    }
  }
  // One gatekeeper has so many retries at once, and checks for tokens every 12 ms three times more.
  std::size_t burst(std::size_t i, std::size_t count) {
    std::size_t left = count;
    for (int check = 0; check < 4; ++check) {
      for (std::size_t pending = left; pending > 0; --pending)
        if (retry(i)) --left;
      run(12, 300, 0);
    }
    return count - left;
  }
  void partition(std::size_t i, bool yes) { nodes_[i].isPartitioned = yes; }
  std::set<std::string> names() const {
    std::set<std::string> out;
    for (std::size_t i = 0; i < nodes_.size(); ++i) out.insert("g" + std::to_string(i));
    return out;
  }

  const RetryRule rule{0.2, 62};
  double worst = -1e9;  // retries beyond what the rule allows, in the worst window of 10 s
  std::size_t retried = 0;

 private:
  struct Node {
    Admission budget;
    RateMeter requests;
    Millis reportsAt = 0;
    bool isPartitioned = false, known = false;
  };
  bool retry(std::size_t i) {
    Node& node = nodes_[i];
    const bool isAllowed = node.budget.tryAdmit(now_, "s", 0).admitted;
    if (node.budget.need() != Admission::Need::none) node.reportsAt = std::min(node.reportsAt, now_ + 10);
    if (!isAllowed) return false;
    node.budget.requestEnded(now_, "s", true);
    retries_.push_back(now_);
    ++retried;
    return true;
  }
  void report(Node& node, std::size_t i) {
    node.reportsAt = now_ + 250;
    const auto demands = node.budget.demands(now_, node.known ? ReportScope::delta : ReportScope::full);
    const auto rates = node.requests.perSecond(now_);
    if (node.isPartitioned) {
      node.known = false;
      return node.budget.requestFailed();
    }
    const auto reply = ledger_->handleReport(now_, "g" + std::to_string(i), rates, demands, !node.known);
    node.known = reply.isHolderKnown;
    node.budget.responseReceived(now_, now_, now_ + ShareTiming{}.lease);
    for (const auto& grant : reply.grants) node.budget.applyGrant(now_, grant, reply.grantNumber);
  }
  void dropOld() {
    while (!retries_.empty() && retries_.front() < now_ - 10000) retries_.pop_front();
    while (!requests_.empty() && requests_.front() < now_ - 10000) requests_.pop_front();
  }

  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::optional<RetryLedger> ledger_;
  std::deque<Millis> requests_, retries_;
  Millis now_ = 0;
  std::uint64_t ledgers_ = 0;
};

TEST(RetryLedgerTest, TheBudgetHoldsOverAllGatekeepersWhereEveryRequestWouldBeRetried) {
  for (std::uint64_t seed = 0; seed < 6; ++seed) {
    RetryingFleet fleet(seed, 11);
    fleet.run(10000, 300, 0.01);
    fleet.run(15000, 300, 1);
    EXPECT_LE(fleet.worst, 0) << "seed " << seed;
    EXPECT_GT(fleet.retried, 700u) << "most of what the rule allows is there to be used";
  }
}

TEST(RetryLedgerTest, TheBudgetHoldsThroughNewLedgersAndPartitions) {
  for (std::uint64_t seed = 0; seed < 6; ++seed) {
    RetryingFleet fleet(seed, 11);
    fleet.run(10000, 300, 0.5);
    fleet.partition(seed, true);
    fleet.run(3000, 300, 1);
    fleet.replaceLedger(fleet.names());
    fleet.run(4000, 300, 1);
    fleet.partition(seed, false);
    fleet.run(8000, 300, 1);
    EXPECT_LE(fleet.worst, 0) << "seed " << seed;
  }
}

// A server that dies leaves one gatekeeper with many requests to retry, while the budget is unused.
TEST(RetryLedgerTest, OneGatekeeperCanUseAllOfAnUnusedBudget) {
  RetryingFleet fleet(1, 15);
  fleet.run(15000, 300, 0.005);
  EXPECT_GE(fleet.burst(3, 20), 19u);
}

}  // namespace
}  // namespace lilacmux::test
