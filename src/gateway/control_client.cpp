#include "gateway/control_client.hpp"

#include <utility>

#include "net/steady.hpp"

namespace lilacmux {

ControlClient::ControlClient(boost::asio::io_context& io, const NodeSettings& settings,
                             AdmissionControl& admission, ControlListener& listener, Log log)
    : io_(io),
      settings_(settings),
      admission_(admission),
      listener_(listener),
      log_(std::move(log)),
      state_(settings.bounds.servingLeaseMs()) {}

void ControlClient::start() {
  Follower::Callbacks callbacks{
      [this](ReportScope scope) { return nextRequest(scope); },
      [this](const FollowResponse& response, double sentAt) { handleResponse(response, sentAt); },
      [this] { handleFailure(); }, log_, [this] { return detachRequest(); }};
  follower_ = std::make_unique<Follower>(io_, controlSeeds(settings_), std::move(callbacks));
}

void ControlClient::requestTokensIfNeeded() {
  const auto need = admission_.need();
  if (need == Admission::Need::none) return;
  follower_->requestSoon(need == Admission::Need::waiting ? FollowSchedule::kMinPendingGap
                                                          : FollowSchedule::kMinLowReserveGap);
}

void ControlClient::detach(std::function<void()> done) {
  follower_->detach([this] { return finalRequest(); }, std::move(done));
}

bool ControlClient::mayServe(double at) const {
  return routes_ && (!settings_.bounds.revocationGlobal || state_.holdsLease(at));
}

// Who asks, and from which position on.
FollowRequest ControlClient::baseRequest() const {
  FollowRequest out;
  out.name = settings_.name;
  out.zone = settings_.zone;
  out.position = state_.position();
  out.revision = revision();
  out.acceptsPacked = !patchFailed_;
  out.relayListHash = relayListHash_;
  out.ownershipVersion = owners_.version();
  return out;
}

FollowRequest ControlClient::nextRequest(ReportScope scope) {
  FollowRequest out = baseRequest();
  out.full = scope == ReportScope::full;
  if (out.full) out.relayListHash = 0;
  admission_.addDemands(steadyMs(), scope, out);
  if (scope != ReportScope::urgent) out.keyCounts = std::exchange(keyCounts_, {});
  return out;
}

// To a relay that is left for a better one.
FollowRequest ControlClient::detachRequest() const {
  FollowRequest out = baseRequest();
  out.detaching = true;
  return out;
}

FollowRequest ControlClient::finalRequest() {
  FollowRequest out = detachRequest();
  admission_.addFinalDemands(steadyMs(), out);
  return out;
}

// The response of an older primary renews no lease and changes neither configuration nor servers.
void ControlClient::handleResponse(const FollowResponse& response, double sentAt) {
  if (state_.accepts(response)) {
    gatewayCount_ = response.gatewayCount;
    listener_.gatewayCountChanged(gatewayCount_);
    if (response.ownership) owners_.apply(*response.ownership);
    applyConfiguration(response.delta);
    listener_.serversChanged(state_.apply(response, sentAt, revision()));
  }
  admission_.responseReceived(steadyMs(), response, sentAt);
  if (!response.relays.empty()) {
    relayListHash_ = response.relayListHash;
    follower_->setPreferred(response.relays);
  }
  listener_.grantsChanged();
}

void ControlClient::handleFailure() {
  admission_.requestFailed();
  listener_.grantsChanged();
}

void ControlClient::applyConfiguration(const ChangeLog::Delta& delta) {
  if (!delta.configuration && !delta.packedConfiguration) return;
  auto body = delta.configurationFor(revision(), body_.get());
  patchFailed_ = !body;
  if (body && configure(*body)) body_ = std::move(body);
}

// Whether it is in force from now on: never an older version than before in one life of the process.
bool ControlClient::configure(const std::string& body) {
  auto parsed = parseAcceptedConfiguration(body);
  if (const auto* error = std::get_if<std::string>(&parsed)) {
    log_("a configuration is invalid: " + *error);
    return false;
  }
  auto& configuration = std::get<Configuration>(parsed);
  if (routes_ && configuration.revision <= routes_->revision()) return false;
  admission_.configure(configuration);
  listener_.configurationChanging(configuration);
  routes_ = std::make_shared<const RouteTable>(std::move(configuration));
  log_("configuration " + std::to_string(routes_->revision()) + " is in force");
  return true;
}

}  // namespace lilacmux
