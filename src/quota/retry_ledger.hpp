// The retry budgets: one per service, shared by all gatekeepers. A retry is another attempt at another
// server. Retries are limited to a fraction of the service's requests plus a fixed slack. A budget is granted
// in the same way as a quota (`ShareLedger`), at a rate that follows the request rates that the relays
// report. A state machine without a clock. Times are ms.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "quota/request_sums.hpp"
#include "quota/share_ledger.hpp"

namespace lilacmux {

struct RetryRule {
  double ratio = 0;  // retries per request, 0 or more
  double slack = 0;  // retries allowed in any window in addition to the ratio, 0 or more
  // Returns whether retries are limited. They are not if both values are 0.
  bool isEnabled() const { return ratio > 0 || slack > 0; }
};

class RetryLedger {
 public:
  using Millis = ShareLedger::Millis;
  using Rates = RequestRateSums::Rates;

  // `unconfirmed` and `firstGrant` are as for `ShareLedger`.
  RetryLedger(const RetryRule& rule, Millis now, const std::set<std::string>& unconfirmed,
              std::uint64_t firstGrant);

  // Handles the report of a holder. `requests` are the holder's recent request rates by service, `demands`
  // its demands of the budgets.
  GrantReply handleReport(Millis now, const std::string& holder, const Rates& requests,
                          const std::vector<ShareDemand>& demands, bool isFull);

  void release(Millis now, const std::string& holder, const std::vector<ShareDemand>& finalReport);
  // Records that this incarnation of a relay has received reports of all sub-grants of earlier incarnations.
  void confirmIncarnation(Millis now, const std::string& relay);

 private:
  const RetryRule rule_;
  ShareLedger shares_;
  RequestRateSums requests_;
};

}  // namespace lilacmux
