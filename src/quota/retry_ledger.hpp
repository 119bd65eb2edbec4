// The retry budgets, one a service, over all gatekeepers together: retries (further attempts at another
// server) may be a part of the service's requests, and some more at once. A budget is granted as a quota is
// (`ShareLedger`), with a rate that follows the requests that the relays report. A state machine without a
// clock; times are ms.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "quota/request_sums.hpp"
#include "quota/share_ledger.hpp"

namespace lilacmux {

struct RetryRule {
  double ratio = 0;  // retries a request, 0 or more
  double slack = 0;  // retries beyond that in any window, 0 or more
  // Both 0: retries are not limited.
  bool isEnabled() const { return ratio > 0 || slack > 0; }
};

class RetryLedger {
 public:
  using Millis = ShareLedger::Millis;
  using Rates = RequestRateSums::Rates;

  // `unconfirmed` and `firstGrant` as for `ShareLedger`.
  RetryLedger(const RetryRule& rule, Millis now, const std::set<std::string>& unconfirmed,
              std::uint64_t firstGrant);

  // A holder's report: the requests that came there lately, and what it has of each budget.
  GrantReply handleReport(Millis now, const std::string& holder, const Rates& requests,
                          const std::vector<ShareDemand>& demands, bool isFull);

  void release(Millis now, const std::string& holder, const std::vector<ShareDemand>& rest);
  // This incarnation of a relay has heard of all that earlier ones sub-granted.
  void confirmIncarnation(Millis now, const std::string& relay);

 private:
  const RetryRule rule_;
  ShareLedger shares_;
  RequestRateSums requests_;
};

}  // namespace lilacmux
