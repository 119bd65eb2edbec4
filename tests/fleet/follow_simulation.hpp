// Simulates a cluster of control nodes and gateways without the consensus layer. It runs the real
// PrimaryService, ChangeLog, Relay and FollowerState; each machine has its own clock. The simulated network
// partitions machines, and loses and delays messages. The simulated platform's server list lags and is read
// page by page. The simulation elects the primary by the rules of Replica (a lease of 1,000 ms at the
// primary, 1,100 ms at the members). All random choices are derived from a seed, so runs are reproducible.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "experiment/event_queue.hpp"
#include "experiment/mersenne_random.hpp"
#include "fleet/follow_codec.hpp"
#include "fleet/follower_state.hpp"
#include "fleet/primary_service.hpp"
#include "fleet/relay.hpp"
#include "fleet/server_list_age.hpp"

namespace lilacmux::test {

using Millis = double;

struct FollowSimulationPlan {
  std::uint64_t seed = 1;
  unsigned hosts = 5;
  unsigned gateways = 8;
  unsigned servers = 24;
  Millis faultsUntil = 20000, end = 55000;  // simulated time; a fault that has begun lasts up to 20 s
  Millis finalStablePeriod = 8000;          // final period without configuration and server changes
  Millis meanFaultInterval = 900;           // mean time between two faults
  Millis meanConfigurationInterval = 500;   // mean time between two configuration changes
  Millis meanServerInterval = 400;          // mean time between two changes of the platform's list
  Millis pageReadTime = 45;                 // time to read one page of the list
  double clockError = 0.01;                 // maximum relative error of a clock's rate
  // The kinds of faults: all; the primary is killed and restarts immediately; one control node is partitioned
  // from the other control nodes, but not from gateways, for 20 s.
  enum class Faults { all, immediateRestart, longPartition } faults = Faults::all;
  // Whether a gateway must know of a draining server within the drain timeout whenever it holds a lease, even
  // without contact. The timeout is suspended while the platform cannot be read, so reads never fail in this
  // mode.
  bool checksDrainsByLease = false;
};

// The violated invariants and the measured values.
struct FollowSimulationResults {
  std::vector<std::string> violations;
  // Longest time that a version was served after the change that revoked its keys was acknowledged.
  Millis maxRevokedKeyMs = 0;
  // Longest time until a gateway knew of a draining server, from the later of the list's change and regained
  // contact.
  Millis maxDrainDelayMs = 0;
  unsigned primaries = 0, immediateRestarts = 0, configurationChanges = 0, drains = 0, snapshots = 0;
};

class FollowSimulation {
 public:
  static constexpr Millis kRevocationTimeout = 5000, kRevocationMargin = 800;
  // A machine counts as being in contact again this long after the last fault.
  static constexpr Millis kContactAfterFault = 4000;
  // Maximum time until a gateway in contact knows of a draining server, and maximum lag of the platform's
  // list.
  static constexpr Millis kMaxDrainDelay = 3000, kMaxListLag = 800;
  static constexpr Millis kDrainTimeout = 5000;  // drainTimeoutMs
  static constexpr Millis kPrimaryLease = 1000, kMemberLease = 1100;
  static constexpr Millis kResponseTimeout = 700, kInterval = 250, kTick = 50, kPreferredRetryDelay = 5000;
  static constexpr std::size_t kPageSize = 10;
  // Difference between the epochs of successive primaries.
  static constexpr std::uint64_t kEpochsPerTerm = 1 << 20;

  explicit FollowSimulation(const FollowSimulationPlan& plan) : plan_(plan), random_(plan.seed) {
    for (unsigned h = 0; h < plan.hosts; ++h) {
      auto host = std::make_unique<Host>();
      host->name = "host" + std::to_string(h);
      host->endpoint = {"10.0.0." + std::to_string(h) + ":1", "z" + std::to_string(h % 3)};
      host->clock = drawClock();
      hosts_.push_back(std::move(host));
    }
    for (unsigned h = 0; h < plan.hosts; ++h) startHost(h);
    for (unsigned g = 0; g < plan.gateways; ++g) {
      auto gateway = std::make_unique<Gateway>();
      gateway->name = "edge" + std::to_string(g);
      gateway->zone = "z" + std::to_string(g % 3);
      gateway->clock = drawClock();
      gateways_.push_back(std::move(gateway));
      startGateway(g);
    }
    for (unsigned s = 0; s < plan.servers; ++s) addServer();
  }

