// The budget of further tries, one a service, held over all gatekeepers together: of the requests that come
// for a service a share may be sent to a second server, and some more at once. It is lent as quotas are
// (ShareLedger), with a rate that follows the requests that the gatekeepers report. A state machine without a
// clock.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/shares.hpp"

namespace lilacmux {

struct RetryRule {
  double ratio = 0;  // further tries a request
  double slack = 0;  // and so many beyond that in any window; 0 with no ratio: nothing is limited
  bool limits() const { return ratio > 0 || slack > 0; }
};

class RetryLedger {
 public:
  using Millis = ShareLedger::Millis;
  using Rates = std::map<std::string, double>;  // requests a second, by service

  RetryLedger(const RetryRule& rule, Millis now, const std::set<std::string>& awaited)
      : rule_(rule), shares_(timing(), now, awaited) {}

  // One gatekeeper's turn: what came there lately, and what it holds of each budget.
  std::vector<ShareLedger::Grant> turn(Millis now, const std::string& gatekeeper, const Rates& requests,
                                       const std::vector<ShareLedger::Demand>& demands, std::uint64_t& grant);

 private:
  struct Report {
    Millis at = 0;
    Rates requests;
  };

  // Further tries come seldom and in crowds: little lies idle, most goes at once to whoever needs it.
  static ShareLedger::Timing timing() {
    ShareLedger::Timing out;
    out.leastStock = 1;
    return out;
  }

  const RetryRule rule_;
  ShareLedger shares_;
  std::map<std::string, Report> reports_;  // by gatekeeper
  std::set<std::string> services_;         // all that were ever reported
};

}  // namespace lilacmux
