#include "experiment/ownership_run.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

#include "experiment/key_holder.hpp"
#include "experiment/random.hpp"
#include "ownership/assignment_planner.hpp"

namespace lilacmux {
namespace {

using Millis = double;

constexpr const char* kService = "service";
constexpr Millis kTick = 20;
constexpr Millis kPlanInterval = 400;
constexpr Millis kCallTimeout = 1000;
constexpr Millis kLatestArrival = LeaseManager::Rule().delayBound;
constexpr Millis kUsualDelay = 5;
constexpr Key kSampledKeys = 512;
constexpr Key kKeysPerSample = kKeyCount / kSampledKeys;
constexpr double kSlowestClock = 0.98;

LeaseManager::Rule ruleOf(OwnershipMutant mutant) {
  LeaseManager::Rule out;
  if (mutant == OwnershipMutant::noDrift) out.clockDrift = 0;
  if (mutant == OwnershipMutant::noDelayBound) out.delayBound = 0;
  return out;
}

class World {
 public:
  explicit World(const OwnershipPlan& plan) : plan_(plan), random_(plan.seed), rule_(ruleOf(plan.mutant)) {
    for (std::size_t i = 0; i < plan.servers; ++i) addServer();
  }

  OwnershipOutcome run() {
    startTerm();
    scheduleFault();
    const Millis end = plan_.faultyMs + plan_.recoveryMs;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    countUnowned();
    return outcome_;
  }

 private:
  struct Event {
    Millis at = 0;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at > other.at || (at == other.at && order > other.order);
    }
  };
  struct Server {
    std::unique_ptr<KeyHolder> holder;
    bool isUp = true, isListed = true, isDraining = false;
    Millis isolatedUntil = 0;
  };
  // One primary's time in office.
  class Term : public LeaseCaller {
   public:
    Term(World& itsWorld, std::uint64_t itsNumber, const OwnershipTable& committed)
        : number(itsNumber), world(itsWorld), leases(itsWorld.now_, itsWorld.rule_, *this, committed) {}
    void send(const LeaseCall& call) override { world.transmit(number, call); }

    const std::uint64_t number;
    World& world;
    LeaseManager leases;
    Millis frozenUntil = 0;
    Millis nextPlanAt = 0;
    bool isProposing = false;
  };

  void after(Millis wait, std::function<void()> action) {
    events_.push({now_ + wait, ++order_, std::move(action)});
  }

  void addServer() {
    const std::string id = "i-" + std::to_string(++lastServer_);
    servers_[id].holder = std::make_unique<KeyHolder>(id, random_.between(kSlowestClock, 1));
  }

  // --- Primaries

  // At most one primary may act; one that froze may wake up after its successor has begun and acts no more.
  bool mayAct(const Term& term) const { return current_ == &term && now_ >= term.frozenUntil; }

  void startTerm() {
    ++outcome_.terms;
    OwnershipTable committed = committed_;
    if (plan_.mutant == OwnershipMutant::forgetsHolds) committed = withoutPrevious(committed);
    terms_.push_back(std::make_unique<Term>(*this, terms_.size(), committed));
    current_ = terms_.back().get();
    tick(current_);
  }

  static OwnershipTable withoutPrevious(OwnershipTable table) {
    std::vector<Fence> moving;
    for (const Assignment& each : table.assignments(kService))
      if (each.hasPrevious()) moving.push_back(each.fence);
    for (const Fence fence : moving) table.clearPrevious(kService, fence);
    return table;
  }

  void tick(Term* term) {
    if (current_ != term) return;
    if (mayAct(*term)) {
      term->leases.setServers(listedServers());
      term->leases.tick(now_);
      if (now_ >= term->nextPlanAt && !term->isProposing) propose(*term);
    }
    after(kTick, [this, term] { tick(term); });
  }

  std::set<std::string> listedServers() const {
    std::set<std::string> out;
    for (const auto& [id, server] : servers_)
      if (server.isListed) out.insert(id);
    return out;
  }

