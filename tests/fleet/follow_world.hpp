// A simulated system below the consensus: the real PrimaryService, ChangeLog, Relay and FollowerState on
// control nodes and gateways with clocks of their own, a network that partitions, loses and delays, a
// platform whose list lags and is read page by page. Who leads is decided here by the rules that Replica
// keeps (a lease of 1,000 ms at the primary, 1,100 ms at the members). All is drawn from a seed and
// repeatable.
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

struct FollowPlan {
  std::uint64_t seed = 1;
  unsigned hosts = 5;
  unsigned gatekeepers = 8;
  unsigned servers = 24;
  Millis faultsUntil = 20000, end = 55000;  // of the simulated time; a fault that has begun lasts up to 20 s
  Millis quietFor = 8000;                   // before the end, with no change at all
  Millis faultEvery = 900;
  Millis changeEvery = 500;  // of the configuration
  Millis serverEvery = 400;  // of the platform's list
  Millis pageEvery = 45;     // how long reading a page of it takes
  double clockError = 0.01;  // of a clock's rate, at most
  // Which faults are drawn: all kinds; a primary that is killed and restarts at once; one control machine
  // that is partitioned from the others, but not from gateways, for twenty seconds.
  enum class Faults { all, immediateRestart, longPartition } faults = Faults::all;
  // Whether a gateway must know of a drain within the bound whenever it holds a lease, in contact or not.
  // Where the platform cannot be read the bound does not run, so that never happens then.
  bool leasesBoundByDrains = false;
};

// The invariants that were violated, and what was measured.
struct FollowFigures {
  std::vector<std::string> violations;
  // For which a version was served after the change that revoked its keys was acknowledged.
  Millis longestRevokedKeyMs = 0;
  // Until a drain was known, from the list's change on or from when the machine was in contact.
  Millis slowestDrainMs = 0;
  unsigned primaries = 0, immediateRestarts = 0, changes = 0, drains = 0, snapshots = 0;
};

class FollowWorld {
 public:
  static constexpr Millis kRevocation = 5000, kRevocationMargin = 800;
  static constexpr Millis kContactAfter = 4000, kDrainWithin = 3000, kMaxLag = 800;
  static constexpr Millis kDrainBound = 5000;  // drainTimeoutMs
  static constexpr Millis kPrimaryLease = 1000, kMemberLease = 1100;
  static constexpr Millis kResponseTimeout = 700, kInterval = 250, kTick = 50, kReturnAfter = 5000;
  static constexpr std::size_t kPageSize = 10;
  static constexpr std::uint64_t kEpochsPerTerm = 1 << 20;  // from one primary's epoch to the next one's

  explicit FollowWorld(const FollowPlan& plan) : plan_(plan), random_(plan.seed) {
    for (unsigned h = 0; h < plan.hosts; ++h) {
      auto host = std::make_unique<Host>();
      host->name = "host" + std::to_string(h);
      host->endpoint = {"10.0.0." + std::to_string(h) + ":1", "z" + std::to_string(h % 3)};
      host->clock = drawClock();
      hosts_.push_back(std::move(host));
    }
    for (unsigned h = 0; h < plan.hosts; ++h) start(h);
    for (unsigned g = 0; g < plan.gatekeepers; ++g) {
      auto gateway = std::make_unique<Gateway>();
      gateway->name = "edge" + std::to_string(g);
      gateway->zone = "z" + std::to_string(g % 3);
      gateway->clock = drawClock();
      gateways_.push_back(std::move(gateway));
      startGateway(g);
    }
    for (unsigned s = 0; s < plan.servers; ++s) addServer();
  }

  FollowFigures play() {
    elect(0);
    events_.at(kTick, [this] { tick(); });
    if (plan_.changeEvery > 0) events_.at(plan_.changeEvery, [this] { scheduleChange(); });
    if (plan_.serverEvery > 0) events_.at(plan_.serverEvery, [this] { scheduleServerChange(); });
    events_.at(2000, [this] { scheduleFault(); });
    events_.runThrough(plan_.end);
    checkQuiet();
    return figures_;
  }