  FollowSimulationResults simulate() {
    electPrimary(0);
    events_.at(kTick, [this] { tick(); });
    if (plan_.meanConfigurationInterval > 0)
      events_.at(plan_.meanConfigurationInterval, [this] { scheduleConfigurationChange(); });
    if (plan_.meanServerInterval > 0)
      events_.at(plan_.meanServerInterval, [this] { scheduleServerChange(); });
    events_.at(2000, [this] { scheduleFault(); });
    events_.runThrough(plan_.end);
    checkFinalState();
    return results_;
  }

 private:
  struct Clock {
    double rate = 1;
    Millis offset = 0;
    Millis at(Millis real) const { return offset + real * rate; }
  };
  // State of a follower, which behaves like src/fleet/follower: one request at a time, and another target
  // after a failure.
  struct FollowerLink {
    std::vector<std::size_t> preferred;
    std::size_t target = 0, failures = 0;
    Millis returnAt = 0;              // when the most preferred target is tried again
    std::uint64_t requestNumber = 0;  // number of the request in flight
    bool inFlight = false, isKnownToPeer = false;
    Millis sentAt = 0;  // by the local clock
  };
  struct PrimaryTerm {
    std::unique_ptr<PrimaryService> service;
    std::uint64_t epoch = 0;
    Millis contactAt = 0;  // last response of a majority
    std::vector<Instance> scannedServers;
    ServerListAge age;  // by the local clock
  };
  struct Host {
    std::string name;
    RelayEndpoint endpoint;
    Clock clock;
    std::uint64_t incarnation = 0;
    bool alive = true, partitioned = false, partitionedFromGateways = false, draining = false;
    Millis frozenUntil = 0;
    std::unique_ptr<Relay> relay;
    FollowerLink link;
    std::optional<PrimaryTerm> primaryTerm;
  };
  struct Gateway {
    std::string name, zone;
    Clock clock;
    std::uint64_t incarnation = 0;
    bool partitioned = false;
    Millis frozenUntil = 0;
    FollowerLink link;
    std::unique_ptr<FollowerState> state;
    std::uint64_t revision = 0, relayListHash = 0;
    std::set<std::string> draining;  // known to this incarnation to be draining
  };
  struct Server {
    Instance instance;
    Millis listedSince = 0;
    std::optional<Millis> drainingSince, removedAt;
  };
  Clock drawClock() { return {1 + plan_.clockError * (2 * random_.chance() - 1), random_.between(0, 1e6)}; }
  void reportViolation(const std::string& message) {
    if (results_.violations.size() < 5)
      results_.violations.push_back("at " + std::to_string(events_.now()) + " ms: " + message);
  }
  void recordFault() { lastFaultAt_ = events_.now(); }

  // --- The core, with the lease rules of Replica

