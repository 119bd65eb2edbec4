// The gateway's side of the control plane: follows the configuration and the server list at a relay, renews
// the lease under which the gateway may act on them, and exchanges demands for tokens against grants. Owns
// what it follows; tells a ControlListener what has changed. Runs on the io_context thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "fleet/follower.hpp"
#include "fleet/follower_state.hpp"
#include "gateway/admission_control.hpp"
#include "gateway/route_table.hpp"
#include "ownership/key_load.hpp"
#include "ownership/owner_directory.hpp"
#include "settings/settings.hpp"

namespace lilacmux {

class ControlListener {
 public:
  virtual ~ControlListener() = default;
  // A newer configuration is valid and about to come into force.
  virtual void configurationChanging(const Configuration& configuration) = 0;
  virtual void gatewayCountChanged(std::size_t count) = 0;
  virtual void serversChanged(const FollowerState::Update& update) = 0;
  // Tokens may have been granted, or it is known that none will be for now.
  virtual void grantsChanged() = 0;
};

class ControlClient {
 public:
  using Log = std::function<void(const std::string&)>;

  ControlClient(boost::asio::io_context& io, const NodeSettings& settings, AdmissionControl& admission,
                ControlListener& listener, Log log);

  // Begins to follow.
  void start();
  // Sends the next follow request ahead of its time where tokens are needed.
  void requestTokensIfNeeded();
  void setSeeds(std::vector<Endpoint> seeds) { follower_->setSeeds(std::move(seeds)); }
  // Gives back all tokens and stops; calls `done` once that is acknowledged, or nobody answers.
  void detach(std::function<void()> done);

  // Whether requests may be served, or sent, at this time: by a configuration that is there, and by a lease.
  bool mayServe(double at) const;
  const std::shared_ptr<const RouteTable>& routes() const { return routes_; }  // nullptr: none yet
  std::uint64_t revision() const { return routes_ ? routes_->revision() : 0; }
  const FollowerState& state() const { return state_; }
  const OwnerDirectory& owners() const { return owners_; }
  // Counts a request for a key of a sharded service, for the next report.
  void countKey(const std::string& service, Key key) { keyCounts_.add(service, key); }
  std::size_t gatewayCount() const { return gatewayCount_; }  // 0: not known yet

 private:
  FollowRequest baseRequest() const;
  FollowRequest nextRequest(ReportScope scope);
  FollowRequest detachRequest() const;
  FollowRequest finalRequest();
  void handleResponse(const FollowResponse& response, double sentAt);
  void handleFailure();
  void applyConfiguration(const ChangeLog::Delta& delta);
  bool configure(const std::string& body);

  boost::asio::io_context& io_;
  const NodeSettings& settings_;
  AdmissionControl& admission_;
  ControlListener& listener_;
  const Log log_;
  std::shared_ptr<const RouteTable> routes_;
  std::shared_ptr<const std::string> body_;  // of the configuration in force: the next may come as a patch
  bool patchFailed_ = false;                 // the last packed configuration could not be unpacked
  FollowerState state_;                      // the server list, and the lease
  OwnerDirectory owners_;
  KeyCounts keyCounts_;  // since the last report
  std::size_t gatewayCount_ = 0;
  std::uint64_t relayListHash_ = 0;
  std::unique_ptr<Follower> follower_;
};

}  // namespace lilacmux