 private:
  struct Clock {
    double rate = 1;
    Millis offset = 0;
    Millis at(Millis real) const { return offset + real * rate; }
  };
  // One that follows, as src/fleet/follower does: a request at a time, and another target where it fails.
  struct FollowerLink {
    std::vector<std::size_t> preferred;
    std::size_t target = 0, failures = 0;
    Millis returnAt = 0;     // the best target is tried again
    std::uint64_t call = 0;  // the request in flight
    bool inFlight = false, known = false;
    Millis sentAt = 0;  // by its own clock
  };
  struct Primacy {
    std::unique_ptr<PrimaryService> core;
    std::uint64_t epoch = 0;
    Millis contactAt = 0;  // a majority has answered
    std::vector<Instance> gathered;
    ServerListAge age;  // by its own clock
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
    std::optional<Primacy> primacy;
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
    std::set<std::string> draining;  // seen by this incarnation
  };
  struct Server {
    Instance now;
    Millis from = 0;
    std::optional<Millis> drainingSince, removedAt;
  };
  Clock drawClock() { return {1 + plan_.clockError * (2 * random_.chance() - 1), random_.between(0, 1e6)}; }
  void violation(const std::string& what) {
    if (figures_.violations.size() < 5)
      figures_.violations.push_back("at " + std::to_string(events_.now()) + " ms: " + what);
  }
  void recordFault() { faultAt_ = events_.now(); }

  // --- The core, by the rules of its leases

