// Messages between a ledger of shares and its grant holders: a holder sends demands, the ledger answers with
// grants. The holders of the primary's ledger are relays, those of a relay's ledger are gatekeepers. The
// codec is in fleet/follow_codec.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lilacmux {

// A holder's report about one tenant.
struct ShareDemand {
  std::string tenant;
  double requestRate = 0;         // recent requests per second, admitted or not
  double reserve = 0;             // tokens at the holder, including its sub-grants
  double grantedRate = 0;         // tokens per second that the holder may use while disconnected
  std::uint64_t grantNumber = 0;  // newest grant that the holder has applied; 0 if none
  double waitingRequests = 0;     // requests that wait for a token now
  double requestedTokens = 0;  // reserve that the demand calls for; 0 if only `waitingRequests` need tokens
  double returnedTokens = 0;   // tokens that the holder returns as it shuts down
};

// The ledger's grant to the holder for one tenant.
struct ShareGrant {
  std::string tenant;
  double tokens = 0;          // tokens to add to the reserve; below 0 if the holder must return tokens
  double rate = 0;            // tokens per second that the holder may use while disconnected
  bool moreExpected = false;  // tokens for the requests that still wait may arrive within some ms
};

// The ledger's reply to one report.
struct GrantReply {
  bool isHolderKnown = true;  // if false, the holder must send a full report before it is granted anything
  std::uint64_t grantNumber = 0;
  std::vector<ShareGrant> grants;  // one for each demand of the report, in the same order
};

// The tenants that a report covers.
enum class ReportScope {
  full,    // all tenants of the holder
  delta,   // the tenants that changed since they were last reported
  urgent,  // only the tenants that need tokens at once
};

// Returns the holder's name without its incarnation. A relay's grants outlive its process, so a holder's name
// may end in `#` and the number of the incarnation of its process.
std::string nameWithoutIncarnation(const std::string& holder);

}  // namespace lilacmux
