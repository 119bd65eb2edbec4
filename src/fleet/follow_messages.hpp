// The messages between followers and those that they follow: a gateway asks a relay, a relay asks the
// primary. Each request reports what the follower holds, and the response brings what it lacks. How they are
// written to frames is in follow_codec.hpp.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "discovery/core_view.hpp"
#include "fleet/change_log.hpp"
#include "quota/request_sums.hpp"
#include "quota/share_messages.hpp"

namespace lilacmux {

// Where a relay listens for gateways.
struct RelayEndpoint {
  std::string address;  // ip:port, internal
  std::string zone;
  bool operator==(const RelayEndpoint&) const = default;
};

// What a relay says about itself, in addition to what every follower says.
struct RelayReport {
  std::string address;  // ip:port, internal
  std::size_t gatewayCount = 0;
  // Its gateways have had the time to report what earlier incarnations of this relay granted them.
  bool priorGrantsReported = false;
};

struct FollowRequest {
  std::string name;
  std::string zone;
  ListPosition position;       // of the server list that it has
  std::uint64_t revision = 0;  // of the configuration that it has
  // A configuration may come packed against that revision, and a server list packed.
  bool acceptsPacked = false;
  bool full = false;  // `demands` name all that it holds; otherwise only what has changed, or is urgent
  // It stops following here: the demands say what it gives back and what it still answers for.
  bool detaching = false;
  std::vector<ShareDemand> demands;       // of the tenants' quotas
  RequestRateSums::Rates requestRates;    // requests per second, by service
  std::vector<ShareDemand> retryDemands;  // of the services' retry budgets
  std::uint64_t relayListHash = 0;        // of the relay list that it has; 0: none
  std::optional<RelayReport> relay;       // set: the follower is a relay
};

// Grants of one ledger, all with the same number, which the holder confirms by its later demands.
struct GrantBatch {
  std::uint64_t number = 0;
  std::vector<ShareGrant> grants;
};

struct FollowResponse {
  // Where to ask instead. With epoch 0 and no leader: elsewhere, but it is not known where.
  std::string leader;       // ip:port; empty: not known, or not needed
  std::uint64_t epoch = 0;  // of the primary that the response rests on; 0: the follower must ask elsewhere
  CoreView core;            // as the responder knows it

  // How long ago the primary was asked for what this response rests on, ms. 0 from the primary itself.
  double ageMs = 0;
  // By how much the server list is older than a gateway's lease allows for, ms, from 0 on. Absent: the
  // primary has not read the list since it took over and knows nothing of its age.
  std::optional<double> listAgeMs = 0;
  ChangeLog::Delta delta;
  std::size_t gatewayCount = 0;  // in the whole system
  // Whether the ledgers here know what the follower holds. If not, it must send a full report before it is
  // granted anything.
  bool holdingsKnown = true;
  GrantBatch quotaGrants;  // by tenant
  GrantBatch retryGrants;  // by service
  std::uint64_t relayListHash = 0;
  std::vector<RelayEndpoint> relays;  // the best to ask first; empty: the follower has this list
};

}  // namespace lilacmux
