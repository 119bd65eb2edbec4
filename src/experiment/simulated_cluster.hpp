// A cluster of control members under a simulated clock, network and disk: delayed, lost, late and duplicated
// messages, partitions (one-way too), crashes, freezes, lost, stalling and full disks, and drifting clocks,
// all drawn by a seed. Time advances from event to event. Broken invariants are recorded in `violations`: two
// primaries that hold a lease at once, stale state at the primary, an acknowledged change lost, two changes
// acknowledged on one base.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "consensus/replica.hpp"
#include "experiment/event_digest.hpp"
#include "experiment/random.hpp"

namespace lilacmux {

// Steps of the protocol at which a fault can be injected.
enum class ProtocolStep {
  none,
  storesVote,         // a member is about to store its vote in a new term
  opensEpoch,         // a node is about to store a record of which it is the primary
  acceptsRecord,      // a member is about to store another's record
  changesMembers,     // a primary is about to store a record with other members
  sendsState,         // a primary sends the state to a backup
  acknowledgesState,  // a backup acknowledges that it has stored the state
  commits,            // a primary has reported a change as committed
};

// What happens to the node at a step.
enum class StepOutcome { continues, crashesBefore, crashesAfter };

class SimulatedCluster {
 public:
  explicit SimulatedCluster(std::uint64_t seed, std::size_t members = 3, std::size_t spares = 0,
                            Replica::Timing timing = {})
      : random_(seed), timing_(timing), nodes_(members + spares) {
    for (std::size_t i = 0; i < members + spares; ++i) {
      names_.push_back("10.0.0." + std::to_string(i + 1) + ":7560");
      index_[names_.back()] = i;
    }
    seeds_.assign(names_.begin(), names_.begin() + static_cast<long>(members));
  }
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  double chance() { return random_.chance(); }
  const std::vector<NodeId>& names() const { return names_; }
  void setSeeds(std::vector<NodeId> seeds) { seeds_ = std::move(seeds); }  // of nodes started from here on
  Millis now() const { return now_; }

  void start(const NodeId& name, bool bootstrap) {
    Node& node = nodeOf(name);
    ++node.incarnation;
    node.crashing = false;
    traceLine(name, "starts");
    node.host = std::make_unique<Host>(*this, name);
    node.replica =
        std::make_unique<Replica>(name, seeds_, bootstrap, node.disk, timing_, clockOf(node), *node.host);
    if (node.crashing) return kill(name);
    push({now_ + kTickInterval * chance(), 0, Event::Kind::tick, index_.at(name), node.incarnation});
  }
  void startAll() {
    const std::vector<NodeId> members = seeds_;
    for (const NodeId& name : members) start(name, true);
  }
  // What the process has not sent yet, and what is queued for it, is lost with it.
  void kill(const NodeId& name) {
    Node& node = nodeOf(name);
    if (node.replica) traceLine(name, "is killed");
    node.replica.reset();
    node.frozenUntil = 0;
    node.crashing = false;
    ++node.incarnation;
  }
  // Graceful shutdown: the node notifies the others and is stopped.
  void resign(const NodeId& name) {
    Node& node = nodeOf(name);
    if (isRunning(node)) perform(node, [&] { node.replica->resign(); });
    kill(name);
  }
  void loseDisk(const NodeId& name) {
    traceLine(name, "loses its disk");
    nodeOf(name).disk.reset();
  }
  // Pauses the process: nothing of it runs, and what is sent to it is queued.
  void freeze(const NodeId& name, Millis span) {
    traceLine(name, "stands still");
    nodeOf(name).frozenUntil = now_ + span;
  }
  void stallDisk(const NodeId& name, Millis each) { nodeOf(name).syncDuration = each; }
  void setDiskFull(const NodeId& name, bool yes) { nodeOf(name).full = yes; }
  void isolate(const NodeId& name, bool yes) {
    traceLine(name, yes ? "is cut off" : "is back");
    nodeOf(name).cut = yes;
  }
  void blockOneWay(const NodeId& from, const NodeId& to, bool yes) {
    traceLine(from, (yes ? "does not reach " : "reaches again ") + to);
    yes ? (void)blockedLinks_.insert({from, to}) : (void)blockedLinks_.erase({from, to});
  }
  void blockBothWays(const NodeId& one, const NodeId& other, bool yes) {
    blockOneWay(one, other, yes);
    blockOneWay(other, one, yes);
  }
  const std::optional<DurableState>& disk(const NodeId& name) { return nodeOf(name).disk; }
  bool isUp(const NodeId& name) { return nodeOf(name).replica != nullptr; }
  Replica& at(const NodeId& name) { return *nodeOf(name).replica; }
  void setMessageLoss(double share) { messageLoss_ = share; }
  void setMessageDelay(double share) {
    messageDelay_ = share;
  }  // of messages: delayed by up to kMaxMessageDelay
  void setMessageDuplication(double share) {
    messageDuplication_ = share;
  }  // of messages: delivered twice, the second time delayed
  void setLinkDelay(const NodeId& name, Millis delay) { nodeOf(name).slow = delay; }
  // Gives each clock its own rate, within this share of the true one, and its own start.
  void driftClocks(double share) {
    for (Node& node : nodes_) {
      node.rate = 1 + share * (2 * chance() - 1);
      node.clockStart = 1e6 * chance();
    }
  }
  bool hasLease(const NodeId& name) {
    Node& node = nodeOf(name);
    return node.replica && node.replica->hasLease(clockOf(node));
  }
  bool canPropose(const NodeId& name) {
    Node& node = nodeOf(name);
    return isRunning(node) && node.replica->canPropose(clockOf(node));
  }

