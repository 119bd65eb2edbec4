// The work that a control node does only while it is the primary: maintains the change log that relays follow
// and the ledgers of grants, watches the platform's server list, and replicates the names of new grant
// holders. The role begins with the first state that is known to be committed and ends when primacy is lost.
//
// Runs on the thread of the io_context, which must outlive it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "consensus/replica.hpp"
#include "control/ownership_role.hpp"
#include "fleet/platform_watcher.hpp"
#include "fleet/primary_service.hpp"
#include "settings/settings.hpp"

namespace lilacmux {

// Address and request rate of the platform's API, which lists the servers.
struct PlatformEndpoint {
  std::optional<Endpoint> address;  // none: no server list is read
  double maxRequestsPerS = 1;
};

class PrimaryRole {
 public:
  using Log = std::function<void(const std::string&)>;

  struct Status {
    std::uint64_t logPosition = 0;
    std::uint64_t revision = 0;  // revision of the configuration in the log
    std::size_t relays = 0;      // relays that follow the log
    OwnershipRole::Status ownership;
  };

  // `onProposalDue` is called when there is something for `propose`. `mayAct`: whether this process is the
  // primary and holds its lease.
  PrimaryRole(boost::asio::io_context& io, const NodeSettings& settings, std::function<void()> onProposalDue,
              std::function<bool()> mayAct, Log log);

  // To be called at the primary with each committed state: begins the role unless it is active, and puts the
  // committed configuration into the change log. `followed`: the log that this process has received from
  // earlier primaries; a new primary continues it.
  void apply(Millis now, std::uint64_t epoch, const ChangeLog& followed, const ReplicatedState& committed);
  // Ends the role. May be called from a handler of the platform watcher.
  void end();
  bool isActive() const { return primary_ != nullptr; }

  // Replaces the platform's address and rate (after a reload of the settings). While the role is active, a
  // new address takes effect at once, and a new rate only with the next new address. Returns whether the
  // address has changed.
  bool setPlatform(const PlatformEndpoint& platform);

  // Fills in the response to a relay. Must only be called while the role is active. A relay gets no grant
  // before its name has been replicated; a name that has not been is queued for `propose`.
  void fillResponse(Millis now, const FollowRequest& request, const ReplicatedState& committed,
                    FollowResponse& response);
  // Proposes what the role has to replicate: the names of grant holders first, then the ownership of keys.
  void propose(Millis now, Replica& replica);

  // Returns nothing while the role is not active.
  std::optional<Status> status(Millis now) const;
  // Returns how often the role has begun since the start of the process.
  std::uint64_t activationCount() const { return activationCount_; }

 private:
  // Proposes to replicate the queued names, if there are any and the replica can propose: the next primary
  // must receive a report from each named grant holder first. The same change drops the holders for which
  // `PrimaryService::hasExpired` is true: none during the recovery period, and after it those that the ledger
  // of quotas does not know. That ledger does not know a holder before its first full report, nor after the
  // holder has released all grants or its lease has expired.
  void proposeGrantHolders(Millis now, Replica& replica);
  void begin(Millis now, std::uint64_t epoch, const ChangeLog& followed, const ReplicatedState& committed);
  void watchPlatform();

  boost::asio::io_context& io_;
  const ServiceBounds bounds_;
  PlatformEndpoint platform_;
  const std::function<void()> onProposalDue_;
  const std::function<bool()> mayAct_;
  const Log log_;
  std::unique_ptr<PrimaryService> primary_;   // while active
  std::unique_ptr<OwnershipRole> ownership_;  // while active
  std::unique_ptr<PlatformWatcher> watcher_;  // while active, if there is an address
  std::set<std::string> unreplicatedGrantHolders_;
  // Dropped by the pending proposal. They get no grants: once it is committed, the next primary does not
  // wait for their reports.
  std::set<std::string> proposedForRemoval_;
  std::uint64_t activationCount_ = 0;
  bool configured_ = false;  // the committed configuration has been applied since the role began
};

}  // namespace lilacmux
