// Shares of the tenants' quotas. The primary keeps one bucket a tenant and hands its tokens out to the
// gatekeepers, each of which holds a small stock, sized by its demand, and asks for more before it is empty.
// Beside that each is lent a part of the tenant's rate, which it goes by only while it hears nothing. What is
// in the bucket, in all stocks, and what silent gatekeepers may go by never exceeds the limit together, so
// the limit holds whoever is cut off; a stock and a lent rate end by themselves. A state machine without a
// clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lilacmux {

// What may be let in of one tenant in all.
struct Quota {
  double rate = 0;   // requests a second
  double burst = 0;  // requests at once
};

// The most that the rule allows within its window, put into a rate and a burst.
struct QuotaRule {
  double windowS = 5;
  double overage = 0;
  double slack = 0;
  double kept = 0.35;  // of what the rule allows beyond the limit, not used
  Quota within(double ratePerS, double burst) const;
};

class ShareLedger {
 public:
  using Millis = double;

  // Both sides go by these.
  struct Timing {
    Millis lease = 4000;         // a gatekeeper's stock and rate end so long after it last asked
    Millis aloneAfter = 600;     // after it last asked, one that has heard nothing goes by its lent rate
    Millis reservedAfter = 450;  // and the ledger counts on that from here on
    double leastStock = 2;       // tokens that an idle gatekeeper is to hold
  };

  // What a gatekeeper says of one tenant.
  struct Demand {
    std::string tenant;
    double perS = 0;          // requests that came lately, let in or not
    double stock = 0;         // tokens that it holds
    double rate = 0;          // its lent rate
    std::uint64_t grant = 0;  // the newest grant that it has taken in; 0: none
  };
  struct Grant {
    std::string tenant;
    double tokens = 0;  // to be added to the stock; below 0: to be given back
    double rate = 0;    // lent
  };

  // `awaited`: gatekeepers that may go by rates that the ledger before this one has lent. Until all of them
  // have been heard, or their leases have ended, only the rates of those that were fill the buckets.
  ShareLedger(const Timing& timing, Millis now, std::set<std::string> awaited)
      : timing_(timing), quietUntil_(now + timing.lease), awaited_(std::move(awaited)), at_(now) {}

  void limits(Millis now, const std::map<std::string, Quota>& quotas);
  // One gatekeeper's turn.
  std::vector<Grant> turn(Millis now, const std::string& gatekeeper, const std::vector<Demand>& demands,
                          std::uint64_t& grant);
  std::size_t gatekeepers(Millis now) const;
  // Whether this gatekeeper can hold nothing: it was not heard for a lease's time.
  bool isGone(Millis now, const std::string& gatekeeper) const {
    return !isQuiet(now) && !heard_.contains(gatekeeper);
  }

 private:
  struct Holding {
    double perS = 0;
    double stock = 0;
    double given = 0;  // on its way, until it is confirmed
    double rate = 0, offered = 0;
    std::uint64_t grant = 0;
    Millis heardAt = 0;
  };
  struct Ledger {
    Quota quota;
    double bucket = 0;
    std::map<std::string, Holding> holdings;  // by gatekeeper
    double out() const;                       // in stocks and on the way
  };
  bool isQuiet(Millis now) const { return !awaited_.empty() && now < quietUntil_; }
  void advance(Millis now);
  void fill(Ledger& ledger, Millis now) const;
  void hear(Ledger& ledger, Holding& holding, const Demand* demand, bool known) const;
  double rateFor(const Ledger& ledger, const std::string& gatekeeper) const;
  double tokensFor(const Ledger& ledger, const Holding& holding) const;

  const Timing timing_;
  const Millis quietUntil_;
  std::set<std::string> awaited_;
  Millis at_;
  std::map<std::string, Ledger> ledgers_;  // by tenant
  std::map<std::string, Millis> heard_;    // gatekeepers
  std::uint64_t lastGrant_ = 0;
};

}  // namespace lilacmux