  // The primary that holds a lease, if any; two at once are a violation.
  std::optional<NodeId> activePrimary() {
    std::optional<NodeId> out;
    for (const NodeId& name : names_) {
      if (!hasLease(name)) continue;
      if (out) reportViolation("two serve: " + *out + " and " + name);
      out = name;
    }
    return out;
  }

  void after(Millis span, std::function<void()> what) {
    std::size_t place = allocate(actions_, freeActions_);
    actions_[place] = std::move(what);
    push({now_ + span, 0, Event::Kind::action, place, 0});
  }

  void run(Millis span) {
    const Millis until = now_ + span;
    interrupted_ = false;
    while (!events_.empty() && events_.front().at <= until) {
      std::pop_heap(events_.begin(), events_.end());
      const Event event = events_.back();
      events_.pop_back();
      now_ = std::max(now_, event.at);
      play(event);
      if (interrupted_) return;
    }
    now_ = until;
  }
  // Ends the current run() after this event.
  void interrupt() { interrupted_ = true; }
  // Runs until a primary can take a change; false: none within the span.
  bool awaitWritablePrimary(Millis within) {
    const Millis until = now_ + within;
    while (now_ < until) {
      run(50);
      const auto serves = activePrimary();
      if (serves && canPropose(*serves)) return true;
    }
    return false;
  }

  // Proposes to each node that would take a change one of its own. Whether any did.
  bool propose() {
    bool any = false;
    for (const NodeId& name : names_) {
      Node& node = nodeOf(name);
      if (!canPropose(name)) continue;
      ReplicatedState next = node.replica->committed();
      parents_.push_back(next.revision);
      ++next.sequence;
      next.revision = parents_.size();
      next.body = std::make_shared<const std::string>("body " + std::to_string(next.revision));
      perform(node, [&] { node.replica->propose(clockOf(node), next); });
      any = true;
    }
    return any;
  }

  bool isRunning(const NodeId& name) { return isRunning(nodeOf(name)); }
  // Over all that has happened so far: events, messages, stored records, acknowledgements and violations.
  std::uint64_t digest() const { return digest_.value(); }

  // Asked at each step what happens to its node.
  std::function<StepOutcome(ProtocolStep, const NodeId&)> onProtocolStep;
  std::function<void(const std::string&)>
      trace;  // called with a line for each state that is stored and each event
  std::vector<std::string> violations;
  std::uint64_t acknowledged = 0;  // the newest revision that a primary has reported as committed
  std::uint64_t commits = 0;

 private:
  static constexpr Millis kTickInterval = 100;
  static constexpr Millis kMaxMessageDelay = 600;  // a call lives no longer