  void propose(Term& term) {
    term.nextPlanAt = now_ + kPlanInterval;
    OwnershipTable next = committed_;
    next.beginChange();
    next.setMaxHoldMs(rule_.hold);
    PlacementInput input;
    input.service = kService;
    for (const auto& [id, server] : servers_)
      if (server.isListed && !server.isDraining && !term.leases.isUnresponsive(now_, id))
        input.servers.push_back(id);
    input.isHandedOver = [&](Fence fence) { return term.leases.isHandedOver(fence); };
    input.isRejected = [&](Fence fence) { return term.leases.isRejected(fence); };
    bool changed = planAssignments(input, next);
    changed = moveAtRandom(term, input.servers, next) || changed;
    changed = clearHandovers(term, next) || changed;
    if (!changed) return;
    term.isProposing = true;
    if (plan_.mutant == OwnershipMutant::grantsBeforeCommit) term.leases.setTable(now_, next);
    const Millis commitDelay =
        isFaulty() && random_.chance() < 0.2 ? random_.between(60, 600) : random_.between(5, 60);
    if (isFaulty() && random_.chance() < 0.05)
      after(commitDelay * random_.chance(), [this, &term] { kill(term); });
    after(commitDelay, [this, &term, next] {
      if (current_ != &term) return;  // lost with its primary
      committed_ = next;
      term.isProposing = false;
      if (!mayAct(term)) return;
      term.leases.setTable(now_, committed_);
    });
  }

  bool moveAtRandom(const Term& term, const std::vector<std::string>& servers, OwnershipTable& table) {
    if (servers.empty() || random_.chance() > 0.4) return false;
    const auto assignments = table.assignments(kService);
    if (assignments.empty() || assignments.size() > 60) return false;
    const Assignment& from = random_.oneOf(assignments);
    if (from.hasPrevious() || !term.leases.isHandedOver(from.fence) || from.keys.size() < 4) return false;
    KeyRange part = from.keys;
    if (random_.chance() < 0.7) part.last = part.first + part.size() / 2;
    const std::string& to = random_.oneOf(servers);
    if (to != from.server) table.move(kService, from.fence, part, to);
    return true;
  }

  static bool clearHandovers(const Term& term, OwnershipTable& table) {
    std::vector<Fence> done;
    for (const Assignment& each : table.assignments(kService))
      if (each.hasPrevious() && term.leases.isHandedOver(each.fence)) done.push_back(each.fence);
    for (const Fence fence : done) table.clearPrevious(kService, fence);
    return !done.empty();
  }

  // --- Network

  Millis drawDelay() {
    if (!isFaulty() || random_.chance() < 0.85) return random_.between(1, kUsualDelay);
    if (random_.chance() < 0.7) return random_.between(kUsualDelay, kCallTimeout);
    return kLatestArrival - random_.below(kUsualDelay);
  }
  bool isFaulty() const { return now_ < plan_.faultyMs; }
  bool drawLoss() { return isFaulty() && random_.chance() < 0.06; }

  void transmit(std::uint64_t term, const LeaseCall& call) {
    auto ended = std::make_shared<bool>(false);
    after(kCallTimeout, [this, term, call, ended] { end(term, call.id, {}, ended); });
    if (drawLoss()) return;
    after(drawDelay(), [this, term, call, ended] { arrive(term, call, ended); });
  }

  // A connection is reset at the call's time-out; what is on its way then arrives within the delay bound.
  void arrive(std::uint64_t term, const LeaseCall& call, const std::shared_ptr<bool>& ended) {
    const auto found = servers_.find(call.server);
    if (found == servers_.end() || !found->second.isUp) return;
    if (now_ < found->second.isolatedUntil) return;
    KeyHolder& holder = *found->second.holder;
    LeaseCallResult result;
    result.outcome = LeaseCallResult::Outcome::done;
    if (call.kind == LeaseCall::Kind::release)
      result.handoff = holder.release(now_, call.keys);
    else if (holder.grant(now_, call.keys, call.fence, call.holdMs) != 200)
      result.outcome = LeaseCallResult::Outcome::fenceRejected;
    else
      check(call.keys);
    if (drawLoss()) return;
    after(drawDelay(), [this, term, call, result, ended] { end(term, call.id, result, ended); });
  }