  bool inCore(const Host& host) const {
    return host.alive && !host.partitioned && host.frozenUntil <= events_.now();
  }
  bool majority() const {
    const auto there = std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& h) { return inCore(*h); });
    return 2 * static_cast<std::size_t>(there) > hosts_.size();
  }
  bool mayServe(const Host& host) const {
    return host.alive && host.primacy && events_.now() < host.primacy->contactAt + kPrimaryLease;
  }
  void elect(std::size_t h) {
    Host& host = *hosts_[h];
    leader_ = h;
    epoch_ += kEpochsPerTerm;
    contactAt_ = events_.now();
    ++figures_.primaries;
    Primacy next;
    next.epoch = epoch_;
    next.contactAt = events_.now();
    next.core = std::make_unique<PrimaryService>(host.clock.at(events_.now()), epoch_, host.relay->log(),
                                                 std::set<std::string>{}, QuotaRule{}, RetryRule{});
    if (revision_ > 0)
      next.core->setConfiguration(host.clock.at(events_.now()), revision_, bodyOf(revision_), {});
    host.primacy = std::move(next);
    readPage(h, epoch_, 0);
  }
  void tick() {
    events_.after(kTick, [this] { tick(); });
    Host& leader = *hosts_[leader_];
    const bool leads = mayServe(leader) && leader.primacy->epoch == epoch_ && inCore(leader);
    if (leads && majority()) {
      contactAt_ = leader.primacy->contactAt = events_.now();
    } else if (events_.now() > contactAt_ + kMemberLease && majority() && random_.chance() < 0.1) {
      std::vector<std::size_t> there;
      for (std::size_t h = 0; h < hosts_.size(); ++h)
        if (inCore(*hosts_[h]) && !hosts_[h]->draining) there.push_back(h);
      if (!there.empty()) elect(there[random_.index(there.size())]);
    }
    for (const auto& host : hosts_)
      if (host->frozenUntil <= events_.now() && !mayServe(*host)) host->primacy.reset();
    if (delayedShare_ > 0 || lostShare_ > 0 || !majority()) recordFault();  // nobody is in contact
    check();
  }
  static std::shared_ptr<const std::string> bodyOf(std::uint64_t revision) {
    return std::make_shared<const std::string>(std::to_string(revision));
  }
  void scheduleChange() {
    if (events_.now() > plan_.end - plan_.quietFor) return;
    events_.after(random_.between(0.2, 1.8) * plan_.changeEvery, [this] { scheduleChange(); });
    Host& leader = *hosts_[leader_];
    if (!inCore(leader) || !majority() || !mayServe(leader) || leader.primacy->epoch != epoch_) return;
    revision_ += 1 + random_.index(3);
    acknowledged_[revision_] = events_.now();
    ++figures_.changes;
    leader.primacy->core->setConfiguration(leader.clock.at(events_.now()), revision_, bodyOf(revision_), {});
  }

  // --- The platform's list

  void addServer() {
    const std::string id = "i-" + std::to_string(servers_.size());
    Server server;
    server.now = {id,
                  "s" + std::to_string(random_.index(3)),
                  "10.1.0." + std::to_string(random_.index(40)) + ":80",
                  "z",
                  3,
                  false,
                  0};
    server.from = events_.now();
    servers_.push_back(server);
  }
  void scheduleServerChange() {
    if (events_.now() > plan_.end - plan_.quietFor) return;
    events_.after(random_.between(0.2, 1.8) * plan_.serverEvery, [this] { scheduleServerChange(); });
    std::vector<std::size_t> there;
    for (std::size_t s = 0; s < servers_.size(); ++s)
      if (!servers_[s].removedAt) there.push_back(s);
    Server& server = servers_[there[random_.index(there.size())]];
    if (server.drainingSince || random_.chance() < 0.2) {
      server.removedAt = events_.now();
    } else {
      server.drainingSince = events_.now();
      ++figures_.drains;
    }
    if (there.size() < plan_.servers + 4) addServer();
  }
  std::vector<Instance> listAt(Millis when) const {
    std::vector<Instance> out;
    for (const Server& server : servers_) {
      if (server.from > when || (server.removedAt && *server.removedAt <= when)) continue;
      out.push_back(server.now);
      out.back().draining = server.drainingSince && *server.drainingSince <= when;
    }
    return out;
  }
  // Each page is read at its own time, of a list as old as it may be, by its offset.
  void readPage(std::size_t h, std::uint64_t epoch, std::size_t offset) {
    Host& host = *hosts_[h];
    if (!host.primacy || host.primacy->epoch != epoch) return;
    if (host.frozenUntil > events_.now())
      return events_.at(host.frozenUntil, [this, h, epoch, offset] { readPage(h, epoch, offset); });
    if (!plan_.leasesBoundByDrains && (host.partitioned || random_.chance() < 0.03))
      return pageFailed(h, epoch);
    if (offset == 0) {
      host.primacy->gathered.clear();
      host.primacy->age.beginScan(host.clock.at(events_.now()));
    }
    const auto list = listAt(events_.now() - random_.between(0, kMaxLag));
    const std::size_t end = std::min(list.size(), offset + kPageSize);
    for (std::size_t i = offset; i < end; ++i) host.primacy->gathered.push_back(list[i]);
    host.primacy->age.pageReceived();
    if (end < list.size())
      return events_.after(plan_.pageEvery, [this, h, epoch, end] { readPage(h, epoch, end); });
    host.primacy->age.completeScan();
    host.primacy->core->updateServers(host.primacy->gathered);
    events_.after(500, [this, h, epoch] { readPage(h, epoch, 0); });
  }
  // The next attempt begins once the response has timed out.
  void pageFailed(std::size_t h, std::uint64_t epoch) {
    events_.after(500, [this, h, epoch] {
      Host& host = *hosts_[h];
      if (host.primacy && host.primacy->epoch == epoch)
        host.primacy->age.requestFailed(host.clock.at(events_.now()));
      readPage(h, epoch, 0);
    });
  }

  // --- Requests and responses

  void start(std::size_t h) {
    Host& host = *hosts_[h];
    host.alive = true;
    host.draining = false;
    host.primacy.reset();
    host.relay =
        std::make_unique<Relay>(host.name, host.endpoint, ++host.incarnation, host.clock.at(events_.now()));
    resetLink(host.link);
    host.link.target = random_.index(hosts_.size());
    const auto incarnation = host.incarnation;
    events_.after(random_.between(1, 60), [this, h, incarnation] {
      if (hosts_[h]->incarnation == incarnation && hosts_[h]->alive) askPrimary(h);
    });
  }
  void startGateway(std::size_t g) {
    Gateway& gateway = *gateways_[g];
    ++gateway.incarnation;
    gateway.state = std::make_unique<FollowerState>(kRevocation - kRevocationMargin);
    gateway.revision = gateway.relayListHash = 0;
    gateway.draining.clear();
    resetLink(gateway.link);
    gateway.link.target = random_.index(hosts_.size());
    const auto incarnation = gateway.incarnation;
    events_.after(random_.between(1, 60), [this, g, incarnation] {
      if (gateways_[g]->incarnation == incarnation) askRelay(g);
    });
  }
  // Of a new incarnation; a response to a request that is in flight is dropped.
  static void resetLink(FollowerLink& link) {
    const auto call = link.call;
    link = {};
    link.call = call;
  }
  // Runs at a machine, once it is not frozen, unless its process has been restarted by then.
  template <class Machine>
  void run(Machine& machine, Millis when, std::function<void()> what) {
    events_.at(when, [this, &machine, incarnation = machine.incarnation, what = std::move(what)] {
      if (machine.incarnation != incarnation) return;
      if (machine.frozenUntil > events_.now())
        return run(machine, machine.frozenUntil + random_.chance(), what);
      what();
    });
  }
  Millis oneWay() {
    return random_.chance() < delayedShare_ ? random_.between(0, 900) : random_.between(0.5, 4);
  }
  bool passes(bool linkIsPartitioned) { return !linkIsPartitioned && random_.chance() >= lostShare_; }

  template <class Machine>
  void ask(Machine& from, bool isPartitioned(const Machine&, const Host&), const FollowRequest& call,
           FollowResponse (FollowWorld::*answer)(std::size_t, const FollowRequest&),
           const std::function<void(std::optional<FollowResponse>)>& done) {
    FollowerLink& link = from.link;
    link.inFlight = true;
    const std::uint64_t number = ++link.call;
    link.sentAt = from.clock.at(events_.now());
    const auto finish = [this, &from, number, done](std::optional<FollowResponse> response) {
      if (from.link.call != number || !std::exchange(from.link.inFlight, false)) return;
      done(std::move(response));
    };
    run(from, events_.now() + kResponseTimeout, [finish] { finish(std::nullopt); });
    const std::size_t h = link.target;
    Host& to = *hosts_[h];
    if (!to.alive && !to.partitioned) return run(from, events_.now() + 1, [finish] { finish(std::nullopt); });
    if (!passes(isPartitioned(from, to))) return;
    const Frame sent = toFrame(call);
    run(to, events_.now() + oneWay(), [this, &from, &to, h, sent, answer, finish, isPartitioned] {
      if (!to.alive) return;
      const Frame back = toFrame((this->*answer)(h, *parseFollowRequest(sent)));
      if (!passes(isPartitioned(from, to))) return;
      run(from, events_.now() + oneWay(), [finish, back] { finish(parseFollowResponse(Frame(back))); });
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
    out.revocationMs = kRevocation;
    out.drainTimeoutMs = kDrainBound;
    return out;
  }
  FollowResponse primaryAnswers(std::size_t h, const FollowRequest& call) {
    Host& host = *hosts_[h];
    FollowResponse out;
    if (!mayServe(host)) {
      if (h != leader_ && inCore(host)) out.leader = hosts_[leader_]->endpoint.address;
      return out;
    }
    host.primacy->core->fillResponse(host.clock.at(events_.now()), call, true, out);
    out.listAgeMs = excessListAge(host.clock.at(events_.now()), host.primacy->age.asOf(), bounds());
    return out;
  }
  FollowResponse relayAnswers(std::size_t h, const FollowRequest& call) {
    FollowResponse out = hosts_[h]->relay->handleRequest(hosts_[h]->clock.at(events_.now()), call);
    if (out.delta.isSnapshot()) ++figures_.snapshots;
    return out;
  }
  std::size_t hostAt(const std::string& address) const {
    for (std::size_t h = 0; h < hosts_.size(); ++h)
      if (hosts_[h]->endpoint.address == address) return h;
    return 0;
  }
  // After a request that failed or was redirected: chooses the next target, and returns the delay, ms.
  Millis turnElsewhere(FollowerLink& link, const std::optional<FollowResponse>& response) {
    link.known = false;
    if (response && !response->leader.empty()) {
      link.target = hostAt(response->leader);
      return 60;
    }
    ++link.failures;
    link.returnAt = events_.now() + kReturnAfter;
    const auto& best = link.preferred;
    link.target = link.failures < best.size() ? best[link.failures] : random_.index(hosts_.size());
    return response ? 120 : 60;
  }
  void askPrimary(std::size_t h) {
    Host& host = *hosts_[h];
    const auto call = host.relay->nextRequest(host.clock.at(events_.now()),
                                              host.link.known ? ReportScope::delta : ReportScope::full);
    ask<Host>(host, hostsPartitioned, call, &FollowWorld::primaryAnswers,
              [this, h](std::optional<FollowResponse> response) {
                Host& mine = *hosts_[h];
                Millis wait = kInterval;
                if (response && response->epoch != 0) {
                  mine.link.known = response->holdingsKnown;
                  mine.relay->handleResponse(mine.clock.at(events_.now()), *response, mine.link.sentAt);
                } else {
                  mine.relay->requestFailed();
                  wait = turnElsewhere(mine.link, response);
                }
                run(mine, events_.now() + wait, [this, h] { askPrimary(h); });
              });
  }
  void askRelay(std::size_t g) {
    Gateway& gateway = *gateways_[g];
    const auto& best = gateway.link.preferred;
    if (!best.empty() && gateway.link.target != best.front() && events_.now() >= gateway.link.returnAt) {
      gateway.link.target = best.front();
      gateway.link.known = false;
    }
    FollowRequest call;
    call.name = gateway.name;
    call.zone = gateway.zone;
    call.revision = gateway.revision;
    call.relayListHash = gateway.relayListHash;
    call.full = !gateway.link.known;
    call.position = gateway.state->position();
    ask<Gateway>(gateway, gatewayPartitioned, call, &FollowWorld::relayAnswers,
                 [this, g](std::optional<FollowResponse> response) {
                   Gateway& mine = *gateways_[g];
                   Millis wait = kInterval;
                   if (response && response->epoch != 0)
                     take(mine, *response);
                   else
                     wait = turnElsewhere(mine.link, response);
                   run(mine, events_.now() + wait, [this, g] { askRelay(g); });
                 });
  }
  void take(Gateway& gateway, const FollowResponse& response) {
    gateway.link.known = response.holdingsKnown;
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
      violation(gateway.name + " has gone back in the log");
    for (const auto& [id, instance] : gateway.state->instances()) {
      if (instance.draining)
        gateway.draining.insert(id);
      else if (gateway.draining.contains(id))
        violation(gateway.name + " has taken back that " + id + " drains");
    }
    if (response.relays.empty()) return;
    gateway.relayListHash = response.relayListHash;
    gateway.link.preferred.clear();
    for (const RelayEndpoint& relay : response.relays)
      gateway.link.preferred.push_back(hostAt(relay.address));
    if (gateway.link.target != gateway.link.preferred.front()) gateway.link.known = false;
    gateway.link.target = gateway.link.preferred.front();
  }

  // --- Faults

  void scheduleFault() {
    if (events_.now() > plan_.faultsUntil) {
      delayedShare_ = lostShare_ = 0;
      return;
    }
    events_.after(random_.between(0.2, 1.8) * plan_.faultEvery, [this] { scheduleFault(); });
    const std::size_t h = random_.index(hosts_.size()), g = random_.index(gateways_.size());
    if (plan_.faults != FollowPlan::Faults::longPartition) recordFault();
    if (plan_.faults == FollowPlan::Faults::immediateRestart) return restartPrimaryAtOnce();
    if (plan_.faults == FollowPlan::Faults::longPartition) {
      if (std::any_of(hosts_.begin(), hosts_.end(), [](const auto& host) { return host->partitioned; }))
        return;
      return partition(random_.chance() < 0.5 ? leader_ : h, 20000, false);
    }
    switch (random_.index(10)) {
      case 0:
      case 1:
        return restartPrimaryAtOnce();
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
  void kill(std::size_t h, Millis away) {
    Host& host = *hosts_[h];
    if (!host.alive) return;
    host.alive = false;
    ++host.incarnation;
    host.primacy.reset();
    host.frozenUntil = 0;
    events_.after(away, [this, h] {
      recordFault();
      start(h);
    });
  }
  // The primary's process is killed, restarts at once and is elected again, as the last leader is at once.
  void restartPrimaryAtOnce() {
    const std::size_t h = leader_;
    Host& host = *hosts_[h];
    if (!host.alive || !mayServe(host)) return;
    ++figures_.immediateRestarts;
    const Millis away = random_.between(20, 150);
    kill(h, away);
    const auto epoch = epoch_;
    events_.after(away + random_.between(1, 100), [this, h, epoch] {
      if (epoch_ == epoch && leader_ == h && inCore(*hosts_[h]) && majority()) elect(h);
    });
  }
  void partition(std::size_t h, Millis lasts, bool fromGatekeepers) {
    Host& host = *hosts_[h];
    if (host.partitioned) return;
    recordFault();
    host.partitioned = true;
    host.partitionedFromGateways = fromGatekeepers;
    events_.after(lasts, [this, h] {
      hosts_[h]->partitioned = hosts_[h]->partitionedFromGateways = false;
      recordFault();
    });
  }
  void drain(std::size_t h) {
    Host& host = *hosts_[h];
    if (!host.alive || host.draining) return;
    host.draining = true;
    host.relay->drain();
    host.primacy.reset();
    if (h == leader_)
      contactAt_ = events_.now() - kMemberLease;  // one that resigns releases the members at once
    const auto incarnation = host.incarnation;
    events_.after(400, [this, h, incarnation] {
      if (hosts_[h]->incarnation == incarnation) kill(h, random_.between(50, 1000));
    });
  }

  // --- What must hold

  void check() {
    std::uint64_t newest = 0;
    for (const auto& [revision, when] : acknowledged_) {
      if (when > events_.now()) break;
      for (const auto& gateway : gateways_)
        if (gateway->revision < revision && gateway->state->holdsLease(gateway->clock.at(events_.now())) &&
            gateway->frozenUntil <= events_.now())
          figures_.longestRevokedKeyMs = std::max(figures_.longestRevokedKeyMs, events_.now() - when);
      if (when + kRevocation < events_.now()) newest = revision;
    }
    for (const auto& gateway : gateways_)
      if (gateway->revision < newest && gateway->state->holdsLease(gateway->clock.at(events_.now())))
        violation(gateway->name + " serves version " + std::to_string(gateway->revision) + " though " +
                  std::to_string(newest) + " took its keys away");
    plan_.leasesBoundByDrains ? checkLeases() : checkDrains();
  }
  // A gateway with a lease knows of each server that has been listed as draining for longer than the bound.
  void checkLeases() {
    for (const Server& server : servers_) {
      if (!server.drainingSince || events_.now() <= *server.drainingSince + kMaxLag + kDrainBound) continue;
      for (const auto& gateway : gateways_) {
        if (gateway->frozenUntil > events_.now() ||
            !gateway->state->holdsLease(gateway->clock.at(events_.now())))
          continue;
        const auto known = gateway->state->instances().find(server.now.id);
        if (known != gateway->state->instances().end() && !known->second.draining)
          violation(gateway->name + " may send to " + server.now.id +
                    ", which has been leaving for too long");
      }
    }
  }
  void checkDrains() {
    const Millis inTouch = faultAt_ + kContactAfter;
    if (events_.now() < inTouch) return;
    for (const Server& server : servers_) {
      if (!server.drainingSince) continue;
      const Millis from = std::max(*server.drainingSince, inTouch);
      for (const auto& gateway : gateways_) {
        if (gateway->partitioned || gateway->frozenUntil > events_.now()) continue;
        const auto known = gateway->state->instances().find(server.now.id);
        if (known == gateway->state->instances().end() || known->second.draining) continue;
        figures_.slowestDrainMs = std::max(figures_.slowestDrainMs, events_.now() - from);
        if (events_.now() > from + kDrainWithin &&
            events_.now() > *server.drainingSince + kMaxLag + kDrainWithin)
          violation(gateway->name + " does not know that " + server.now.id + " drains");
      }
    }
  }
  void checkQuiet() {
    std::map<std::string, Instance> truth;
    for (const Instance& instance : listAt(events_.now())) truth[instance.id] = instance;
    for (const auto& gateway : gateways_) {
      if (gateway->frozenUntil > events_.now() || gateway->partitioned) continue;
      if (gateway->revision != revision_)
        violation(gateway->name + " has an older configuration once all is quiet");
      if (!gateway->state->holdsLease(gateway->clock.at(events_.now())))
        violation(gateway->name + " holds no lease");
      if (gateway->state->instances() != truth)
        violation(gateway->name + " has " + std::to_string(gateway->state->instances().size()) +
                  " other servers than the " + std::to_string(truth.size()) + " of the list");
    }
  }

  const FollowPlan plan_;
  MersenneRandom random_;
  EventQueue events_;
  Millis faultAt_ = 0;                       // the last one
  double delayedShare_ = 0, lostShare_ = 0;  // of the messages
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<Server> servers_;
  std::size_t leader_ = 0;
  std::uint64_t epoch_ = 0, revision_ = 0;
  Millis contactAt_ = 0;  // the newest primary's, with a majority
  std::map<std::uint64_t, Millis> acknowledged_;
  FollowFigures figures_;
};

}  // namespace lilacmux::test