  struct Node;
  struct Host : ReplicaHost {
    Host(SimulatedCluster& w, NodeId s) : cluster(w), self(std::move(s)), node(w.nodeOf(self)) {}
    void send(const NodeId& to, const MemberMessage& message) override {
      if (node.crashing) return;
      StepOutcome fate = StepOutcome::continues;
      if (message.kind == MemberMessage::Kind::replicate)
        fate = cluster.outcomeOf(ProtocolStep::sendsState, self);
      if (message.kind == MemberMessage::Kind::replicateAck)
        fate = cluster.outcomeOf(ProtocolStep::acknowledgesState, self);
      if (!isBackedByDisk(message)) cluster.reportViolation(self + " says what it has not stored");
      if (fate != StepOutcome::crashesBefore) cluster.post(self, to, message);
      if (fate != StepOutcome::continues) node.crashing = true;
    }
    // A vote must be on disk before it is sent, and so must an accepted record and an acknowledged state.
    bool isBackedByDisk(const MemberMessage& message) const {
      using Kind = MemberMessage::Kind;
      static const DurableState empty;
      const DurableState& disk = node.disk ? *node.disk : empty;
      if (message.kind == Kind::voteResponse) return !message.granted || disk.votedEpoch >= message.epoch;
      if (message.kind == Kind::heartbeatAck) return !message.granted || disk.record.epoch >= message.epoch;
      if (message.kind == Kind::replicateAck)
        return disk.dataEpoch >= message.epoch && disk.state.sequence >= message.sequence;
      return true;
    }
    bool store(const DurableState& durable) override {
      if (node.crashing) return true;
      if (node.full) return false;
      const StepOutcome fate = cluster.outcomeOf(protocolStepOf(durable), self);
      if (fate != StepOutcome::crashesBefore) {
        if (node.syncDuration > 0)
          node.frozenUntil = std::max(node.frozenUntil, cluster.now_ + node.syncDuration);
        node.disk = durable;
        cluster.digestStore(node, durable);
        if (cluster.trace) cluster.traceLine(self, summaryOf(durable));
      }
      if (fate != StepOutcome::continues) node.crashing = true;
      return true;
    }
    void onCommitted(const ReplicatedState& state) override {
      if (node.crashing) return;
      cluster.recordCommit(self, state.revision);
      if (cluster.outcomeOf(ProtocolStep::commits, self) != StepOutcome::continues) node.crashing = true;
    }
    void onPrimacyLost() override {}
    void log(const std::string& line) override { cluster.traceLine(self, line); }
    ProtocolStep protocolStepOf(const DurableState& next) const {
      if (!cluster.onProtocolStep || !node.disk) return ProtocolStep::none;
      const DurableState& before = *node.disk;
      if (next.record.epoch > before.record.epoch) {
        if (next.record.primary != self) return ProtocolStep::acceptsRecord;
        const bool others = next.record.members != before.record.members ||
                            next.record.oldMembers != before.record.oldMembers;
        return others ? ProtocolStep::changesMembers : ProtocolStep::opensEpoch;
      }
      return next.votedEpoch > before.votedEpoch ? ProtocolStep::storesVote : ProtocolStep::none;
    }
    SimulatedCluster& cluster;
    const NodeId self;
    Node& node;
  };
  struct Node {
    std::unique_ptr<Host> host;
    std::unique_ptr<Replica> replica;
    std::optional<DurableState> disk;
    Millis frozenUntil = 0, syncDuration = 0, slow = 0;
    double rate = 1;
    Millis clockStart = 0;
    std::uint64_t incarnation = 0;  // counts processes, and the times between them
    bool full = false, cut = false;
    bool crashing = false;  // nothing that it still does takes effect
  };
  struct Packet {
    std::size_t from = 0, to = 0;
    Millis latency = 0;
    bool inFlight = false;
    std::uint64_t fromIncarnation = 0;
    std::uint64_t toIncarnation = 0;  // not 0: queued in the buffers of that process
    MemberMessage message;
  };
  struct Event {
    enum class Kind { tick, packet, action };
    Millis at = 0;
    std::uint64_t number = 0;
    Kind kind = Kind::tick;
    std::size_t place = 0;  // of the node, the packet or the action in its vector
    std::uint64_t incarnation = 0;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  Node& nodeOf(const NodeId& name) { return nodes_[index_.at(name)]; }
  bool isRunning(const Node& node) const { return node.replica && now_ >= node.frozenUntil; }
  Millis clockOf(const Node& node) const { return node.clockStart + node.rate * now_; }
  StepOutcome outcomeOf(ProtocolStep moment, const NodeId& name) {
    return onProtocolStep && moment != ProtocolStep::none ? onProtocolStep(moment, name)
                                                          : StepOutcome::continues;
  }

