// Simulation of operators and a cluster of control nodes, with a simulated clock, network and disk. Each node
// runs the real Replica and ConfigurationService. Two operators use the same revision numbers and have up to
// four changes each in flight. They read, lose responses, and retry at any node, immediately or much later,
// while faults are injected. `history` records what they observe. Runs with the same seed are identical.
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
  struct Counts {
    std::size_t acknowledged = 0, rejected = 0, unknown = 0, repeats = 0, reads = 0, committed = 0;
  };

  explicit OperatorSimulation(std::uint64_t seed) : random_(seed * 0x9e3779b97f4a7c15u + 1) {
    const std::size_t members = chance() < 0.3 ? 5 : 3;
    timing_.toleratedLosses = static_cast<unsigned>(members / 2);
    constexpr std::size_t kCapacities[] = {1, 2, 8, ConfigurationRegister::kDefaultCapacity};
    capacity_ = kCapacities[randomBelow(4)];
    responseLossRate_ = chance() < 0.5 ? 0.3 : 0.05;
    messageLossRate_ = chance() < 0.3 ? 0.03 : 0;
    for (std::size_t i = 0; i < members; ++i) names_.push_back("10.0.0." + std::to_string(i + 1) + ":7560");
    for (const NodeId& name : names_) start(name, true);
    operators_.resize(2);
    for (std::size_t i = 0; i < operators_.size(); ++i) {
      schedule(1500 + 100 * chance(), [this, i] { startChange(i); });
      schedule(1500 + 100 * chance(), [this, i] { startRead(i); });
    }
  }

  // Injects faults for `faultDuration` ms, then lets the core recover.
  void runWithFaults(Millis faultDuration) {
    const Millis end = 2500 + faultDuration;
    for (Millis time = 2500; time < end; time += 200 + 3000 * chance())
      schedule(time, [this] { injectFault(); });
    runUntil(end);
    operatorsActive_ = false;
    runUntil(now_ + kLongestFault + kRecoveryPeriod);
  }

  const std::vector<Operation>& history() const { return history_; }
  Counts counts() const {
    Counts out;
    out.committed = commitCount_;
    for (const Operation& operation : history_) {
      if (operation.kind == Operation::Kind::read) ++out.reads;
      if (operation.kind == Operation::Kind::repeat) ++out.repeats;
      if (operation.kind != Operation::Kind::change) continue;
      if (operation.outcome == Operation::Outcome::acknowledged) ++out.acknowledged;
      if (operation.outcome == Operation::Outcome::conflict) ++out.rejected;
      if (operation.outcome == Operation::Outcome::unknown) ++out.unknown;
    }
    return out;
  }

 private:
  static constexpr Millis kLongestFault = 20000, kRecoveryPeriod = 8000;
  // Time without a response after which an operator retries.
  static constexpr Millis kResponseTimeout = 1000, kLargeBodyTimeout = 5000;
  static constexpr double kLargeBodyShare = 0.2;       // of the changes
  static constexpr double kDelayedRequestShare = 0.1;  // of the requests
  static constexpr unsigned kMaxRedirects = 2;
  static constexpr std::size_t kMaxInFlight = 4;  // per operator

  struct Host : ReplicaHost {
    Host(OperatorSimulation& owner, NodeId name) : simulation(owner), self(std::move(name)) {}
    void send(const NodeId& to, const MemberMessage& message) override {
      simulation.sendMessage(self, to, message);
    }
    bool store(const DurableState& durable) override {
      Node& node = simulation.nodes_[self];
      if (node.storeDelay > 0)
        node.frozenUntil = std::max(node.frozenUntil, simulation.now_ + node.storeDelay);
      node.disk = durable;
      return true;
    }
    void onCommitted(const ReplicatedState& state) override {
      simulation.recordCommit(state);
      simulation.nodes_[self].service->onCommitted();
      simulation.scheduleAt(self, 0, [owner = &simulation, name = self] { owner->processQueue(name); });
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
    Millis frozenUntil = 0, storeDelay = 0;
    std::uint64_t incarnation = 0;
  };
  struct Event {
    Millis time;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : number > other.number;
    }
  };
  struct Operator {
    std::uint64_t knownRevision = 0;        // newest revision known from responses
    std::uint64_t highestSentRevision = 0;  // highest revision that the operator has submitted
    std::size_t inFlight = 0;
  };
  // A change or read that has no definite response yet.
  struct Call {
    std::size_t operatorIndex = 0;
    std::size_t operation = 0;  // index in the history
    std::string bytes;          // empty for a read
    std::uint64_t base = 0, revision = 0;
    std::uint64_t attempt = 0;  // number of the newest attempt; responses to earlier ones are ignored
    Millis backoff = 50, deadline = 0, responseTimeout = kResponseTimeout;
    bool hasReleasedSlot = false;  // no longer counted in Operator::inFlight
  };
  using CallPtr = std::shared_ptr<Call>;
  struct Reply {
    ChangeOutcome outcome = ChangeOutcome::unavailable;
    NodeId redirect;
    std::string body;  // body returned by a read
    std::uint64_t revision = 0;
  };

  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  std::size_t randomBelow(std::size_t bound) { return static_cast<std::size_t>(random_() % bound); }

  // --- Time and nodes

  void schedule(Millis delay, std::function<void()> action) {
    events_.push({now_ + delay, ++scheduledCount_, std::move(action)});
  }
  void runUntil(Millis end) {
    while (!events_.empty() && events_.top().time <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
    }
    now_ = end;
  }
  // Schedules an action at a node, which is dropped if the node restarts first. Actions at a frozen node are
  // deferred in order.
  void scheduleAt(const NodeId& name, Millis delay, std::function<void()> action) {
    const std::uint64_t incarnation = nodes_[name].incarnation;
    schedule(delay,
             [this, name, incarnation, action = std::move(action)] { deliver(name, incarnation, action); });
  }
  void deliver(const NodeId& name, std::uint64_t incarnation, const std::function<void()>& action) {
    Node& node = nodes_[name];
    if (!node.replica || node.incarnation != incarnation) return;
    if (now_ >= node.frozenUntil) return action();
    events_.push({node.frozenUntil, ++scheduledCount_,
                  [this, name, incarnation, action] { deliver(name, incarnation, action); }});
  }
  Millis frozenFor(const NodeId& name) { return std::max(0.0, nodes_[name].frozenUntil - now_); }
  void sendMessage(const NodeId& from, const NodeId& to, const MemberMessage& message) {
    if (partitions_.contains({from, to}) || chance() < messageLossRate_) return;
    scheduleAt(to, 1 + 4 * chance() + frozenFor(from), [this, to, from, message] {
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
    scheduleAt(name, 100 + chance(), [this, name] { tick(name); });
  }
  void processQueue(const NodeId& name) { nodes_[name].service->processQueue(now_, *nodes_[name].replica); }
  void kill(const NodeId& name, Millis duration) {
    Node& node = nodes_[name];
    if (!node.replica) return;
    node.replica.reset();
    node.service.reset();
    node.frozenUntil = 0;
    schedule(duration, [this, name] {
      if (!nodes_[name].replica) start(name, false);
    });
  }
  void partition(const NodeId& from, const NodeId& to, Millis duration) {
    if (from == to || !partitions_.insert({from, to}).second) return;
    schedule(duration, [this, from, to] { partitions_.erase({from, to}); });
  }
  void injectFault() {
    const NodeId target = pickFaultTarget();
    const Millis duration = chance() < 0.2 ? kLongestFault : 3000 * chance();
    switch (randomBelow(7)) {
      case 0:
        return kill(target, duration / 4);
      case 1:
        for (const NodeId& name : names_) kill(name, 300 * chance());
        return;
      case 2:
        nodes_[target].frozenUntil = now_ + duration / 2;
        return;
      case 3:
        nodes_[target].storeDelay = 400 * chance();
        return schedule(duration, [this, target] { nodes_[target].storeDelay = 0; });
      case 4:
        return partition(target, names_[randomBelow(names_.size())], duration);
      default:
        for (const NodeId& name : names_)
          partition(target, name, duration), partition(name, target, duration);
    }
  }
  NodeId pickFaultTarget() {
    for (const NodeId& name : names_)
      if (nodes_[name].replica && nodes_[name].replica->isPrimary() && chance() < 0.7) return name;
    return names_[randomBelow(names_.size())];
  }

  // Records a commit at a primary as a read of the committed body at that time.
  void recordCommit(const ReplicatedState& state) {
    if (state.revision == lastCommittedRevision_ || !state.body) return;
    lastCommittedRevision_ = state.revision;
    ++commitCount_;
    history_.push_back(
        {Operation::Kind::read, *state.body, 0, 0, now_, now_, Operation::Outcome::acknowledged});
  }

  // --- Operators

  void startChange(std::size_t operatorIndex) {
    if (!operatorsActive_) return;
    schedule(50 + 500 * chance(), [this, operatorIndex] { startChange(operatorIndex); });
    Operator& self = operators_[operatorIndex];
    if (self.inFlight >= kMaxInFlight) return;
    ++self.inFlight;
    auto call = std::make_shared<Call>();
    call->operatorIndex = operatorIndex;
    call->base = chance() < 0.3 ? std::max(self.highestSentRevision, self.knownRevision) : self.knownRevision;
    call->revision = call->base + randomBelow(20) / 5;  // an increment of 0 is invalid
    self.highestSentRevision = std::max(self.highestSentRevision, call->revision);
    call->deadline = now_ + 2000 + 5000 * chance();
    if (chance() < kLargeBodyShare) call->responseTimeout = kLargeBodyTimeout;
    call->operation = history_.size();
    const nlohmann::json configuration = {{"revision", call->revision},
                                          {"routeRules", nlohmann::json::array()},
                                          {"backendServices", nlohmann::json::array()},
                                          {"number", call->operation}};
    const auto bytes = nlohmann::json::to_msgpack(configuration);
    call->bytes.assign(bytes.begin(), bytes.end());
    history_.push_back({Operation::Kind::change, call->bytes, call->base, call->revision, now_, kNever,
                        Operation::Outcome::unknown});
    send(call, names_[randomBelow(names_.size())], 0);
  }
  void startRead(std::size_t operatorIndex) {
    if (operatorsActive_ || now_ < lastReadAt_ + kLongestFault)
      schedule(100 + 600 * chance(), [this, operatorIndex] { startRead(operatorIndex); });
    if (operatorsActive_) lastReadAt_ = now_ + kRecoveryPeriod;
    auto call = std::make_shared<Call>();
    call->operatorIndex = operatorIndex;
    call->deadline = now_ + 1500;
    call->operation = history_.size();
    history_.push_back({Operation::Kind::read, "", 0, 0, now_, kNever, Operation::Outcome::unknown});
    send(call, names_[randomBelow(names_.size())], 0);
  }
  void send(const CallPtr& call, const NodeId& to, unsigned redirects) {
    const std::uint64_t attempt = ++call->attempt;
    const Millis delay = chance() < kDelayedRequestShare ? 4000 * chance() : 8 * chance();
    scheduleAt(to, 1 + delay,
               [this, call, attempt, to, redirects] { handleRequest(call, attempt, to, redirects); });
    schedule(call->responseTimeout, [this, call, attempt] {
      if (call->attempt == attempt) retry(call);
    });
  }
  void handleRequest(const CallPtr& call, std::uint64_t attempt, const NodeId& to, unsigned redirects) {
    Node& node = nodes_[to];
    const auto respond = [this, call, attempt, to, redirects](const Reply& reply) {
      if (chance() < responseLossRate_) return;
      schedule(1 + 8 * chance() + frozenFor(to), [this, call, attempt, redirects, reply] {
        if (call->attempt == attempt) handleReply(call, reply, redirects);
      });
    };
    if (call->bytes.empty()) return read(*node.replica, to, respond);
    node.service->submit(now_, *node.replica, {call->bytes, call->base},
                         [this, to, respond](const ChangeResult& result) {
                           Reply reply{result.outcome, {}, {}, 0};
                           if (result.outcome == ChangeOutcome::notPrimary) reply.redirect = knownPrimary(to);
                           respond(reply);
                         });
  }
  NodeId knownPrimary(const NodeId& name) {
    const NodeId primary = nodes_[name].replica->knownPrimary();
    return primary == name ? NodeId() : primary;
  }
  void read(const Replica& replica, const NodeId& node, const std::function<void(const Reply&)>& respond) {
    if (!replica.hasLease(now_)) return respond({ChangeOutcome::notPrimary, knownPrimary(node), {}, 0});
    const ReplicatedState& state = replica.committed();
    respond({ChangeOutcome::acknowledged, {}, state.body ? *state.body : std::string(), state.revision});
  }
  void handleReply(const CallPtr& call, const Reply& reply, unsigned redirects) {
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
    schedule(call->backoff * (0.5 + chance()), [this, call, attempt] {
      if (call->attempt == attempt) send(call, names_[randomBelow(names_.size())], 0);
    });
  }
  // Ends the regular attempts of a call. Some calls are retried much later.
  void giveUp(const CallPtr& call) {
    if (call->bytes.empty()) return;
    if (!call->hasReleasedSlot) releaseSlot(*call);
    if (chance() < 0.4) return;
    call->hasReleasedSlot = true;
    schedule(1000 + 12000 * chance(), [this, call] {
      call->deadline = now_ + 4000;
      send(call, names_[randomBelow(names_.size())], 0);
    });
  }
  void releaseSlot(const Call& call) {
    if (history_[call.operation].kind == Operation::Kind::change) --operators_[call.operatorIndex].inFlight;
  }
  void finish(const CallPtr& call, Operation::Outcome outcome, const Reply& reply) {
    ++call->attempt;
    Operation& operation = history_[call->operation];
    operation.outcome = outcome;
    operation.returned = now_;
    Operator& self = operators_[call->operatorIndex];
    if (operation.kind == Operation::Kind::read) {
      operation.body = reply.body;
      self.knownRevision = std::max(self.knownRevision, reply.revision);
      return;
    }
    if (!call->hasReleasedSlot) releaseSlot(*call);
    if (outcome != Operation::Outcome::acknowledged) return;
    self.knownRevision = std::max(self.knownRevision, call->revision);
    if (chance() < 0.3) schedule(chance() * chance() * 8000, [this, call] { startRepeat(*call); });
  }
  void startRepeat(const Call& original) {
    auto call = std::make_shared<Call>(original);
    call->attempt = 0;
    call->hasReleasedSlot = true;
    call->deadline = now_ + 3000;
    call->operation = history_.size();
    history_.push_back({Operation::Kind::repeat, call->bytes, call->base, call->revision, now_, kNever,
                        Operation::Outcome::unknown});
    send(call, names_[randomBelow(names_.size())], 0);
  }

  std::mt19937_64 random_;
  Replica::Timing timing_;
  std::size_t capacity_ = 0;
  double responseLossRate_ = 0, messageLossRate_ = 0;
  std::vector<NodeId> names_;
  std::map<NodeId, Node> nodes_;
  std::set<std::pair<NodeId, NodeId>> partitions_;  // from, to; messages in this direction are lost
  std::priority_queue<Event> events_;
  std::uint64_t scheduledCount_ = 0;
  Millis now_ = 0, lastReadAt_ = 0;
  bool operatorsActive_ = true;
  std::vector<Operator> operators_;
  std::vector<Operation> history_;
  std::uint64_t lastCommittedRevision_ = 0;
  std::size_t commitCount_ = 0;
};

}  // namespace lilacmux::test
