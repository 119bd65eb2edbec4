// The messages of the follow protocol: a gateway sends requests to a relay, a relay to the primary. A request
// reports the follower's position and holdings; the response contains the changes since that position and new
// grants. follow_codec.hpp encodes them as frames.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "discovery/core_view.hpp"
#include "fleet/change_log.hpp"
#include "ownership/key_load.hpp"
#include "ownership/owner_directory.hpp"
#include "quota/request_sums.hpp"
#include "quota/share_messages.hpp"

namespace lilacmux {

// Where a relay listens for gateways.
struct RelayEndpoint {
  std::string address;  // ip:port, internal
  std::string zone;
  bool operator==(const RelayEndpoint&) const = default;
};

// The part of a follow request that only relays send.
struct RelayReport {
  std::string address;  // ip:port, internal
  std::size_t gatewayCount = 0;
  // Whether the gateways have had time to report the grants of earlier incarnations of this relay.
  bool priorGrantsReported = false;
};

struct FollowRequest {
  std::string name;
  std::string zone;
  ListPosition position;       // of the follower's server list
  std::uint64_t revision = 0;  // of the follower's configuration
  // Whether the response may contain a configuration packed against that revision, and a packed server list.
  bool acceptsPacked = false;
  bool full = false;  // `demands` report all holdings; otherwise only changed or urgent ones
  // Whether this is the last request to this peer. The demands then report the tokens that are returned and
  // the holdings that the follower retains.
  bool detaching = false;
  std::vector<ShareDemand> demands;       // for the quotas of tenants
  RequestRateSums::Rates requestRates;    // by service, requests per second
  std::vector<ShareDemand> retryDemands;  // for the retry budgets of services
  std::uint64_t relayListHash = 0;        // of the follower's relay list; 0: none
  std::uint64_t ownershipVersion = 0;     // of the follower's owner directory
  KeyCounts keyCounts;                    // requests by key since the last report
  std::optional<RelayReport> relay;       // set if the follower is a relay
};

// Grants of one ledger. They share one number, which the holder acknowledges in its later demands.
struct GrantBatch {
  std::uint64_t number = 0;
  std::vector<ShareGrant> grants;
};

struct FollowResponse {
  // Target of a redirect. With epoch 0 and no leader, the follower is redirected without a known target.
  std::string leader;       // ip:port; empty: unknown, or not a redirect
  std::uint64_t epoch = 0;  // of the primary from which the data comes; 0: redirect
  CoreView core;            // the responder's view of the core

  // Time since the data was requested from the primary, ms. 0 in responses of the primary itself.
  double ageMs = 0;
  // Time by which the age of the server list exceeds the age that a gateway's lease allows for, ms, at least
  // 0. Absent if the primary has not read the list since it took over, so that its age is unknown.
  std::optional<double> listAgeMs = 0;
  ChangeLog::Delta delta;
  std::size_t gatewayCount = 0;  // in the whole system
  // Whether the responder's ledgers have a record of the follower's holdings. If not, the follower receives
  // no grants until it has sent a full report.
  bool holdingsKnown = true;
  GrantBatch quotaGrants;  // by tenant
  GrantBatch retryGrants;  // by service
  std::uint64_t relayListHash = 0;
  std::vector<RelayEndpoint> relays;  // in order of preference; empty: the follower already has this list
  std::optional<OwnershipDelta> ownership;  // absent: the follower has all changes
};

}  // namespace lilacmux
