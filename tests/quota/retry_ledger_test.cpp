// Checks that all gatekeepers together stay within the retry budget, and that any of them can use all of it.
#include "quota/retry_ledger.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "quota/admission.hpp"
#include "quota/rate_meter.hpp"

namespace lilacmux::test {
namespace {

using Millis = double;

// Simulated gatekeepers that receive requests for one service at a constant rate and try to retry some of
// them.
class RetryingFleet {
 public:
  RetryingFleet(std::uint64_t seed, std::size_t gatekeepers) : random_(seed), nodes_(gatekeepers) {
    replaceLedger({});
    for (Node& node : nodes_) {
      node.budget.setLimitedTenants({"s"});
      node.nextReportAt = 250 * chance();
    }
  }
  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  void replaceLedger(const std::set<std::string>& unconfirmed) {
    ledger_.emplace(rule, now_, unconfirmed, ++ledgerCount_ << 32);
    for (Node& node : nodes_) node.isKnown = false;
  }

  // Runs for `span` ms. `retryFraction` is the fraction of requests for which a retry is attempted.
  void run(Millis span, double requestRate, double retryFraction) {
    for (const Millis until = now_ + span; now_ < until; now_ += 1) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        Node& node = nodes_[i];
        if (chance() < requestRate / static_cast<double>(nodes_.size()) / 1000) {
          node.requests.count("s");
          requests_.push_back(now_);
          if (chance() < retryFraction) retry(i);
        }
        if (now_ >= node.nextReportAt) report(node, i);
      }
      dropExpiredSamples();
      maxExcess = std::max(maxExcess, static_cast<double>(retries_.size()) -
                                          rule.ratio * static_cast<double>(requests_.size()) - rule.slack);
    }
  }
  // Attempts `count` retries at once at one gatekeeper, then repeats those not admitted three times, every 12
  // ms. Returns the number of admitted retries.
  std::size_t admittedOfBurst(std::size_t i, std::size_t count) {
    std::size_t notAdmitted = count;
    for (int attempt = 0; attempt < 4; ++attempt) {
      for (std::size_t pending = notAdmitted; pending > 0; --pending)
        if (retry(i)) --notAdmitted;
      run(12, 300, 0);
    }
    return count - notAdmitted;
  }
  void setPartitioned(std::size_t i, bool isPartitioned) { nodes_[i].isPartitioned = isPartitioned; }
  std::set<std::string> gatekeeperNames() const {
    std::set<std::string> out;
    for (std::size_t i = 0; i < nodes_.size(); ++i) out.insert("g" + std::to_string(i));
    return out;
  }

  const RetryRule rule{0.2, 62};
  double maxExcess = -1e9;  // most retries above the limit of the rule in any window of 10 s
  std::size_t retryCount = 0;

 private:
  struct Node {
    Admission budget;
    RateMeter requests;
    Millis nextReportAt = 0;
    bool isPartitioned = false, isKnown = false;
  };
  bool retry(std::size_t i) {
    Node& node = nodes_[i];
    const bool isAllowed = node.budget.tryAdmit(now_, "s", 0).admitted;
    if (node.budget.need() != Admission::Need::none)
      node.nextReportAt = std::min(node.nextReportAt, now_ + 10);
    if (!isAllowed) return false;
    node.budget.requestEnded(now_, "s", true);
    retries_.push_back(now_);
    ++retryCount;
    return true;
  }
  void report(Node& node, std::size_t i) {
    node.nextReportAt = now_ + 250;
    const auto demands = node.budget.demands(now_, node.isKnown ? ReportScope::delta : ReportScope::full);
    const auto rates = node.requests.perSecond(now_);
    if (node.isPartitioned) {
      node.isKnown = false;
      return node.budget.requestFailed();
    }
    const auto reply = ledger_->handleReport(now_, "g" + std::to_string(i), rates, demands, !node.isKnown);
    node.isKnown = reply.isHolderKnown;
    node.budget.responseReceived(now_, now_, now_ + ShareTiming{}.lease);
    for (const auto& grant : reply.grants) node.budget.applyGrant(now_, grant, reply.grantNumber);
  }
  void dropExpiredSamples() {
    while (!retries_.empty() && retries_.front() < now_ - 10000) retries_.pop_front();
    while (!requests_.empty() && requests_.front() < now_ - 10000) requests_.pop_front();
  }

  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::optional<RetryLedger> ledger_;
  std::deque<Millis> requests_, retries_;
  Millis now_ = 0;
  std::uint64_t ledgerCount_ = 0;
};

TEST(RetryLedgerTest, RetriesOfAllGatekeepersStayWithinTheBudgetWhenEveryRequestIsRetried) {
  for (std::uint64_t seed = 0; seed < 6; ++seed) {
    RetryingFleet fleet(seed, 11);
    fleet.run(10000, 300, 0.01);
    fleet.run(15000, 300, 1);
    EXPECT_LE(fleet.maxExcess, 0) << "seed " << seed;
    EXPECT_GT(fleet.retryCount, 700u) << "most of the retry budget must be usable";
  }
}

TEST(RetryLedgerTest, RetriesStayWithinTheBudgetAcrossLedgerReplacementAndPartitions) {
  for (std::uint64_t seed = 0; seed < 6; ++seed) {
    RetryingFleet fleet(seed, 11);
    fleet.run(10000, 300, 0.5);
    fleet.setPartitioned(seed, true);
    fleet.run(3000, 300, 1);
    fleet.replaceLedger(fleet.gatekeeperNames());
    fleet.run(4000, 300, 1);
    fleet.setPartitioned(seed, false);
    fleet.run(8000, 300, 1);
    EXPECT_LE(fleet.maxExcess, 0) << "seed " << seed;
  }
}

// When a server crashes, one gatekeeper may have many requests to retry while the budget is unused.
TEST(RetryLedgerTest, OneGatekeeperCanUseAllOfAnUnusedBudget) {
  RetryingFleet fleet(1, 15);
  fleet.run(15000, 300, 0.005);
  EXPECT_GE(fleet.admittedOfBurst(3, 20), 19u);
}

}  // namespace
}  // namespace lilacmux::test
