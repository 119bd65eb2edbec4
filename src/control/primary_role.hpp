// What a control node does only while it is the primary: keeps the change log that relays follow and the
// ledgers of grants, watches the platform's server list, and has the names of new grant holders replicated.
// The role begins with the first state that is known to be committed and ends when primacy is lost.
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
#include "fleet/platform_watcher.hpp"
#include "fleet/primary_service.hpp"
#include "settings/settings.hpp"

namespace lilacmux {

// The platform's API that lists the servers.
struct PlatformEndpoint {
  std::optional<Endpoint> address;  // none: there is no list of servers
  double maxRequestsPerS = 1;
};

class PrimaryRole {
 public:
  using Log = std::function<void(const std::string&)>;

  struct Status {
    std::uint64_t logPosition = 0;
    std::uint64_t revision = 0;  // of the configuration in the log
    std::size_t relays = 0;      // that follow the log
  };

  // `onHolderAdded` is called when a name waits to be replicated: see `proposeHolders`.
  PrimaryRole(boost::asio::io_context& io, const NodeSettings& settings, std::function<void()> onHolderAdded,
              Log log);

  // At the primary: begins the role unless it is active, and puts the committed configuration into the change
  // log. `followed`: the log as this process has received it from earlier primaries, which a new one
  // continues.
  void apply(Millis now, std::uint64_t epoch, const ChangeLog& followed, const ReplicatedState& committed);
  void end();
  bool isActive() const { return primary_ != nullptr; }

  // Replaces the platform's address and rate by those of newer settings. An active role reads the list from a
  // new address at once, but takes a new rate with the next address only. Returns whether the address is new.
  bool setPlatform(const PlatformEndpoint& platform);

  // Fills in the response to a relay. Only while active. A relay is granted nothing before its name has been
  // replicated; until then it is queued for `proposeHolders`.
  void fillResponse(Millis now, const FollowRequest& request, const ReplicatedState& committed,
                    FollowResponse& response);
  // Proposes the queued names, if there are any and the replica can write, so that the next primary knows
  // from whom it must hear first. Names of holders that are gone are dropped with the same change.
  void proposeHolders(Millis now, Replica& replica);

  // Nothing while it is not active.
  std::optional<Status> status(Millis now) const;
  // How often the role has begun since the start of the process.
  std::uint64_t activationCount() const { return activationCount_; }

 private:
  void begin(Millis now, std::uint64_t epoch, const ChangeLog& followed, const ReplicatedState& committed);
  void watchPlatform();

  boost::asio::io_context& io_;
  const ServiceBounds bounds_;
  PlatformEndpoint platform_;
  const std::function<void()> onHolderAdded_;
  const Log log_;
  std::unique_ptr<PrimaryService> primary_;  // while active
  std::unique_ptr<PlatformWatcher> watch_;   // while active, if there is an address
  std::set<std::string> unreplicatedHolders_;
  std::uint64_t activationCount_ = 0;
};

}  // namespace lilacmux