  void push(Event event) {
    event.number = ++eventsMade_;
    events_.push_back(event);
    std::push_heap(events_.begin(), events_.end());
  }
  template <class T>
  static std::size_t allocate(std::vector<T>& all, std::vector<std::size_t>& free) {
    if (free.empty()) {
      all.emplace_back();
      return all.size() - 1;
    }
    const std::size_t out = free.back();
    free.pop_back();
    return out;
  }

  void play(const Event& event) {
    digest_.add(event.at);
    digest_.add(static_cast<std::uint64_t>(event.kind));
    switch (event.kind) {
      case Event::Kind::tick:
        return playTick(event);
      case Event::Kind::packet:
        return playPacket(event);
      case Event::Kind::action: {
        const auto what = std::move(actions_[event.place]);
        freeActions_.push_back(event.place);
        return what();
      }
    }
  }
  void playTick(const Event& event) {
    Node& node = nodes_[event.place];
    if (!node.replica || node.incarnation != event.incarnation) return;
    if (now_ < node.frozenUntil) return reschedule(event, node.frozenUntil);
    reschedule(event, now_ + kTickInterval);
    perform(node, [&] { node.replica->tick(clockOf(node)); });
  }
  void playPacket(const Event& event) {
    Packet& packet = packets_[event.place];
    const Node& from = nodes_[packet.from];
    if (!packet.inFlight) return sendHeldBack(event);
    Node& node = nodes_[packet.to];
    const bool reaches = node.replica && !node.cut && !from.cut &&
                         (packet.toIncarnation == 0 || packet.toIncarnation == node.incarnation);
    if (reaches && now_ < node.frozenUntil) {
      packet.toIncarnation = node.incarnation;
      return reschedule(event, node.frozenUntil);
    }
    const MemberMessage message = std::move(packet.message);
    freePackets_.push_back(event.place);
    if (reaches) perform(node, [&] { node.replica->receive(clockOf(node), message); });
  }
  // What a stalling disk or a freeze held back is sent after it, if the process still exists.
  void sendHeldBack(const Event& event) {
    Packet& packet = packets_[event.place];
    const Node& from = nodes_[packet.from];
    if (from.incarnation != packet.fromIncarnation) return freePackets_.push_back(event.place);
    if (now_ < from.frozenUntil) return reschedule(event, from.frozenUntil);
    packet.inFlight = true;
    reschedule(event, now_ + packet.latency);
  }
  void reschedule(Event event, Millis at) {
    event.at = at;
    push(event);
  }
  // Runs a step of the node and checks the invariants afterwards.
  template <class What>
  void perform(Node& node, const What& what) {
    what();
    if (node.crashing) return kill(node.host->self);
    checkInvariants(node);
  }

  void post(const NodeId& from, const NodeId& to, const MemberMessage& message) {
    const auto there = index_.find(to);
    if (there == index_.end()) return;
    Node& sender = nodeOf(from);
    if (sender.cut || (!blockedLinks_.empty() && blockedLinks_.contains({from, to}))) return;
    if (messageLoss_ > 0 && chance() < messageLoss_) return;
    const bool late = messageDelay_ > 0 && chance() < messageDelay_;
    schedulePacket(sender, there->second, late ? kMaxMessageDelay * chance() : 1 + 4 * chance(), message);
    if (messageDuplication_ > 0 && chance() < messageDuplication_)
      schedulePacket(sender, there->second, kMaxMessageDelay * chance(), message);
  }
  void schedulePacket(const Node& sender, std::size_t to, Millis latency, const MemberMessage& message) {
    digestMessage(sender, to, message);
    const std::size_t place = allocate(packets_, freePackets_);
    Packet& packet = packets_[place];
    packet.from = static_cast<std::size_t>(&sender - nodes_.data());
    packet.to = to;
    packet.latency = latency + sender.slow + nodes_[to].slow;
    packet.inFlight = now_ >= sender.frozenUntil;
    packet.fromIncarnation = sender.incarnation;
    packet.toIncarnation = 0;
    packet.message = message;
    const Millis at = packet.inFlight ? now_ + packet.latency : sender.frozenUntil;
    push({at, 0, Event::Kind::packet, place, 0});
  }

