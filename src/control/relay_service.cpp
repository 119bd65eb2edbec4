#include "control/relay_service.hpp"

#include <unistd.h>

#include <chrono>
#include <utility>

#include "net/steady.hpp"

namespace lilacmux {
namespace {

constexpr std::uint64_t kIncarnationBits = 0x3fffffff;

// Returns a random number that identifies one start of the process. Incarnations are only compared for
// equality, never ordered. The time of day is unsuitable, as it may be set back.
std::uint64_t newIncarnation() {
  std::uint32_t random = 0;
  if (getentropy(&random, sizeof random) != 0)
    random = static_cast<std::uint32_t>(std::chrono::steady_clock::now().time_since_epoch().count());
  return random & kIncarnationBits;
}

}  // namespace

RelayService::RelayService(boost::asio::io_context& io, const std::string& address,
                           const NodeSettings& settings, Log log)
    : io_(io),
      log_(std::move(log)),
      seeds_(controlSeeds(settings)),
      relay_(settings.name, {address, settings.zone}, newIncarnation(), steadyMs()),
      locator_(settings.name + "/control", settings.zone) {}

void RelayService::follow(Mode mode) {
  follower_ =
      std::make_unique<Follower>(io_, seeds_, mode == Mode::relay ? relayCallbacks() : locatorCallbacks());
  coreEpoch_.reset();
}

void RelayService::setSeeds(std::vector<Endpoint> seeds) {
  seeds_ = std::move(seeds);
  follower_->setSeeds(seeds_);
}

void RelayService::updateCore(const CoreView& core) {
  if (coreEpoch_ == core.epoch) return;
  coreEpoch_ = core.epoch;
  follower_->updateCore(core);
}

Follower::Callbacks RelayService::relayCallbacks() {
  return {[this](ReportScope scope) { return relay_.nextRequest(steadyMs(), scope); },
          [this](const FollowResponse& response, double sentAt) {
            relay_.handleResponse(steadyMs(), response, sentAt);
          },
          [this] { relay_.requestFailed(); }, log_, nullptr};
}

Follower::Callbacks RelayService::locatorCallbacks() {
  return {[this](ReportScope scope) { return locator_.request(scope); },
          [this](const FollowResponse& response, double) {
            if (locator_.apply(response)) follower_->setPreferred(locator_.relays());
          },
          [] {}, log_, nullptr};
}

FollowResponse RelayService::answer(Millis now, const FollowRequest& request, const CoreView& core) {
  FollowResponse out = relay_.handleRequest(now, request);
  if (relay_.needsTokens()) follower_->requestSoon(FollowSchedule::kMinRelayGap);
  if (out.epoch == 0) out.core = core;
  return out;
}

void RelayService::finishDrain(std::function<void()> done) {
  follower_->detach([this] { return relay_.detachRequest(steadyMs()); }, std::move(done));
}

}  // namespace lilacmux
