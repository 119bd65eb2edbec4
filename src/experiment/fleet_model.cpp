#include "experiment/fleet_model.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>
#include <utility>

#include "experiment/measure.hpp"
#include "fleet/relay_list.hpp"

namespace lilacmux {
namespace {

using Millis = double;

constexpr Millis kTokenTimeout = 130;  // 0.22 of a latency target of 600 ms
constexpr Millis kServiceTime = 150;   // of a request at its server
constexpr Millis kWarmUp = 3000;       // not counted
constexpr Millis kConnectTimeout = 150;
constexpr Millis kChangeAfter = 500;    // the warm-up, the configuration changes
constexpr Millis kFullReportDelay = 1;  // until one that is not known reports all that it holds
constexpr double kTenantSkew = 0.8;     // exponent of the tenants' sizes: a few are large
constexpr double kGatewaySkew = 1.3;    // exponent of the gateways' traffic: some get twice as much as others
constexpr unsigned kServersPerGateway = 3;
constexpr std::size_t kConfigurationBytes = 1000;
constexpr std::uint64_t kEpochsPerTerm = std::uint64_t{1} << 20;

}  // namespace

// --- Set-up

FleetModel::FleetModel(const FleetPlan& plan) : plan_(plan), random_(plan.seed) {
  addTenants();
  addRelays();
  addGateways();
  startPrimary(0);
}

void FleetModel::addTenants() {
  double total = 0;
  for (unsigned t = 0; t < plan_.tenants; ++t) {
    Tenant tenant;
    tenant.name = "tenant" + std::to_string(t);
    tenant.weight = 1.0 / std::pow(t + 1.0, kTenantSkew);
    total += tenant.weight;
    tenants_.push_back(tenant);
  }
  for (Tenant& tenant : tenants_) {
    tenant.requestsPerS = tenant.weight / total * plan_.perGatekeeper * plan_.gatekeepers;
    const double limit = std::ceil(tenant.requestsPerS * plan_.headroom);
    tenant.limit = {limit, limit};
  }
  if (plan_.flood > 0) tenants_.front().requestsPerS = plan_.flood * tenants_.front().limit.rate;
}

void FleetModel::addRelays() {
  for (unsigned r = 0; r < plan_.relays; ++r) {
    auto relay = std::make_unique<RelayNode>();
    relay->endpoint = {"10.0.0." + std::to_string(r) + ":1", "z" + std::to_string(r % plan_.zones)};
    relay->core.emplace("relay" + std::to_string(r), relay->endpoint, r + 1, 0);
    relays_.push_back(std::move(relay));
  }
}

void FleetModel::addGateways() {
  std::vector<RelayEndpoint> endpoints;
  for (const auto& relay : relays_) endpoints.push_back(relay->endpoint);
  std::vector<std::string> names;
  for (const Tenant& tenant : tenants_) names.push_back(tenant.name);
  for (unsigned g = 0; g < plan_.gatekeepers; ++g) {
    auto gateway = std::make_unique<GatewayNode>();
    gateway->name = "edge" + std::to_string(g);
    gateway->zone = "z" + std::to_string(g % plan_.zones);
    const auto best = rankRelays(gateway->name, gateway->zone, endpoints, 1).front();
    for (std::size_t r = 0; r < relays_.size(); ++r)
      if (relays_[r]->endpoint == best) gateway->relay = r;
    gateway->admission.setLimitedTenants(names);
    gateways_.push_back(std::move(gateway));
  }
}

void FleetModel::schedulePlan() {
  for (std::size_t r = 0; r < relays_.size(); ++r)
    events_.at(random_.chance() * FollowSchedule::kInterval, [this, r] { requestFromPrimary(r); });
  for (std::size_t g = 0; g < gateways_.size(); ++g)
    events_.at(random_.chance() * FollowSchedule::kInterval, [this, g] { requestFromRelay(g); });
  for (std::size_t t = 0; t < tenants_.size(); ++t) scheduleArrival(t);
  if (plan_.linkMbps > 0 && plan_.downloadsPerS > 0)
    for (std::size_t g = 0; g < gateways_.size(); ++g) scheduleDownload(g);
  events_.at(kWarmUp, [this] { counting_ = true; });
  events_.at(kWarmUp + kChangeAfter, [this] { changeConfiguration(); });
  if (plan_.newPrimaryAtS > 0) events_.at(kWarmUp + 1000 * plan_.newPrimaryAtS, [this] { startPrimary(1); });
  if (plan_.primaryGapS > 0)
    events_.at(kWarmUp + 1000 * (plan_.newPrimaryAtS - plan_.primaryGapS), [this] { removePrimary(); });
  if (plan_.cutRelayAtS > 0)
    events_.at(kWarmUp + 1000 * plan_.cutRelayAtS, [this] { relays_.front()->partitioned = true; });
}

FleetFigures FleetModel::run() {
  schedulePlan();
  events_.runBefore(kWarmUp + plan_.seconds * 1000);
  return finish();
}

// --- The primary

// Whoever takes over is the process of the first relay.
void FleetModel::startPrimary(std::uint64_t term) {
  hasNoPrimary_ = false;
  const ChangeLog followed = relays_.empty() ? ChangeLog() : relays_.front()->core->log();
  primary_.emplace(events_.now(), (term + 1) * kEpochsPerTerm, followed, namedRelays_, rule_, RetryRule{});
  setConfiguration();
  std::vector<Instance> servers;
  const unsigned count = plan_.servers > 0 ? plan_.servers : kServersPerGateway * plan_.gatekeepers;
  for (unsigned s = 0; s < count; ++s)
    servers.push_back({"i-" + std::to_string(s), "service", "10.1.0.1:80", "z0", 3, false, 0});
  primary_->updateServers(servers);
}

void FleetModel::removePrimary() {
  hasNoPrimary_ = true;
  relays_.front()->dead = true;
}

void FleetModel::changeConfiguration() {
  ++revision_;
  changedAt_ = events_.now();
  setConfiguration();
}

void FleetModel::setConfiguration() {
  std::map<std::string, Quota> limits;
  for (const Tenant& tenant : tenants_) limits[tenant.name] = tenant.limit;
  const auto body = std::make_shared<const std::string>(kConfigurationBytes, 'c');
  primary_->setConfiguration(events_.now(), revision_, body, limits);
}

// --- Messages and what they cost

// Writes the message to bytes and reads it back, and adds the cost at both ends.
template <class Message>
Frame FleetModel::transfer(const Message& message, Cost& sender, Cost& receiver) {
  std::string bytes;
  {
    const ProcessorCharge charge(processorOf(sender));
    bytes = encode(toFrame(message));
  }
  if (counting_) {
    sender.bytes += static_cast<double>(bytes.size());
    receiver.bytes += static_cast<double>(bytes.size());
  }
  const ProcessorCharge charge(processorOf(receiver));
  Frame out;
  if (decode(bytes, out) != Decoded::frame) throw std::logic_error("a frame that is not read back");
  return out;
}

// Where processor time is added up; apart while it is not counted.
double& FleetModel::processorOf(Cost& cost) { return counting_ ? cost.processorMs : uncountedMs_; }

// Adds what each field of a message takes on the wire.
void FleetModel::countFields(std::map<std::string, double>& fields, const Frame& frame) const {
  if (!counting_) return;
  constexpr double kLengths = 8;     // of head and body, in front of the frame
  constexpr double kBraces = 2;      // of the head
  constexpr std::size_t kSigns = 4;  // of a field: the name's quotes, a colon and a comma
  fields["frame"] += kLengths + kBraces;
  for (const auto& [name, value] : frame.head.items())
    fields[name] += static_cast<double>(name.size() + value.dump().size() + kSigns);
  if (!frame.body.empty()) fields["body"] += static_cast<double>(frame.body.size());
}

// When so many bytes have come through the gateway's link.
FleetModel::Millis FleetModel::throughLink(std::size_t gateway, Millis from, double bytes) {
  if (plan_.linkMbps <= 0) return from;
  Millis& freeAt = gateways_[gateway]->linkFreeAt;
  freeAt = std::max(freeAt, from) + bytes * 8 / 1000 / plan_.linkMbps;
  return freeAt;
}

void FleetModel::scheduleDownload(std::size_t gateway) {
  const Millis wait = -std::log(1 - random_.chance()) * 1000 / plan_.downloadsPerS;
  events_.after(wait, [this, gateway] {
    throughLink(gateway, events_.now(), 1024 * plan_.downloadKb * (0.5 + random_.chance()));
    scheduleDownload(gateway);
  });
}

// --- Relays follow the primary

void FleetModel::requestFromPrimary(std::size_t r) {
  RelayNode& relay = *relays_[r];
  if (relay.inFlight) return;
  relay.inFlight = true;
  const std::uint64_t number = ++relay.requestNumber;
  FollowRequest request;
  {
    const ProcessorCharge charge(processorOf(relay.cost));
    const auto scope = relay.schedule.beginRequest(events_.now(), relay.known);
    request = relay.core->nextRequest(events_.now(), scope);
  }
  const Frame frame = transfer(request, relay.cost, primaryCost_);
  events_.after(FollowSchedule::kResponseTimeout, [this, r, number] { relayTimesOut(r, number); });
  if (relay.partitioned || relay.dead || hasNoPrimary_) return;
  events_.after(plan_.oneWayMs, [this, r, number, frame] { primaryReceives(r, number, frame); });
}

void FleetModel::relayTimesOut(std::size_t r, std::uint64_t number) {
  RelayNode& relay = *relays_[r];
  if (relay.requestNumber != number || !relay.inFlight) return;
  relay.inFlight = relay.known = false;
  relay.core->requestFailed();
  scheduleRelay(r, FollowSchedule::kRetryDelay);
}

void FleetModel::primaryReceives(std::size_t r, std::uint64_t number, const Frame& frame) {
  FollowResponse response;
  if (counting_) primaryCost_.calls += 1;
  {
    const ProcessorCharge charge(processorOf(primaryCost_));
    const auto request = *parseFollowRequest(frame);
    const bool named = !namedRelays_.insert(nameWithoutIncarnation(request.name)).second;
    primary_->fillResponse(events_.now(), request, named, response);
  }
  const Frame back = transfer(response, primaryCost_, relays_[r]->cost);
  events_.after(plan_.oneWayMs, [this, r, number, back] { relayReceives(r, number, back); });
}

void FleetModel::relayReceives(std::size_t r, std::uint64_t number, const Frame& frame) {
  RelayNode& relay = *relays_[r];
  if (relay.requestNumber != number || !relay.inFlight) return;
  relay.inFlight = false;
  {
    const ProcessorCharge charge(processorOf(relay.cost));
    const auto response = *parseFollowResponse(Frame(frame));
    relay.known = response.holdingsKnown;
    relay.core->handleResponse(events_.now(), response, relay.schedule.lastRequestAt());
  }
  scheduleRelay(r, relay.known ? relay.schedule.untilRegular(events_.now()) : kFullReportDelay);
}

void FleetModel::scheduleRelay(std::size_t r, Millis wait) {
  relays_[r]->schedule.planNext(events_.now() + wait);
  requestUnlessSent(r, wait);
}

void FleetModel::requestUnlessSent(std::size_t r, Millis wait) {
  const std::uint64_t number = relays_[r]->requestNumber;
  events_.after(wait, [this, r, number] {
    if (relays_[r]->requestNumber == number) requestFromPrimary(r);
  });
}

// A relay that runs short of tokens asks for more ahead of its time.
void FleetModel::advanceRelay(std::size_t r) {
  const RelayNode& relay = *relays_[r];
  if (!relay.core->needsTokens() || relay.inFlight) return;
  if (const auto wait = relay.schedule.advance(events_.now(), FollowSchedule::kMinRelayGap))
    requestUnlessSent(r, *wait);
}

// --- Gateways follow relays

FollowRequest FleetModel::gatewayRequest(GatewayNode& gateway) {
  FollowRequest out;
  out.name = gateway.name;
  out.zone = gateway.zone;
  out.position = gateway.position;
  out.revision = gateway.revision;
  out.relayListHash = gateway.relayListHash;
  const ReportScope scope = gateway.schedule.beginRequest(events_.now(), gateway.known);
  out.full = scope == ReportScope::full;
  const ProcessorCharge charge(processorOf(gateway.cost));
  out.demands = gateway.admission.demands(events_.now(), scope);
  return out;
}

void FleetModel::requestFromRelay(std::size_t g) {
  GatewayNode& gateway = *gateways_[g];
  if (gateway.inFlight) return;
  gateway.inFlight = true;
  const std::uint64_t number = ++gateway.requestNumber;
  const FollowRequest request = gatewayRequest(gateway);
  const std::size_t r = gateway.relay;
  const Frame frame = transfer(request, gateway.cost, relays_[r]->cost);
  if (counting_) ++gatewayRequests_;
  countFields(figures_.callFields, frame);
  if (relays_[r]->dead) return events_.after(kConnectTimeout, [this, g] { turnToNextRelay(g); });
  events_.after(plan_.nearMs, [this, g, r, number, frame] { relayAnswers(g, r, number, frame); });
}

void FleetModel::relayAnswers(std::size_t g, std::size_t r, std::uint64_t number, const Frame& frame) {
  RelayNode& relay = *relays_[r];
  if (counting_) relay.cost.calls += 1;
  FollowResponse response;
  {
    const ProcessorCharge charge(processorOf(relay.cost));
    response = relay.core->handleRequest(events_.now(), *parseFollowRequest(frame));
  }
  advanceRelay(r);
  const Frame back = transfer(response, relay.cost, gateways_[g]->cost);
  countFields(figures_.answerFields, back);
  const auto bytes = static_cast<double>(encode(back).size());
  events_.at(throughLink(g, events_.now() + plan_.nearMs, bytes),
             [this, g, number, back] { gatewayReceives(g, number, back); });
}

void FleetModel::gatewayReceives(std::size_t g, std::uint64_t number, const Frame& frame) {
  GatewayNode& gateway = *gateways_[g];
  std::optional<FollowResponse> response;
  {
    const ProcessorCharge charge(processorOf(gateway.cost));
    response = parseFollowResponse(Frame(frame));
  }
  if (gateway.requestNumber != number) return;
  gateway.inFlight = false;
  if (response->epoch == 0) return turnToNextRelay(g);
  applyResponse(gateway, *response);
  scheduleGateway(g, gateway.known ? gateway.schedule.untilRegular(events_.now()) : kFullReportDelay);
  retryPending(gateway);
  advanceGateway(g);
}

void FleetModel::applyResponse(GatewayNode& gateway, const FollowResponse& response) {
  if (response.epoch >= gateway.epoch) {
    gateway.epoch = response.epoch;
    if (response.delta.hasServerList) gateway.position = {response.epoch, response.delta.index};
    if (response.delta.revision > gateway.revision) {
      gateway.revision = response.delta.revision;
      if (changedAt_ > 0)
        figures_.versionEverywhereMs = std::max(figures_.versionEverywhereMs, events_.now() - changedAt_);
    }
  }
  gateway.known = response.holdingsKnown;
  if (!response.relays.empty()) gateway.relayListHash = response.relayListHash;
  const Millis sentAt = gateway.schedule.lastRequestAt();
  const ProcessorCharge charge(processorOf(gateway.cost));
  gateway.admission.responseReceived(events_.now(), sentAt, sentAt - response.ageMs + ShareTiming{}.lease);
  for (const ShareGrant& grant : response.quotaGrants.grants)
    gateway.admission.applyGrant(events_.now(), grant, response.quotaGrants.number);
}

void FleetModel::turnToNextRelay(std::size_t g) {
  GatewayNode& gateway = *gateways_[g];
  gateway.known = gateway.inFlight = false;
  gateway.admission.requestFailed();
  gateway.relay = (gateway.relay + 1) % relays_.size();
  retryPending(gateway);
  scheduleGateway(g, FollowSchedule::kRetryDelay);
}

void FleetModel::scheduleGateway(std::size_t g, Millis wait) {
  gateways_[g]->schedule.planNext(events_.now() + wait);
  requestFromRelayUnlessSent(g, wait);
}

void FleetModel::requestFromRelayUnlessSent(std::size_t g, Millis wait) {
  const std::uint64_t number = gateways_[g]->requestNumber;
  events_.after(wait, [this, g, number] {
    if (gateways_[g]->requestNumber == number) requestFromRelay(g);
  });
}

// A gateway that needs tokens asks for them ahead of its time.
void FleetModel::advanceGateway(std::size_t g) {
  GatewayNode& gateway = *gateways_[g];
  const auto need = gateway.admission.need();
  if (need == Admission::Need::none || gateway.inFlight) return;
  const Millis gap =
      need == Admission::Need::waiting ? FollowSchedule::kMinPendingGap : FollowSchedule::kMinLowReserveGap;
  if (const auto wait = gateway.schedule.advance(events_.now(), gap)) requestFromRelayUnlessSent(g, *wait);
}

// --- Clients' requests

void FleetModel::scheduleArrival(std::size_t t) {
  const Millis wait = -std::log(1 - random_.chance()) * 1000 / tenants_[t].requestsPerS;
  events_.after(wait, [this, t] {
    arrive(t);
    scheduleArrival(t);
  });
}

void FleetModel::arrive(std::size_t t) {
  const double drawn = random_.chance();
  const auto index =
      static_cast<std::size_t>(std::pow(drawn, kGatewaySkew) * static_cast<double>(gateways_.size()));
  const std::size_t g = std::min(gateways_.size() - 1, index);
  GatewayNode& gateway = *gateways_[g];
  if (counting_) ++figures_.asked;
  const auto verdict = gateway.admission.tryAdmit(events_.now(), tenants_[t].name, random_.chance());
  if (verdict.admitted) {
    admit(gateway, t);
  } else if (verdict.tokenExpected) {
    gateway.pending.push_back({t, events_.now()});
    events_.after(kTokenTimeout, [this, &gateway] { rejectTimedOut(gateway); });
  } else {
    reject(t);
  }
  advanceGateway(g);
}

void FleetModel::retryPending(GatewayNode& gateway) {
  std::deque<PendingRequest> before;
  before.swap(gateway.pending);
  for (const PendingRequest& each : before) {
    const Millis waited = events_.now() - each.since;
    const auto verdict =
        gateway.admission.tryAdmit(events_.now(), tenants_[each.tenant].name, random_.chance(), true);
    if (!verdict.admitted && verdict.tokenExpected && waited < kTokenTimeout) {
      gateway.pending.push_back(each);
      continue;
    }
    if (counting_) waits_.push_back(waited);
    if (verdict.admitted)
      admit(gateway, each.tenant);
    else
      reject(each.tenant);
  }
}

void FleetModel::rejectTimedOut(GatewayNode& gateway) {
  while (!gateway.pending.empty() && events_.now() - gateway.pending.front().since >= kTokenTimeout) {
    if (counting_) waits_.push_back(events_.now() - gateway.pending.front().since);
    reject(gateway.pending.front().tenant);
    gateway.pending.pop_front();
  }
}

void FleetModel::admit(GatewayNode& gateway, std::size_t t) {
  Tenant& tenant = tenants_[t];
  tenant.admittedAt.push_back(events_.now());
  while (tenant.admittedAt.front() <= events_.now() - 1000 * rule_.windowSeconds)
    tenant.admittedAt.pop_front();
  const double allowed =
      (tenant.limit.rate * rule_.windowSeconds + tenant.limit.burst) * (1 + rule_.overage) + rule_.slack;
  const double over = static_cast<double>(tenant.admittedAt.size()) - allowed;
  figures_.worstOver = std::max(figures_.worstOver, over);
  events_.after(kServiceTime, [this, t, &gateway] {
    gateway.admission.requestEnded(events_.now(), tenants_[t].name, true);
  });
}

void FleetModel::reject(std::size_t t) {
  if (!counting_) return;
  const bool isFlooding = plan_.flood > 0 && t == 0;
  ++(isFlooding ? figures_.refusedOver : figures_.refusedInside);
}

// --- Figures

FleetFigures FleetModel::finish() {
  const double seconds = plan_.seconds;
  primaryCost_.looks = static_cast<double>(primary_->inspectedCount());
  const auto perSecond = [seconds](const Cost& cost, double nodes) {
    return Cost{cost.calls / seconds / nodes, cost.bytes / seconds / nodes, cost.looks / seconds / nodes,
                cost.processorMs / seconds / nodes};
  };
  const auto add = [](Cost& into, const Cost& cost) {
    into.calls += cost.calls;
    into.bytes += cost.bytes;
    into.processorMs += cost.processorMs;
  };
  Cost relays, gateways;
  for (const auto& relay : relays_) add(relays, relay->cost);
  for (const auto& gateway : gateways_) add(gateways, gateway->cost);
  const double gatewaySeconds = seconds * static_cast<double>(gateways_.size());
  for (auto* fields : {&figures_.callFields, &figures_.answerFields})
    for (auto& [name, bytes] : *fields) bytes /= gatewaySeconds;
  figures_.gatekeeperCalls = static_cast<double>(gatewayRequests_) / gatewaySeconds;
  figures_.primary = perSecond(primaryCost_, 1);
  figures_.relay = perSecond(relays, static_cast<double>(relays_.size()));
  figures_.gatekeeper = perSecond(gateways, static_cast<double>(gateways_.size()));
  addWaitFigures();
  return figures_;
}

void FleetModel::addWaitFigures() {
  figures_.waited = waits_.size();
  if (waits_.empty()) return;
  const double total = std::accumulate(waits_.begin(), waits_.end(), 0.0);
  figures_.waitedMs = total / static_cast<double>(waits_.size());
  std::sort(waits_.begin(), waits_.end());
  figures_.longWaitMs = waits_[waits_.size() * 99 / 100];
}

}  // namespace lilacmux
