#include "fleet/follower.hpp"

#include <boost/asio/post.hpp>
#include <chrono>
#include <cmath>
#include <utility>

#include "net/steady.hpp"

namespace lilacmux {
namespace {

constexpr double kNoLeaderDelay = 120;         // ms until the next request if no primary is known
constexpr double kDetachTimeout = 200;         // ms that the last request of a stopping follower may take
constexpr double kPreferredRetryDelay = 5000;  // ms after which the most preferred candidate is tried again
constexpr unsigned kFailuresToLog = 3;         // consecutive
constexpr unsigned kRedirectsToLog = 20;       // consecutive, without a known primary

std::chrono::milliseconds roundedUp(double ms) {
  return std::chrono::milliseconds(std::lround(std::ceil(ms)));
}

}  // namespace

Follower::Follower(boost::asio::io_context& io, std::vector<Endpoint> seeds, Callbacks callbacks)
    : io_(io), selector_(std::move(seeds)), timer_(io), callbacks_(std::move(callbacks)) {
  connectToNextCandidate();
  scheduleRequest(0);
}

void Follower::updateCore(const CoreView& core) {
  selector_.setCore(core.epoch, parseAddresses(core.members));
}

// Logs and skips malformed addresses.
std::vector<Endpoint> Follower::parseAddresses(const std::vector<std::string>& addresses) const {
  std::vector<Endpoint> out;
  for (const std::string& address : addresses) {
    try {
      out.push_back(parseAddress(address, "address"));
    } catch (const SettingsError& error) {
      callbacks_.log(std::string("skipped a malformed control plane address: ") + error.what());
    }
  }
  return out;
}

void Follower::setPreferred(const std::vector<RelayEndpoint>& best) {
  std::vector<std::string> addresses;
  addresses.reserve(best.size());
  for (const RelayEndpoint& relay : best) addresses.push_back(relay.address);
  if (selector_.setPreferred(parseAddresses(addresses))) returnToPreferred();
}

// --- Schedule

void Follower::scheduleRequest(Millis wait) {
  schedule_.planNext(steadyMs() + wait);
  timer_.expires_after(roundedUp(wait));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !detached_) sendRequest();
  });
}

void Follower::requestSoon(Millis gap) {
  if (!awaitsNextRequest_ || detached_) return;
  if (const auto wait = schedule_.advance(steadyMs(), gap)) scheduleRequest(*wait);
}

// --- Choice of the peer

void Follower::connectTo(const Endpoint& to) {
  if (client_ && client_->peer() == to) return;
  // The old client may be the caller, so its destruction is deferred.
  if (client_) boost::asio::post(io_, [old = std::shared_ptr<FrameClient>(std::move(client_))] {});
  client_ = std::make_unique<FrameClient>(io_, to);
  isKnownToPeer_ = false;
  returnAt_ = steadyMs() + kPreferredRetryDelay;
}

void Follower::connectToNextCandidate() {
  if (const auto candidate = selector_.next()) connectTo(*candidate);
}

void Follower::returnToPreferred() {
  const Endpoint& best = selector_.preferred().front();
  if (client_ && client_->peer() != best) detachFromPeer();
  selector_.markTried(best);
  connectTo(best);
}

// Notifies the peer that it may release its reservations for this follower. Ignores the response.
void Follower::detachFromPeer() {
  if (!isKnownToPeer_ || !client_ || !callbacks_.makeDetachRequest) return;
  client_->call(toFrame(callbacks_.makeDetachRequest()), roundedUp(FollowSchedule::kResponseTimeout),
                [](const std::optional<Frame>&) {});
}

void Follower::detach(const std::function<FollowRequest()>& lastRequest, std::function<void()> done) {
  if (std::exchange(detached_, true)) return;
  timer_.cancel();
  if (!isKnownToPeer_ || !client_) return done();
  client_->call(toFrame(lastRequest()), roundedUp(kDetachTimeout),
                [done = std::move(done)](const std::optional<Frame>&) { done(); });
}

// --- Requests and responses

void Follower::sendRequest() {
  awaitsNextRequest_ = false;
  const auto& preferred = selector_.preferred();
  const bool isPreferredPeer = preferred.empty() || (client_ && client_->peer() == preferred.front());
  if (!isPreferredPeer && steadyMs() >= returnAt_) returnToPreferred();
  if (!client_) return scheduleRequest(FollowSchedule::kInterval);
  const Millis sentAt = steadyMs();
  const ReportScope scope = schedule_.beginRequest(sentAt, isKnownToPeer_);
  client_->call(toFrame(callbacks_.makeRequest(scope)), roundedUp(FollowSchedule::kResponseTimeout),
                [this, sentAt](std::optional<Frame> frame) { handleResponse(std::move(frame), sentAt); });
}

void Follower::requestFailed(Millis retryAfter) {
  isKnownToPeer_ = false;
  callbacks_.onFailure();
  scheduleRequest(retryAfter);
}

void Follower::handleNoResponse() {
  if (++failures_ == kFailuresToLog)
    callbacks_.log("the control plane does not respond (" + std::to_string(failures_) +
                   " consecutive failures)");
  connectToNextCandidate();
  requestFailed(FollowSchedule::kRetryDelay);
}

void Follower::handleRedirect(const std::string& leader) {
  if (leader.empty()) {
    if (++redirectsWithoutLeader_ == kRedirectsToLog)
      callbacks_.log("no control process that responds knows a primary (" +
                     std::to_string(redirectsWithoutLeader_) + " consecutive responses)");
    connectToNextCandidate();
    return requestFailed(kNoLeaderDelay);
  }
  try {
    connectTo(parseAddress(leader, "leader"));
  } catch (const SettingsError&) {
    connectToNextCandidate();
  }
  requestFailed(FollowSchedule::kRetryDelay);
}

void Follower::handleResponse(std::optional<Frame> frame, Millis sentAt) {
  if (detached_) return;
  const auto response = frame ? parseFollowResponse(std::move(*frame)) : std::nullopt;
  if (!response) return handleNoResponse();
  updateCore(response->core);  // the members change, so the seeds in the settings may all become stale
  if (response->epoch == 0) return handleRedirect(response->leader);
  if (failures_ >= kFailuresToLog) callbacks_.log("the control plane responds again");
  failures_ = 0;
  redirectsWithoutLeader_ = 0;
  isKnownToPeer_ = response->holdingsKnown;
  selector_.markResponsive(client_->peer());
  awaitsNextRequest_ = true;
  scheduleRequest(isKnownToPeer_ ? schedule_.untilRegular(steadyMs()) : 0);
  callbacks_.onResponse(*response, sentAt);
}

}  // namespace lilacmux
