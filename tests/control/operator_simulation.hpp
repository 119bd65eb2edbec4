// Operators and a core of control nodes, under a simulated clock, network and disk. Each node is the real
// Replica and ConfigurationService. Two operators pick the same revision numbers, have up to four changes
// each in flight, read, lose responses, and retry at any node, at once or much later, while faults are
// injected. What they observed is `history`. The same seed gives the same run.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/configuration_service.hpp"
#include "operator_history.hpp"

namespace lilacmux::test {

class OperatorSimulation {
 public:
  struct Count {
    std::size_t acknowledged = 0, refused = 0, unknown = 0, repeats = 0, reads = 0, committed = 0;
  };

  explicit OperatorSimulation(std::uint64_t seed) : random_(seed * 0x9e3779b97f4a7c15u + 1) {
    const std::size_t members = chance() < 0.3 ? 5 : 3;
    timing_.toleratedLosses = static_cast<unsigned>(members / 2);
    constexpr std::size_t kCapacities[] = {1, 2, 8, ConfigurationRegister::kDefaultCapacity};
    capacity_ = kCapacities[below(4)];
    answersLost_ = chance() < 0.5 ? 0.3 : 0.05;
    messagesLost_ = chance() < 0.3 ? 0.03 : 0;
    for (std::size_t i = 0; i < members; ++i) names_.push_back("10.0.0." + std::to_string(i + 1) + ":7560");
    for (const NodeId& name : names_) start(name, true);
    operators_.resize(2);
    for (std::size_t i = 0; i < operators_.size(); ++i) {
      later(1500 + 100 * chance(), [this, i] { act(i); });
      later(1500 + 100 * chance(), [this, i] { readNow(i); });
    }
  }

  // Injects faults for `span` ms, and lets the core recover afterwards.
  void simulate(Millis span) {
    const Millis end = 2500 + span;
    for (Millis at = 2500; at < end; at += 200 + 3000 * chance()) later(at, [this] { injectFault(); });
    run(end);
    acting_ = false;
    run(now_ + kLongestFault + kQuietPeriod);
  }

  const std::vector<Operation>& history() const { return history_; }
  Count count() const {
    Count out;
    out.committed = commits_;
    for (const Operation& o : history_) {
      if (o.kind == Operation::Kind::read) ++out.reads;
      if (o.kind == Operation::Kind::repeat) ++out.repeats;
      if (o.kind != Operation::Kind::change) continue;
      if (o.outcome == Operation::Outcome::acknowledged) ++out.acknowledged;
      if (o.outcome == Operation::Outcome::conflict) ++out.refused;
      if (o.outcome == Operation::Outcome::unknown) ++out.unknown;
    }
    return out;
  }

 private:
  static constexpr Millis kLongestFault = 20000, kQuietPeriod = 8000;
  // Without a response for this long an operator retries; with a large body it waits for longer.
  static constexpr Millis kResponseTimeout = 1000, kLargeBodyTimeout = 5000;
  static constexpr double kLargeShare = 0.2, kDelayedShare = 0.1;  // of the changes, and of the requests
  static constexpr unsigned kMaxRedirects = 2;
  static constexpr std::size_t kMaxInFlight = 4;  // of each operator

