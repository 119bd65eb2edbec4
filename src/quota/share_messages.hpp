// What a ledger of shares and its grant holders exchange: demands of a holder, grants of the ledger. A holder
// is a relay (of the primary's ledger) or a gatekeeper (of a relay's). The codec is in fleet/wire.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lilacmux {

// What a holder reports of one tenant.
struct ShareDemand {
  std::string tenant;
  double requestRate = 0;         // requests a second that came lately, admitted or not
  double reserve = 0;             // tokens that it holds, those that it has sub-granted included
  double grantedRate = 0;         // tokens a second that it may use while it is disconnected
  std::uint64_t grantNumber = 0;  // the newest grant that it has applied; 0: none
  double waitingRequests = 0;     // requests that wait for a token now
  double requestedTokens = 0;     // the reserve that its demand calls for; 0: none beside `waiting`
  double returnedTokens = 0;      // tokens that it gives back as it leaves
};

// What the ledger gives the holder of one tenant.
struct ShareGrant {
  std::string tenant;
  double tokens = 0;          // to be added to the reserve; below 0: to be given back
  double rate = 0;            // tokens a second, for while it is disconnected
  bool moreExpected = false;  // tokens for requests that still wait may come within some ms
};

// The ledger's reply to one report.
struct GrantReply {
  bool isHolderKnown = true;  // false: nothing is granted before the holder has sent a full report
  std::uint64_t grantNumber = 0;
  std::vector<ShareGrant> grants;  // one for each demand of the report, in its order
};

// Which of its tenants a holder reports.
enum class ReportScope {
  full,    // all of them
  delta,   // those that changed since they were reported
  urgent,  // those alone that need tokens at once
};

// A holder's name may end in `#` and the number of its process's incarnation, as a relay's grants outlive the
// process. The name without that.
std::string nameWithoutIncarnation(const std::string& holder);

}  // namespace lilacmux