  // Numbers alone, no names, so that versions whose names differ have the same digest.
  void digestMessage(const Node& sender, std::size_t to, const MemberMessage& message) {
    digest_.add(now_);
    digest_.add(indexOf(sender));
    digest_.add(to);
    digest_.add(static_cast<std::uint64_t>(message.kind));
    digest_.add(message.epoch);
    digest_.add(message.sequence);
    digest_.add(message.granted);
    digest_.add(message.record.epoch);
    digest_.add(message.dataEpoch);
  }
  void digestStore(const Node& node, const DurableState& durable) {
    digest_.add(now_);
    digest_.add(indexOf(node));
    digest_.add(durable.votedEpoch);
    digest_.add(durable.record.epoch);
    digest_.add(durable.record.previous);
    digest_.add(durable.record.members.size());
    digest_.add(durable.record.backups.size());
    digest_.add(durable.dataEpoch);
    digest_.add(durable.lostEpoch);
    digest_.add(durable.establishedEpoch);
    digest_.add(durable.state.revision);
  }
  std::uint64_t indexOf(const Node& node) const { return static_cast<std::uint64_t>(&node - nodes_.data()); }

  void recordCommit(const NodeId& by, std::uint64_t revision) {
    digest_.add(now_);
    digest_.add(revision);
    traceLine(by, "acknowledges revision " + std::to_string(revision));
    if (!descendsFrom(revision, acknowledged))
      reportViolation("an acknowledged change is lost: " + std::to_string(revision) + " at " + by +
                      " does not build on " + std::to_string(acknowledged));
    acknowledged = std::max(acknowledged, revision);
    ++commits;
  }
  // Whether this revision is that one, or was made on top of it.
  bool descendsFrom(std::uint64_t revision, std::uint64_t from) const {
    while (revision > from) revision = parents_[revision - 1];
    return revision == from;
  }
  // A node gains a lease by an event of its own only, so it suffices to check the node of the event.
  void checkInvariants(Node& node) {
    if (!node.replica || !node.replica->isPrimary() || !node.replica->hasLease(clockOf(node))) return;
    for (Node& other : nodes_) {
      if (&other == &node || !other.replica || !other.replica->isPrimary()) continue;
      if (other.replica->hasLease(clockOf(other)))
        reportViolation("two serve: " + node.host->self + " and " + other.host->self);
    }
    if (!descendsFrom(node.replica->committed().revision, acknowledged))
      reportViolation(node.host->self + " serves old state");
  }
  void reportViolation(const std::string& what) {
    digest_.add(now_);
    digest_.add(violations.size());
    if (trace) trace("VIOLATION: " + what);
    if (violations.size() < 5)
      violations.push_back("at " + std::to_string(static_cast<long>(now_)) + ": " + what);
  }

  static std::string summaryOf(const DurableState& d) {
    const EpochRecord& r = d.record;
    std::string backups;
    for (const NodeId& backup : r.backups) backups += "/" + backup;
    return "keeps promise " + epochText(d.votedEpoch) + " to " + d.votedFor + ", record " +
           epochText(r.epoch) + " after " + epochText(r.previous) + " " + r.primary + backups + " of " +
           std::to_string(r.members.size()) + "+" + std::to_string(r.oldMembers.size()) + ", data " +
           epochText(d.dataEpoch) + " forgotten " + epochText(d.lostEpoch) + " revision " +
           std::to_string(d.state.revision);
  }
  void traceLine(const NodeId& who, const std::string& what) const {
    if (trace) trace(std::to_string(static_cast<long>(now_)) + " " + who + " " + what);
  }

  SeededRandom random_;
  EventDigest digest_;
  const Replica::Timing timing_;
  std::vector<NodeId> names_, seeds_;  // the seeds are the first members
  std::unordered_map<NodeId, std::size_t> index_;
  std::vector<Node> nodes_;
  std::vector<Event> events_;  // a heap, the earliest first
  std::uint64_t eventsMade_ = 0;
  std::vector<Packet> packets_;
  std::vector<std::function<void()>> actions_;
  std::vector<std::size_t> freePackets_, freeActions_;
  std::set<std::pair<NodeId, NodeId>> blockedLinks_;
  double messageLoss_ = 0, messageDelay_ = 0, messageDuplication_ = 0;
  std::vector<std::uint64_t> parents_;  // of each revision, from 1 on, the one that it was made on
  Millis now_ = 0;
  bool interrupted_ = false;
};

}  // namespace lilacmux
