// Shares of the tenants' quotas, lent to gatekeepers for a time: the rate and the burst that one of them may
// let in. What is lent at any moment, to all together and counting what a silent one may still use, never
// sums to more than the tenant's limit; so the limit holds whoever is cut off. A state machine without a
// clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lilacmux {

struct Share {
  double rate = 0;   // requests a second
  double burst = 0;  // requests at once
};

// What may be lent of one tenant in all.
struct Quota {
  double rate = 0;
  double burst = 0;
};

// The most that the rule allows within its window, put into a rate and a burst: what the operators allow
// beyond the limit itself is used for bursts, which many small buckets need more of than one large one.
struct QuotaRule {
  double windowS = 5;
  double overage = 0;
  double slack = 0;
  double kept = 0.3;  // of what the rule allows beyond the limit, not used
  Quota within(double ratePerS, double burst) const;
};

class ShareLedger {
 public:
  using Millis = double;
  struct Demand {
    std::string tenant;
    double perS = 0;          // requests that came lately, let in or not
    Share held;               // what the gatekeeper goes by
    std::uint64_t grant = 0;  // the number of the grant that told it so; 0: none
  };
  struct Grant {
    std::string tenant;
    Share share;
  };

  // `quietUntil`: until then shares that are unknown to this ledger may be out, so that only what gatekeepers
  // say they hold is lent on.
  ShareLedger(Millis lease, Millis quietUntil) : lease_(lease), quietUntil_(quietUntil) {}

  void limits(std::map<std::string, Quota> quotas);
  // One gatekeeper's turn. The shares are its own for `lease` ms from when it asked; `grant` numbers them.
  std::vector<Grant> turn(Millis now, const std::string& gatekeeper, const std::vector<Demand>& demands,
                          std::uint64_t& grant);
  double lent(Millis now, const std::string& tenant) const;  // the rate that is out
  std::size_t gatekeepers(Millis now) const;

 private:
  struct Holding {
    double perS = 0;
    Share confirmed;  // it may go by this one
    Share offered;    // or by this one, once it has come through
    std::uint64_t grant = 0;
    Millis until = 0;
    Share most() const;
  };
  struct Ledger {
    Quota quota;
    std::map<std::string, Holding> holdings;  // by gatekeeper
  };
  Share want(const Ledger& ledger, const std::string& gatekeeper) const;
  Share lend(Millis now, Ledger& ledger, const std::string& gatekeeper) const;

  const Millis lease_, quietUntil_;
  std::map<std::string, Ledger> ledgers_;  // by tenant
  std::map<std::string, Millis> seen_;     // gatekeepers
  std::uint64_t lastGrant_ = 0;
};

}  // namespace lilacmux