  // A process that stands still reads the response when it wakes up.
  void end(std::uint64_t term, std::uint64_t call, const LeaseCallResult& result,
           const std::shared_ptr<bool>& ended) {
    Term& sender = *terms_[term];
    if (*ended || current_ != &sender) return;
    if (now_ < sender.frozenUntil) {
      events_.push({sender.frozenUntil, ++order_,
                    [this, term, call, result, ended] { end(term, call, result, ended); }});
      return;
    }
    *ended = true;
    sender.leases.callEnded(now_, call, result);
  }

  // --- Faults

  void scheduleFault() {
    const Millis wait = random_.between(200, 3000);
    if (now_ + wait >= plan_.faultyMs) return;
    after(wait, [this] {
      strike();
      scheduleFault();
    });
  }

  void strike() {
    switch (random_.index(7)) {
      case 0:
        if (current_) kill(*current_);
        break;
      case 1:
        if (current_) current_->frozenUntil = now_ + random_.between(50, 900);
        break;
      case 2:
        crashServer(random_.chance() < 0.5);
        break;
      case 3:
        drainServer();
        break;
      case 4:
        isolateServer();
        break;
      default:
        if (servers_.size() < 3 * plan_.servers) addServer();
        break;
    }
    if (!current_ && random_.chance() < 0.3) crashServer(true);
  }

  // The next primary begins once the lease of this one has ended.
  void kill(const Term& term) {
    if (current_ != &term) return;
    current_ = nullptr;
    after(random_.between(100, 2500), [this] { startTerm(); });
  }

  // The server cannot be reached for a while, and goes on serving what it holds.
  void isolateServer() {
    Server* const server = drawServer();
    if (server) server->isolatedUntil = now_ + random_.between(1000, 9000);
  }

  std::size_t usableServers() const {
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [](const auto& entry) {
      return entry.second.isUp && entry.second.isListed && !entry.second.isDraining;
    }));
  }

  Server* drawServer() {
    if (usableServers() < 3) return nullptr;
    auto at = servers_.begin();
    std::advance(at, static_cast<long>(random_.index(servers_.size())));
    return &at->second;
  }

  // A server that crashed stays on the list for a while; one that is cut off lives on.
  void crashServer(bool comesBack) {
    Server* const server = drawServer();
    if (!server) return;
    server->isUp = false;
    after(random_.between(500, 4000), [server] { server->isListed = false; });
    if (comesBack) addServer();
  }

  void drainServer() {
    Server* const server = drawServer();
    if (!server) return;
    server->isDraining = true;
    after(random_.between(3000, 8000), [server] { server->isUp = server->isListed = false; });
  }

  // --- Checks

  // An overlap can only begin with a grant.
  void check(const KeyRange& granted) {
    for (Key sample = 0; sample < kSampledKeys; ++sample)
      if (const Key key = sample * kKeysPerSample; granted.contains(key)) checkKey(key);
  }

  void checkKey(Key key) {
    std::string holders;
    unsigned count = 0;
    for (const auto& [id, server] : servers_) {
      if (!server.isUp || !server.holder->holds(now_, key)) continue;
      ++count;
      holders += " " + id;
    }
    if (count < 2) return;
    ++outcome_.overlaps;
    if (outcome_.firstOverlap.empty())
      outcome_.firstOverlap =
          "key " + std::to_string(key) + " at " + std::to_string(now_) + " ms held by" + holders;
  }

  void countUnowned() {
    for (Key sample = 0; sample < kSampledKeys; ++sample) {
      const Key key = sample * kKeysPerSample;
      const bool held = std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
        return entry.second.isUp && entry.second.holder->holds(now_, key);
      });
      if (!held) ++outcome_.unowned;
    }
    for (const auto& term : terms_) {
      outcome_.grants += term->leases.counts().grants;
      outcome_.releases += term->leases.counts().releases;
      outcome_.lapses += term->leases.counts().lapses;
    }
  }

  const OwnershipPlan plan_;
  SeededRandom random_;
  const LeaseManager::Rule rule_;
  Millis now_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::map<std::string, Server> servers_;
  std::uint64_t lastServer_ = 0;
  OwnershipTable committed_;
  std::vector<std::unique_ptr<Term>> terms_;
  Term* current_ = nullptr;
  OwnershipOutcome outcome_;
};

}  // namespace

OwnershipOutcome runOwnership(const OwnershipPlan& plan) { return World(plan).run(); }

}  // namespace lilacmux
