#include "fleet/relay.hpp"

#include <algorithm>
#include <utility>

#include "fleet/relay_list.hpp"
#include "quota/admission.hpp"

namespace lilacmux {
namespace {

// Gateways are redirected after this time without a response of the primary, ms. A new primary usually serves
// within 2 s, and gateways must learn of draining servers within 4 s, including the detour over another
// relay.
constexpr double kStaleAfter = 2000;
// Time after the start within which gateways report the grants of earlier incarnations, ms. A gateway that is
// partitioned for longer continues at its granted rate, which is small compared with the margin of the quota.
constexpr double kPriorGrantsReportedAfter = 600;
constexpr std::size_t kMaxRelaysSent = 6;  // enough for a few relays of the gateway's zone and one of another

// Grant numbers are distinct between incarnations, and between quotas and retry budgets of one incarnation.
constexpr unsigned kGrantBits = 32;
constexpr std::uint64_t kFirstRetryGrant = 1ULL << 31;

std::string holderName(std::string name, std::uint64_t incarnation) {
  return name.append("#").append(std::to_string(incarnation));
}

}  // namespace

Relay::Relay(std::string name, RelayEndpoint endpoint, std::uint64_t incarnation, Millis now)
    : name_(holderName(std::move(name), incarnation)),
      endpoint_(std::move(endpoint)),
      startedAt_(now),
      quotas_({}, gatekeeperTiming(), now, incarnation << kGrantBits),
      retries_({}, gatekeeperTiming(), now, (incarnation << kGrantBits) + kFirstRetryGrant) {}

// --- Towards gateways

bool Relay::isStale(Millis now) const { return now - lastContactAt_ > kStaleAfter || log_.epoch() == 0; }

FollowResponse Relay::handleRequest(Millis now, const FollowRequest& request) {
  FollowResponse out;
  if (request.detaching) {
    detachGateway(now, request);
    return out;
  }
  if (draining_) return redirect(now, request);
  if (isStale(now)) return out;
  out.epoch = log_.epoch();
  out.ageMs = now - lastContactAt_;
  out.listAgeMs = listAge_;
  out.delta = log_.deltaSince(request.position, request.revision);
  out.gatewayCount = gatewayCount_;
  if (request.relayListHash != relayListHash_) {
    out.relayListHash = relayListHash_;
    out.relays = rankRelays(request.name, request.zone, relays_, kMaxRelaysSent);
  }
  out.ownership = owners_.deltaSince(request.ownershipVersion);
  keyCounts_.merge(request.keyCounts);
  if (!request.requestRates.empty()) requestRates_.report(now, request.name, request.requestRates);
  grant(now, request, out);
  return out;
}

void Relay::grant(Millis now, const FollowRequest& request, FollowResponse& response) {
  GrantReply quotas = quotas_.handleReport(now, request.name, request.demands, request.full);
  GrantReply retries = retries_.handleReport(now, request.name, request.retryDemands, request.full);
  response.holdingsKnown = quotas.isHolderKnown && retries.isHolderKnown;
  response.quotaGrants = {quotas.grantNumber, std::move(quotas.grants)};
  response.retryGrants = {retries.grantNumber, std::move(retries.grants)};
}

void Relay::detachGateway(Millis now, const FollowRequest& request) {
  quotas_.release(now, request.name, request.demands);
  retries_.release(now, request.name, request.retryDemands);
}

// Redirects the gateway to the best other relay. The gateway retains its holdings and reports them there.
FollowResponse Relay::redirect(Millis now, const FollowRequest& request) {
  quotas_.release(now, request.name, {});
  retries_.release(now, request.name, {});
  std::vector<RelayEndpoint> others = relays_;
  std::erase_if(others, [&](const RelayEndpoint& each) { return each.address == endpoint_.address; });
  others = rankRelays(request.name, request.zone, std::move(others), 1);
  FollowResponse out;
  if (!others.empty()) out.leader = others.front().address;
  return out;
}

// --- Towards the primary

FollowRequest Relay::baseRequest(Millis now) const {
  FollowRequest out;
  out.name = name_;
  out.zone = endpoint_.zone;
  out.position = log_.position();
  out.acceptsPacked = !needsUnpacked_;
  out.revision = log_.revision();
  out.ownershipVersion = owners_.version();
  RelayReport report;
  report.address = endpoint_.address;
  report.gatewayCount = gatewayCount(now);
  report.priorGrantsReported = now - startedAt_ >= kPriorGrantsReportedAfter;
  out.relay = std::move(report);
  return out;
}

FollowRequest Relay::nextRequest(Millis now, ReportScope scope) {
  FollowRequest out = baseRequest(now);
  out.full = scope == ReportScope::full;
  out.relayListHash = relayListHash_;
  out.demands = quotas_.demands(now, scope);
  out.retryDemands = retries_.demands(now, scope);
  if (scope == ReportScope::urgent) return out;
  out.requestRates = requestRates_.rates();
  out.keyCounts = std::exchange(keyCounts_, {});
  return out;
}

FollowRequest Relay::detachRequest(Millis now) {
  FollowRequest out = baseRequest(now);
  out.detaching = true;
  out.demands = quotas_.finalDemands(now);
  out.retryDemands = retries_.finalDemands(now);
  return out;
}

void Relay::handleResponse(Millis now, const FollowResponse& response, Millis sentAt) {
  if (response.epoch < log_.epoch()) return;  // from a primary that has been replaced
  log_.apply(response.epoch, response.delta);
  needsUnpacked_ = response.delta.packedConfiguration && response.delta.revision > log_.revision();
  if (response.ownership) owners_.apply(*response.ownership);
  gatewayCount_ = response.gatewayCount;
  listAge_ = response.listAgeMs;
  if (!response.relays.empty()) {
    relays_ = response.relays;
    relayListHash_ = response.relayListHash;
  }
  // A response that names a newer configuration without including it does not count as contact.
  if (response.delta.revision == log_.revision()) lastContactAt_ = sentAt;
  applyGrants(now, response, sentAt);
}

void Relay::applyGrants(Millis now, const FollowResponse& response, Millis sentAt) {
  const Millis leaseUntil = sentAt + ShareTiming{}.lease;
  quotas_.responseReceived(now, sentAt, leaseUntil);
  retries_.responseReceived(now, sentAt, leaseUntil);
  const auto& [quotaNumber, quotaGrants] = response.quotaGrants;
  for (const ShareGrant& grant : quotaGrants) quotas_.applyGrant(now, grant, quotaNumber);
  const auto& [retryNumber, retryGrants] = response.retryGrants;
  for (const ShareGrant& grant : retryGrants) retries_.applyGrant(now, grant, retryNumber);
}

void Relay::requestFailed() {
  quotas_.requestFailed();
  retries_.requestFailed();
}

}  // namespace lilacmux