  struct Host : ReplicaHost {
    Host(OperatorSimulation& owner, NodeId name) : simulation(owner), self(std::move(name)) {}
    void send(const NodeId& to, const MemberMessage& message) override {
      simulation.sendMessage(self, to, message);
    }
    bool store(const DurableState& durable) override {
      Node& node = simulation.nodes_[self];
      if (node.syncDuration > 0)
        node.frozenUntil = std::max(node.frozenUntil, simulation.now_ + node.syncDuration);
      node.disk = durable;
      return true;
    }
    void onCommitted(const ReplicatedState& state) override {
      simulation.recordCommit(state);
      simulation.nodes_[self].service->onCommitted();
      simulation.at(self, 0, [owner = &simulation, name = self] { owner->processQueue(name); });
    }
    void onPrimacyLost() override { simulation.nodes_[self].service->onPrimacyLost(); }
    void log(const std::string&) override {}
    OperatorSimulation& simulation;
    const NodeId self;
  };
  struct Node {
    std::unique_ptr<Host> host;
    std::unique_ptr<Replica> replica;
    std::unique_ptr<ConfigurationService> service;
    std::optional<DurableState> disk;
    Millis frozenUntil = 0, syncDuration = 0;
    std::uint64_t incarnation = 0;
  };
  struct Event {
    Millis at;
    std::uint64_t number;
    std::function<void()> what;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : number > o.number; }
  };
  struct Operator {
    std::uint64_t known = 0;  // the newest revision that it was informed of
    std::uint64_t sent = 0;   // the highest that it has requested
    std::size_t inFlight = 0;
  };
  // One change or read until it has a definite response.
  struct Call {
    std::size_t who = 0;
    std::size_t operation = 0;  // in the history
    std::string bytes;          // empty: a read
    std::uint64_t base = 0, revision = 0;
    std::uint64_t attempt = 0;  // responses to earlier attempts are ignored
    Millis backoff = 50, deadline = 0, responseTimeout = kResponseTimeout;
    bool late = false;
  };
  using CallPtr = std::shared_ptr<Call>;
  struct Reply {
    ChangeOutcome outcome = ChangeOutcome::unavailable;
    NodeId redirect;
    std::string read;  // the body that a read found
    std::uint64_t revision = 0;
  };

  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  std::size_t below(std::size_t most) { return static_cast<std::size_t>(random_() % most); }

  // --- Time and nodes

