#include "fleet/primary_service.hpp"

#include <utility>

#include "fleet/relay_list.hpp"

namespace lilacmux {
namespace {

constexpr double kRelayTimeout = 2000;  // ms without a request after which a relay is removed from the list

// Returns the first grant number of an epoch. Numbers of different primaries are far apart.
std::uint64_t firstGrantOf(std::uint64_t epoch) {
  constexpr std::uint64_t kEpochBits = 0x3fffffff;
  constexpr unsigned kGrantBits = 32;
  return (epoch & kEpochBits) << kGrantBits;
}

}  // namespace

PrimaryService::PrimaryService(Millis now, std::uint64_t epoch, const ChangeLog& followed,
                               const std::set<std::string>& holders, const QuotaRule& quotas,
                               const RetryRule& retries)
    : rule_(quotas),
      log_(ChangeLog::continuing(epoch, followed)),
      shares_(ShareLedger::Refill::byQuota, {}, now, holders, firstGrantOf(epoch)) {
  if (retries.isEnabled()) retries_.emplace(retries, now, holders, firstGrantOf(epoch));
}

void PrimaryService::setConfiguration(Millis now, std::uint64_t revision,
                                      std::shared_ptr<const std::string> body,
                                      const std::map<std::string, Quota>& limits) {
  log_.setConfiguration(revision, std::move(body));
  std::map<std::string, Quota> quotas;
  for (const auto& [tenant, limit] : limits) quotas[tenant] = rule_.quotaFor(limit.rate, limit.burst);
  shares_.setQuotas(now, quotas);
}

// Adds or updates the relay, and removes relays that have timed out. A process that restarts gets a new name
// but retains its address, so the entry of its earlier name is removed as well.
void PrimaryService::recordRelay(Millis now, const FollowRequest& request) {
  const auto& report = *request.relay;
  const auto removed = std::erase_if(relays_, [&](const auto& entry) {
    const auto& [name, relay] = entry;
    const bool isReplaced = relay.endpoint.address == report.address && name != request.name;
    return now - relay.lastRequestAt > kRelayTimeout || isReplaced;
  });
  const auto [entry, isNew] = relays_.try_emplace(request.name);
  entry->second = {{report.address, request.zone}, report.gatewayCount, now};
  if (removed > 0 || isNew) relayListHash_ = hashRelayList(endpoints());
}

std::vector<RelayEndpoint> PrimaryService::endpoints() const {
  std::vector<RelayEndpoint> out;
  out.reserve(relays_.size());
  for (const auto& [name, relay] : relays_) out.push_back(relay.endpoint);
  return out;
}

std::size_t PrimaryService::gatewayCount() const {
  std::size_t out = 0;
  for (const auto& [name, relay] : relays_) out += relay.gatewayCount;
  return out;
}

void PrimaryService::detachRelay(Millis now, const FollowRequest& request) {
  if (relays_.erase(request.name) > 0) relayListHash_ = hashRelayList(endpoints());
  shares_.release(now, request.name, request.demands);
  if (retries_) retries_->release(now, request.name, request.retryDemands);
}

void PrimaryService::confirmPriorGrants(Millis now, const std::string& relay) {
  shares_.confirm(now, nameWithoutIncarnation(relay));
  shares_.retireEarlierIncarnations(now, relay);
  if (retries_) retries_->confirmIncarnation(now, relay);
}

void PrimaryService::grant(Millis now, const FollowRequest& request, FollowResponse& response) {
  if (request.relay->priorGrantsReported) confirmPriorGrants(now, request.name);
  std::optional<GrantReply> retries;
  if (retries_)
    retries =
        retries_->handleReport(now, request.name, request.requestRates, request.retryDemands, request.full);
  GrantReply quotas = shares_.handleReport(now, request.name, request.demands, request.full);
  response.holdingsKnown = quotas.isHolderKnown && (!retries || retries->isHolderKnown);
  response.quotaGrants = {quotas.grantNumber, std::move(quotas.grants)};
  if (retries) response.retryGrants = {retries->grantNumber, std::move(retries->grants)};
}

void PrimaryService::fillResponse(Millis now, const FollowRequest& request, bool isRegistered,
                                  FollowResponse& response) {
  response.epoch = log_.epoch();
  if (request.detaching) return detachRelay(now, request);
  response.delta = log_.deltaSince(request.position, request.revision);
  recordRelay(now, request);
  response.gatewayCount += gatewayCount();
  response.relayListHash = relayListHash_;
  if (relayListHash_ != request.relayListHash) response.relays = endpoints();
  response.holdingsKnown = isRegistered;
  if (isRegistered) grant(now, request, response);
}

}  // namespace lilacmux