  bool canReachCore(const Host& host) const {
    return host.alive && !host.partitioned && host.frozenUntil <= events_.now();
  }
  bool hasMajority() const {
    const auto reachable =
        std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& h) { return canReachCore(*h); });
    return 2 * static_cast<std::size_t>(reachable) > hosts_.size();
  }
  bool mayServeAsPrimary(const Host& host) const {
    return host.alive && host.primaryTerm && events_.now() < host.primaryTerm->contactAt + kPrimaryLease;
  }
  void electPrimary(std::size_t h) {
    Host& host = *hosts_[h];
    leader_ = h;
    epoch_ += kEpochsPerTerm;
    contactAt_ = events_.now();
    ++results_.primaries;
    PrimaryTerm next;
    next.epoch = epoch_;
    next.contactAt = events_.now();
    next.service = std::make_unique<PrimaryService>(host.clock.at(events_.now()), epoch_, host.relay->log(),
                                                    std::set<std::string>{}, QuotaRule{}, RetryRule{});
    if (revision_ > 0)
      next.service->setConfiguration(host.clock.at(events_.now()), revision_, configurationBody(revision_),
                                     {});
    host.primaryTerm = std::move(next);
    readPage(h, epoch_, 0);
  }
  void tick() {
    events_.after(kTick, [this] { tick(); });
    Host& leader = *hosts_[leader_];
    const bool isLeading =
        mayServeAsPrimary(leader) && leader.primaryTerm->epoch == epoch_ && canReachCore(leader);
    if (isLeading && hasMajority()) {
      contactAt_ = leader.primaryTerm->contactAt = events_.now();
    } else if (events_.now() > contactAt_ + kMemberLease && hasMajority() && random_.chance() < 0.1) {
      std::vector<std::size_t> candidates;
      for (std::size_t h = 0; h < hosts_.size(); ++h)
        if (canReachCore(*hosts_[h]) && !hosts_[h]->draining) candidates.push_back(h);
      if (!candidates.empty()) electPrimary(candidates[random_.index(candidates.size())]);
    }
    for (const auto& host : hosts_)
      if (host->frozenUntil <= events_.now() && !mayServeAsPrimary(*host)) host->primaryTerm.reset();
    if (delayedShare_ > 0 || lostShare_ > 0 || !hasMajority())
      recordFault();  // no machine has reliable contact
    checkInvariants();
  }
  static std::shared_ptr<const std::string> configurationBody(std::uint64_t revision) {
    return std::make_shared<const std::string>(std::to_string(revision));
  }
  void scheduleConfigurationChange() {
    if (events_.now() > plan_.end - plan_.finalStablePeriod) return;
    events_.after(random_.between(0.2, 1.8) * plan_.meanConfigurationInterval,
                  [this] { scheduleConfigurationChange(); });
    Host& leader = *hosts_[leader_];
    if (!canReachCore(leader) || !hasMajority() || !mayServeAsPrimary(leader) ||
        leader.primaryTerm->epoch != epoch_)
      return;
    revision_ += 1 + random_.index(3);
    acknowledged_[revision_] = events_.now();
    ++results_.configurationChanges;
    leader.primaryTerm->service->setConfiguration(leader.clock.at(events_.now()), revision_,
                                                  configurationBody(revision_), {});
  }

  // --- The platform's list

  void addServer() {
    const std::string id = "i-" + std::to_string(servers_.size());
    Server server;
    server.instance = {id,
                       "s" + std::to_string(random_.index(3)),
                       "10.1.0." + std::to_string(random_.index(40)) + ":80",
                       "z",
                       3,
                       false,
                       0};
    server.listedSince = events_.now();
    servers_.push_back(server);
  }
  void scheduleServerChange() {
    if (events_.now() > plan_.end - plan_.finalStablePeriod) return;
    events_.after(random_.between(0.2, 1.8) * plan_.meanServerInterval, [this] { scheduleServerChange(); });
    std::vector<std::size_t> listedServers;
    for (std::size_t s = 0; s < servers_.size(); ++s)
      if (!servers_[s].removedAt) listedServers.push_back(s);
    Server& server = servers_[listedServers[random_.index(listedServers.size())]];
    if (server.drainingSince || random_.chance() < 0.2) {
      server.removedAt = events_.now();
    } else {
      server.drainingSince = events_.now();
      ++results_.drains;
    }
    if (listedServers.size() < plan_.servers + 4) addServer();
  }
  std::vector<Instance> listAt(Millis when) const {
    std::vector<Instance> out;
    for (const Server& server : servers_) {
      if (server.listedSince > when || (server.removedAt && *server.removedAt <= when)) continue;
      out.push_back(server.instance);
      out.back().draining = server.drainingSince && *server.drainingSince <= when;
    }
    return out;
  }
  // Reads the page at `offset`. Each page is read at its own time, from a list that lags by a random time.
  void readPage(std::size_t h, std::uint64_t epoch, std::size_t offset) {
    Host& host = *hosts_[h];
    if (!host.primaryTerm || host.primaryTerm->epoch != epoch) return;
    if (host.frozenUntil > events_.now())
      return events_.at(host.frozenUntil, [this, h, epoch, offset] { readPage(h, epoch, offset); });
    if (!plan_.checksDrainsByLease && (host.partitioned || random_.chance() < 0.03))
      return handlePageFailure(h, epoch);
    if (offset == 0) {
      host.primaryTerm->scannedServers.clear();
      host.primaryTerm->age.beginScan(host.clock.at(events_.now()));
    }
    const auto list = listAt(events_.now() - random_.between(0, kMaxListLag));
    const std::size_t end = std::min(list.size(), offset + kPageSize);
    for (std::size_t i = offset; i < end; ++i) host.primaryTerm->scannedServers.push_back(list[i]);
    host.primaryTerm->age.pageReceived();
    if (end < list.size())
      return events_.after(plan_.pageReadTime, [this, h, epoch, end] { readPage(h, epoch, end); });
    host.primaryTerm->age.completeScan();
    host.primaryTerm->service->updateServers(host.primaryTerm->scannedServers);
    events_.after(500, [this, h, epoch] { readPage(h, epoch, 0); });
  }
  // Starts the next scan after the response has timed out.
  void handlePageFailure(std::size_t h, std::uint64_t epoch) {
    events_.after(500, [this, h, epoch] {
      Host& host = *hosts_[h];
      if (host.primaryTerm && host.primaryTerm->epoch == epoch)
        host.primaryTerm->age.requestFailed(host.clock.at(events_.now()));
      readPage(h, epoch, 0);
    });
  }

  // --- Requests and responses

  void startHost(std::size_t h) {
    Host& host = *hosts_[h];
    host.alive = true;
    host.draining = false;
    host.primaryTerm.reset();
    host.relay =
        std::make_unique<Relay>(host.name, host.endpoint, ++host.incarnation, host.clock.at(events_.now()));
    resetLink(host.link);
    host.link.target = random_.index(hosts_.size());
    const auto incarnation = host.incarnation;
    events_.after(random_.between(1, 60), [this, h, incarnation] {
      if (hosts_[h]->incarnation == incarnation && hosts_[h]->alive) requestFromPrimary(h);
    });
  }
  void startGateway(std::size_t g) {
    Gateway& gateway = *gateways_[g];
    ++gateway.incarnation;
    gateway.state = std::make_unique<FollowerState>(kRevocationTimeout - kRevocationMargin);
    gateway.revision = gateway.relayListHash = 0;
    gateway.draining.clear();
    resetLink(gateway.link);
    gateway.link.target = random_.index(hosts_.size());
    const auto incarnation = gateway.incarnation;
    events_.after(random_.between(1, 60), [this, g, incarnation] {
      if (gateways_[g]->incarnation == incarnation) requestFromRelay(g);
    });
  }
  // Resets the link for a new incarnation. The request number is retained, so that a response to a request of
  // the previous incarnation is dropped.
  static void resetLink(FollowerLink& link) {
    const auto requestNumber = link.requestNumber;
    link = {};
    link.requestNumber = requestNumber;
  }
  // Runs `action` on a machine at `when`, or later if the machine is frozen then. Drops the action if the
  // process has restarted in the meantime.
  template <class Machine>
  void run(Machine& machine, Millis when, std::function<void()> action) {
    events_.at(when, [this, &machine, incarnation = machine.incarnation, action = std::move(action)] {
      if (machine.incarnation != incarnation) return;
      if (machine.frozenUntil > events_.now())
        return run(machine, machine.frozenUntil + random_.chance(), action);
      action();
    });
  }
  // Draws the one-way delay of a message, ms.
  Millis networkDelay() {
    return random_.chance() < delayedShare_ ? random_.between(0, 900) : random_.between(0.5, 4);
  }
  bool isDelivered(bool linkIsPartitioned) { return !linkIsPartitioned && random_.chance() >= lostShare_; }

  template <class Machine>
  void sendRequest(Machine& from, bool isPartitioned(const Machine&, const Host&),
                   const FollowRequest& request,
                   FollowResponse (FollowSimulation::*handler)(std::size_t, const FollowRequest&),
                   const std::function<void(std::optional<FollowResponse>)>& done) {
    FollowerLink& link = from.link;
    link.inFlight = true;
    const std::uint64_t number = ++link.requestNumber;
    link.sentAt = from.clock.at(events_.now());
    const auto complete = [this, &from, number, done](std::optional<FollowResponse> response) {
      if (from.link.requestNumber != number || !std::exchange(from.link.inFlight, false)) return;
      done(std::move(response));
    };
    run(from, events_.now() + kResponseTimeout, [complete] { complete(std::nullopt); });
    const std::size_t h = link.target;
    Host& to = *hosts_[h];
    if (!to.alive && !to.partitioned)
      return run(from, events_.now() + 1, [complete] { complete(std::nullopt); });
    if (!isDelivered(isPartitioned(from, to))) return;
    const Frame requestFrame = toFrame(request);
    run(to, events_.now() + networkDelay(),
        [this, &from, &to, h, requestFrame, handler, complete, isPartitioned] {
          if (!to.alive) return;
          const Frame responseFrame = toFrame((this->*handler)(h, *parseFollowRequest(requestFrame)));
          if (!isDelivered(isPartitioned(from, to))) return;
          run(from, events_.now() + networkDelay(),
              [complete, responseFrame] { complete(parseFollowResponse(Frame(responseFrame))); });
        });
  }
  static bool hostsPartitioned(const Host& a, const Host& b) {
    return &a != &b && (a.partitioned || b.partitioned);
  }
  static bool gatewayPartitioned(const Gateway& a, const Host& b) {
    return a.partitioned || b.partitionedFromGateways;
  }

  static ServiceBounds bounds() {
    ServiceBounds out;
    out.revocationGlobal = true;
    out.revocationMs = kRevocationTimeout;
    out.drainTimeoutMs = kDrainTimeout;
    return out;
  }
  FollowResponse handleAtPrimary(std::size_t h, const FollowRequest& request) {
    Host& host = *hosts_[h];
    FollowResponse out;
    if (!mayServeAsPrimary(host)) {
      if (h != leader_ && canReachCore(host)) out.leader = hosts_[leader_]->endpoint.address;
      return out;
    }
    host.primaryTerm->service->fillResponse(host.clock.at(events_.now()), request, true, out);
    out.listAgeMs = excessListAge(host.clock.at(events_.now()), host.primaryTerm->age.asOf(), bounds());
    return out;
  }
  FollowResponse handleAtRelay(std::size_t h, const FollowRequest& request) {
    FollowResponse out = hosts_[h]->relay->handleRequest(hosts_[h]->clock.at(events_.now()), request);
    if (out.delta.isSnapshot()) ++results_.snapshots;
    return out;
  }
  std::size_t hostAt(const std::string& address) const {
    for (std::size_t h = 0; h < hosts_.size(); ++h)
      if (hosts_[h]->endpoint.address == address) return h;
    return 0;
  }
  // Selects the next target after a failed or redirected request, and returns the delay until the next
  // request, ms.
  Millis selectNextTarget(FollowerLink& link, const std::optional<FollowResponse>& response) {
    link.isKnownToPeer = false;
    if (response && !response->leader.empty()) {
      link.target = hostAt(response->leader);
      return 60;
    }
    ++link.failures;
    link.returnAt = events_.now() + kPreferredRetryDelay;
    const auto& preferred = link.preferred;
    link.target = link.failures < preferred.size() ? preferred[link.failures] : random_.index(hosts_.size());
    return response ? 120 : 60;
  }
  void requestFromPrimary(std::size_t h) {
    Host& host = *hosts_[h];
    const auto request = host.relay->nextRequest(
        host.clock.at(events_.now()), host.link.isKnownToPeer ? ReportScope::delta : ReportScope::full);
    sendRequest<Host>(host, hostsPartitioned, request, &FollowSimulation::handleAtPrimary,
                      [this, h](std::optional<FollowResponse> response) {
                        Host& self = *hosts_[h];
                        Millis wait = kInterval;
                        if (response && response->epoch != 0) {
                          self.link.isKnownToPeer = response->holdingsKnown;
                          self.relay->handleResponse(self.clock.at(events_.now()), *response,
                                                     self.link.sentAt);
                        } else {
                          self.relay->requestFailed();
                          wait = selectNextTarget(self.link, response);
                        }
                        run(self, events_.now() + wait, [this, h] { requestFromPrimary(h); });
                      });
  }
  void requestFromRelay(std::size_t g) {
    Gateway& gateway = *gateways_[g];
    const auto& preferred = gateway.link.preferred;
    if (!preferred.empty() && gateway.link.target != preferred.front() &&
        events_.now() >= gateway.link.returnAt) {
      gateway.link.target = preferred.front();
      gateway.link.isKnownToPeer = false;
    }
    FollowRequest request;
    request.name = gateway.name;
    request.zone = gateway.zone;
    request.revision = gateway.revision;
    request.relayListHash = gateway.relayListHash;
    request.full = !gateway.link.isKnownToPeer;
    request.position = gateway.state->position();
    sendRequest<Gateway>(gateway, gatewayPartitioned, request, &FollowSimulation::handleAtRelay,
                         [this, g](std::optional<FollowResponse> response) {
                           Gateway& self = *gateways_[g];
                           Millis wait = kInterval;
                           if (response && response->epoch != 0)
                             applyResponse(self, *response);
                           else
                             wait = selectNextTarget(self.link, response);
                           run(self, events_.now() + wait, [this, g] { requestFromRelay(g); });
                         });
  }
  void applyResponse(Gateway& gateway, const FollowResponse& response) {
    gateway.link.isKnownToPeer = response.holdingsKnown;
    gateway.link.failures = 0;
    const auto epoch = gateway.state->epoch();
    const ListPosition before = gateway.state->position();
    if (gateway.state->accepts(response)) {
      if (response.delta.configuration) {
        const auto revision = std::stoull(*response.delta.configuration);
        if (revision > gateway.revision) gateway.revision = revision;
      }
      gateway.state->apply(response, gateway.link.sentAt, gateway.revision);
    }
    if (gateway.state->epoch() < epoch || gateway.state->position() < before)
      reportViolation(gateway.name + " moved to an earlier position in the log");
    for (const auto& [id, instance] : gateway.state->instances()) {
      if (instance.draining)
        gateway.draining.insert(id);
      else if (gateway.draining.contains(id))
        reportViolation(gateway.name + " no longer lists " + id + " as draining");
    }
    if (response.relays.empty()) return;
    gateway.relayListHash = response.relayListHash;
    gateway.link.preferred.clear();
    for (const RelayEndpoint& relay : response.relays)
      gateway.link.preferred.push_back(hostAt(relay.address));
    if (gateway.link.target != gateway.link.preferred.front()) gateway.link.isKnownToPeer = false;
    gateway.link.target = gateway.link.preferred.front();
  }

  // --- Faults

  void scheduleFault() {
    if (events_.now() > plan_.faultsUntil) {
      delayedShare_ = lostShare_ = 0;
      return;
    }
    events_.after(random_.between(0.2, 1.8) * plan_.meanFaultInterval, [this] { scheduleFault(); });
    const std::size_t h = random_.index(hosts_.size()), g = random_.index(gateways_.size());
    if (plan_.faults != FollowSimulationPlan::Faults::longPartition) recordFault();
    if (plan_.faults == FollowSimulationPlan::Faults::immediateRestart) return restartPrimaryImmediately();
    if (plan_.faults == FollowSimulationPlan::Faults::longPartition) {
      if (std::any_of(hosts_.begin(), hosts_.end(), [](const auto& host) { return host->partitioned; }))
        return;
      return partition(random_.chance() < 0.5 ? leader_ : h, 20000, false);
    }
    switch (random_.index(10)) {
      case 0:
      case 1:
        return restartPrimaryImmediately();
      case 2:
        return kill(random_.chance() < 0.5 ? leader_ : h, random_.between(50, 5000));
      case 3:
        return partition(random_.chance() < 0.5 ? leader_ : h, random_.between(300, 20000),
                         random_.chance() < 0.5);
      case 4:
        hosts_[h]->frozenUntil =
            std::max(hosts_[h]->frozenUntil, events_.now() + random_.between(300, 12000));
        return events_.at(hosts_[h]->frozenUntil, [this] { recordFault(); });
      case 5:
        return drain(h);
      case 6:
        gateways_[g]->partitioned = true;
        return events_.after(random_.between(300, 20000), [this, g] {
          gateways_[g]->partitioned = false;
          recordFault();
        });
      case 7:
        gateways_[g]->frozenUntil = events_.now() + random_.between(300, 12000);
        return events_.at(gateways_[g]->frozenUntil, [this] { recordFault(); });
      case 8:
        return startGateway(g);
      default:
        delayedShare_ = random_.chance() < 0.5 ? 0.2 * random_.chance() : 0;
        lostShare_ = random_.chance() < 0.5 ? 0.2 * random_.chance() : 0;
    }
  }
  void kill(std::size_t h, Millis downtime) {
    Host& host = *hosts_[h];
    if (!host.alive) return;
    host.alive = false;
    ++host.incarnation;
    host.primaryTerm.reset();
    host.frozenUntil = 0;
    events_.after(downtime, [this, h] {
      recordFault();
      startHost(h);
    });
  }
  // Kills the primary's process, restarts it immediately and elects it again, as the core does with the last
  // leader.
  void restartPrimaryImmediately() {
    const std::size_t h = leader_;
    Host& host = *hosts_[h];
    if (!host.alive || !mayServeAsPrimary(host)) return;
    ++results_.immediateRestarts;
    const Millis downtime = random_.between(20, 150);
    kill(h, downtime);
    const auto epoch = epoch_;
    events_.after(downtime + random_.between(1, 100), [this, h, epoch] {
      if (epoch_ == epoch && leader_ == h && canReachCore(*hosts_[h]) && hasMajority()) electPrimary(h);
    });
  }
  void partition(std::size_t h, Millis duration, bool fromGateways) {
    Host& host = *hosts_[h];
    if (host.partitioned) return;
    recordFault();
    host.partitioned = true;
    host.partitionedFromGateways = fromGateways;
    events_.after(duration, [this, h] {
      hosts_[h]->partitioned = hosts_[h]->partitionedFromGateways = false;
      recordFault();
    });
  }
  void drain(std::size_t h) {
    Host& host = *hosts_[h];
    if (!host.alive || host.draining) return;
    host.draining = true;
    host.relay->drain();
    host.primaryTerm.reset();
    if (h == leader_)
      contactAt_ = events_.now() - kMemberLease;  // a leader that resigns releases the members immediately
    const auto incarnation = host.incarnation;
    events_.after(400, [this, h, incarnation] {
      if (hosts_[h]->incarnation == incarnation) kill(h, random_.between(50, 1000));
    });
  }

  // --- Invariants

  void checkInvariants() {
    std::uint64_t oldestAllowedRevision = 0;
    for (const auto& [revision, when] : acknowledged_) {
      if (when > events_.now()) break;
      for (const auto& gateway : gateways_)
        if (gateway->revision < revision && gateway->state->holdsLease(gateway->clock.at(events_.now())) &&
            gateway->frozenUntil <= events_.now())
          results_.maxRevokedKeyMs = std::max(results_.maxRevokedKeyMs, events_.now() - when);
      if (when + kRevocationTimeout < events_.now()) oldestAllowedRevision = revision;
    }
    for (const auto& gateway : gateways_)
      if (gateway->revision < oldestAllowedRevision &&
          gateway->state->holdsLease(gateway->clock.at(events_.now())))
        reportViolation(gateway->name + " serves version " + std::to_string(gateway->revision) +
                        " although version " + std::to_string(oldestAllowedRevision) + " revoked its keys");
    plan_.checksDrainsByLease ? checkLeases() : checkDrainsInContact();
  }
  // Checks that each gateway with a lease knows of all servers that have been listed as draining for longer
  // than the drain timeout.
  void checkLeases() {
    for (const Server& server : servers_) {
      if (!server.drainingSince || events_.now() <= *server.drainingSince + kMaxListLag + kDrainTimeout)
        continue;
      for (const auto& gateway : gateways_) {
        if (gateway->frozenUntil > events_.now() ||
            !gateway->state->holdsLease(gateway->clock.at(events_.now())))
          continue;
        const auto found = gateway->state->instances().find(server.instance.id);
        if (found != gateway->state->instances().end() && !found->second.draining)
          reportViolation(gateway->name + " may send to " + server.instance.id +
                          ", which has been draining for longer than the drain timeout");
      }
    }
  }
  // Checks that each gateway in contact knows of all draining servers within kMaxDrainDelay.
  void checkDrainsInContact() {
    const Millis inContactSince = lastFaultAt_ + kContactAfterFault;
    if (events_.now() < inContactSince) return;
    for (const Server& server : servers_) {
      if (!server.drainingSince) continue;
      const Millis delayStart = std::max(*server.drainingSince, inContactSince);
      for (const auto& gateway : gateways_) {
        if (gateway->partitioned || gateway->frozenUntil > events_.now()) continue;
        const auto found = gateway->state->instances().find(server.instance.id);
        if (found == gateway->state->instances().end() || found->second.draining) continue;
        results_.maxDrainDelayMs = std::max(results_.maxDrainDelayMs, events_.now() - delayStart);
        if (events_.now() > delayStart + kMaxDrainDelay &&
            events_.now() > *server.drainingSince + kMaxListLag + kMaxDrainDelay)
          reportViolation(gateway->name + " does not know that " + server.instance.id + " is draining");
      }
    }
  }
  // Checks that each reachable gateway has a lease, the newest configuration and the servers of the
  // platform's list.
  void checkFinalState() {
    std::map<std::string, Instance> expected;
    for (const Instance& instance : listAt(events_.now())) expected[instance.id] = instance;
    for (const auto& gateway : gateways_) {
      if (gateway->frozenUntil > events_.now() || gateway->partitioned) continue;
      if (gateway->revision != revision_)
        reportViolation(gateway->name + " has an outdated configuration at the end of the run");
      if (!gateway->state->holdsLease(gateway->clock.at(events_.now())))
        reportViolation(gateway->name + " holds no lease");
      if (gateway->state->instances() != expected)
        reportViolation(gateway->name + " has " + std::to_string(gateway->state->instances().size()) +
                        " servers, which differ from the " + std::to_string(expected.size()) +
                        " servers of the list");
    }
  }

  const FollowSimulationPlan plan_;
  MersenneRandom random_;
  EventQueue events_;
  Millis lastFaultAt_ = 0;                   // time of the last fault
  double delayedShare_ = 0, lostShare_ = 0;  // shares of delayed and lost messages
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<Server> servers_;
  std::size_t leader_ = 0;
  std::uint64_t epoch_ = 0, revision_ = 0;
  Millis contactAt_ = 0;                          // last contact of the newest primary with a majority
  std::map<std::uint64_t, Millis> acknowledged_;  // times of acknowledgement, by revision
  FollowSimulationResults results_;
};

}  // namespace lilacmux::test