  void later(Millis after, std::function<void()> what) {
    events_.push({now_ + after, ++numbers_, std::move(what)});
  }
  void run(Millis until) {
    while (!events_.empty() && events_.top().at <= until) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.what();
    }
    now_ = until;
  }
  // Runs at a node, if it is not restarted before; events at a frozen node are deferred in their order.
  void at(const NodeId& name, Millis after, std::function<void()> what) {
    const std::uint64_t incarnation = nodes_[name].incarnation;
    later(after, [this, name, incarnation, what = std::move(what)] { deliver(name, incarnation, what); });
  }
  void deliver(const NodeId& name, std::uint64_t incarnation, const std::function<void()>& what) {
    Node& node = nodes_[name];
    if (!node.replica || node.incarnation != incarnation) return;
    if (now_ >= node.frozenUntil) return what();
    events_.push({node.frozenUntil, ++numbers_,
                  [this, name, incarnation, what] { deliver(name, incarnation, what); }});
  }
  Millis frozenFor(const NodeId& name) { return std::max(0.0, nodes_[name].frozenUntil - now_); }
  void sendMessage(const NodeId& from, const NodeId& to, const MemberMessage& message) {
    if (partitions_.contains({from, to}) || chance() < messagesLost_) return;
    at(to, 1 + 4 * chance() + frozenFor(from), [this, to, from, message] {
      if (!partitions_.contains({from, to})) nodes_[to].replica->receive(now_, message);
    });
  }
  void start(const NodeId& name, bool bootstrap) {
    Node& node = nodes_[name];
    node.host = std::make_unique<Host>(*this, name);
    node.service = std::make_unique<ConfigurationService>(ConfigurationRegister(capacity_));
    node.replica = std::make_unique<Replica>(name, names_, bootstrap, node.disk, timing_, now_, *node.host);
    ++node.incarnation;
    tick(name);
  }
  void tick(const NodeId& name) {
    nodes_[name].replica->tick(now_);
    processQueue(name);
    at(name, 100 + chance(), [this, name] { tick(name); });
  }
  void processQueue(const NodeId& name) { nodes_[name].service->processQueue(now_, *nodes_[name].replica); }
  void kill(const NodeId& name, Millis lasts) {
    Node& node = nodes_[name];
    if (!node.replica) return;
    node.replica.reset();
    node.service.reset();
    node.frozenUntil = 0;
    later(lasts, [this, name] {
      if (!nodes_[name].replica) start(name, false);
    });
  }
  void partition(const NodeId& from, const NodeId& to, Millis lasts) {
    if (from == to || !partitions_.insert({from, to}).second) return;
    later(lasts, [this, from, to] { partitions_.erase({from, to}); });
  }
  void injectFault() {
    const NodeId one = leaderOrAny();
    const Millis lasts = chance() < 0.2 ? kLongestFault : 3000 * chance();
    switch (below(7)) {
      case 0:
        return kill(one, lasts / 4);
      case 1:
        for (const NodeId& name : names_) kill(name, 300 * chance());
        return;
      case 2:
        nodes_[one].frozenUntil = now_ + lasts / 2;
        return;
      case 3:
        nodes_[one].syncDuration = 400 * chance();
        return later(lasts, [this, one] { nodes_[one].syncDuration = 0; });
      case 4:
        return partition(one, names_[below(names_.size())], lasts);
      default:
        for (const NodeId& name : names_) partition(one, name, lasts), partition(name, one, lasts);
    }
  }
  NodeId leaderOrAny() {
    for (const NodeId& name : names_)
      if (nodes_[name].replica && nodes_[name].replica->isPrimary() && chance() < 0.7) return name;
    return names_[below(names_.size())];
  }

  // A commit at a primary counts as a read of the committed body at that moment.
  void recordCommit(const ReplicatedState& state) {
    if (state.revision == lastCommitted_ || !state.body) return;
    lastCommitted_ = state.revision;
    ++commits_;
    history_.push_back(
        {Operation::Kind::read, *state.body, 0, 0, now_, now_, Operation::Outcome::acknowledged});
  }

  // --- Operators

  void act(std::size_t who) {
    if (!acting_) return;
    later(50 + 500 * chance(), [this, who] { act(who); });
    Operator& self = operators_[who];
    if (self.inFlight >= kMaxInFlight) return;
    ++self.inFlight;
    auto call = std::make_shared<Call>();
    call->who = who;
    call->base = chance() < 0.3 ? std::max(self.sent, self.known) : self.known;
    call->revision = call->base + below(20) / 5;  // 0: not valid
    self.sent = std::max(self.sent, call->revision);
    call->deadline = now_ + 2000 + 5000 * chance();
    if (chance() < kLargeShare) call->responseTimeout = kLargeBodyTimeout;
    call->operation = history_.size();
    const nlohmann::json configuration = {{"revision", call->revision},
                                          {"routeRules", nlohmann::json::array()},
                                          {"backendServices", nlohmann::json::array()},
                                          {"number", call->operation}};
    const auto bytes = nlohmann::json::to_msgpack(configuration);
    call->bytes.assign(bytes.begin(), bytes.end());
    history_.push_back({Operation::Kind::change, call->bytes, call->base, call->revision, now_, kNever,
                        Operation::Outcome::unknown});
    send(call, names_[below(names_.size())], 0);
  }
  void readNow(std::size_t who) {
    if (acting_ || now_ < lastRead_ + kLongestFault)
      later(100 + 600 * chance(), [this, who] { readNow(who); });
    if (acting_) lastRead_ = now_ + kQuietPeriod;
    auto call = std::make_shared<Call>();
    call->who = who;
    call->deadline = now_ + 1500;
    call->operation = history_.size();
    history_.push_back({Operation::Kind::read, "", 0, 0, now_, kNever, Operation::Outcome::unknown});
    send(call, names_[below(names_.size())], 0);
  }
  void send(const CallPtr& call, const NodeId& to, unsigned redirects) {
    const std::uint64_t attempt = ++call->attempt;
    const Millis delay = chance() < kDelayedShare ? 4000 * chance() : 8 * chance();
    at(to, 1 + delay, [this, call, attempt, to, redirects] { arrive(call, attempt, to, redirects); });
    later(call->responseTimeout, [this, call, attempt] {
      if (call->attempt == attempt) retry(call);
    });
  }
  void arrive(const CallPtr& call, std::uint64_t attempt, const NodeId& to, unsigned redirects) {
    Node& node = nodes_[to];
    const auto respond = [this, call, attempt, to, redirects](const Reply& reply) {
      if (chance() < answersLost_) return;
      later(1 + 8 * chance() + frozenFor(to), [this, call, attempt, redirects, reply] {
        if (call->attempt == attempt) answered(call, reply, redirects);
      });
    };
    if (call->bytes.empty()) return read(*node.replica, to, respond);
    node.service->submit(now_, *node.replica, {call->bytes, call->base},
                         [this, to, respond](const ChangeResult& result) {
                           Reply reply{result.outcome, {}, {}, 0};
                           if (result.outcome == ChangeOutcome::notPrimary) reply.redirect = leaderAt(to);
                           respond(reply);
                         });
  }
  NodeId leaderAt(const NodeId& name) {
    const NodeId leader = nodes_[name].replica->knownPrimary();
    return leader == name ? NodeId() : leader;
  }
  void read(const Replica& replica, const NodeId& at, const std::function<void(const Reply&)>& respond) {
    if (!replica.hasLease(now_)) return respond({ChangeOutcome::notPrimary, leaderAt(at), {}, 0});
    const ReplicatedState& state = replica.committed();
    respond({ChangeOutcome::acknowledged, {}, state.body ? *state.body : std::string(), state.revision});
  }
  void answered(const CallPtr& call, const Reply& reply, unsigned redirects) {
    switch (reply.outcome) {
      case ChangeOutcome::acknowledged:
        return finish(call, Operation::Outcome::acknowledged, reply);
      case ChangeOutcome::conflict:
        return finish(call, Operation::Outcome::conflict, reply);
      case ChangeOutcome::invalid:
        return finish(call, Operation::Outcome::invalid, reply);
      case ChangeOutcome::notPrimary:
        if (!reply.redirect.empty() && redirects < kMaxRedirects)
          return send(call, reply.redirect, redirects + 1);
        break;
      case ChangeOutcome::unavailable:
        break;
    }
    retry(call);
  }
  void retry(const CallPtr& call) {
    const std::uint64_t attempt = ++call->attempt;
    if (now_ >= call->deadline) return giveUp(call);
    call->backoff = std::min(1000.0, call->backoff * 1.6);
    later(call->backoff * (0.5 + chance()), [this, call, attempt] {
      if (call->attempt == attempt) send(call, names_[below(names_.size())], 0);
    });
  }
  // Some are retried much later.
  void giveUp(const CallPtr& call) {
    if (call->bytes.empty()) return;
    if (!call->late) endChange(*call);
    if (chance() < 0.4) return;
    call->late = true;
    later(1000 + 12000 * chance(), [this, call] {
      call->deadline = now_ + 4000;
      send(call, names_[below(names_.size())], 0);
    });
  }
  void endChange(const Call& call) {
    if (history_[call.operation].kind == Operation::Kind::change) --operators_[call.who].inFlight;
  }
  void finish(const CallPtr& call, Operation::Outcome outcome, const Reply& reply) {
    ++call->attempt;
    Operation& done = history_[call->operation];
    done.outcome = outcome;
    done.returned = now_;
    Operator& self = operators_[call->who];
    if (done.kind == Operation::Kind::read) {
      done.body = reply.read;
      self.known = std::max(self.known, reply.revision);
      return;
    }
    if (!call->late) endChange(*call);
    if (outcome != Operation::Outcome::acknowledged) return;
    self.known = std::max(self.known, call->revision);
    if (chance() < 0.3) later(chance() * chance() * 8000, [this, call] { repeat(*call); });
  }
  void repeat(const Call& before) {
    auto call = std::make_shared<Call>(before);
    call->attempt = 0;
    call->late = true;
    call->deadline = now_ + 3000;
    call->operation = history_.size();
    history_.push_back({Operation::Kind::repeat, call->bytes, call->base, call->revision, now_, kNever,
                        Operation::Outcome::unknown});
    send(call, names_[below(names_.size())], 0);
  }

  std::mt19937_64 random_;
  Replica::Timing timing_;
  std::size_t capacity_ = 0;
  double answersLost_ = 0, messagesLost_ = 0;
  std::vector<NodeId> names_;
  std::map<NodeId, Node> nodes_;
  std::set<std::pair<NodeId, NodeId>> partitions_;  // one way
  std::priority_queue<Event> events_;
  std::uint64_t numbers_ = 0;
  Millis now_ = 0, lastRead_ = 0;
  bool acting_ = true;
  std::vector<Operator> operators_;
  std::vector<Operation> history_;
  std::uint64_t lastCommitted_ = 0;
  std::size_t commits_ = 0;
};

}  // namespace lilacmux::test
