#include "experiment/fault_run.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace lilacmux {
namespace {

// Which members count as lost: those that are down, frozen or partitioned, and for some seconds after their
// return. The core must tolerate `most` of them at any time.
class Tolerance {
 public:
  explicit Tolerance(std::size_t most) : most_(most) {}
  bool allows(const NodeId& node, Millis now) const {
    std::size_t others = 0;
    for (const auto& [name, lost] : lost_)
      if (name != node && (lost.isDown || lost.until > now)) ++others;
    return others < most_;
  }
  // Counts from now on; `backAt`: when the node is back.
  void selectLost(const NodeId& node, Millis backAt) {
    Lost& lost = lost_[node];
    lost.until = std::max(lost.until, backAt + kRecoveryTime);
  }
  void markDown(const NodeId& node) { lost_[node].isDown = true; }
  void markRestarted(const NodeId& node, Millis now) {
    lost_[node].isDown = false;
    selectLost(node, now);
  }
  void replaced(const NodeId& node) { lost_.erase(node); }
  // Nothing is repaired while all are down.
  void markAllKilled(Millis now, Millis backAt) {
    for (auto& [name, lost] : lost_)
      if (lost.until > now) lost.until = std::max(lost.until, backAt + kRecoveryTime);
  }

 private:
  static constexpr Millis kRecoveryTime = 4000;
  struct Lost {
    bool isDown = false;  // until markRestarted()
    Millis until = 0;
  };
  const std::size_t most_;
  std::map<NodeId, Lost> lost_;
};

class FaultRun {
 public:
  explicit FaultRun(const FaultSchedule& schedule)
      : schedule_(schedule),
        losses_(schedule.members / 2),
        cluster_(schedule.seed, schedule.members, kSpares + schedule.faults.size(), timingOf(schedule)),
        tolerance_(losses_),
        started_(schedule.members) {
    cluster_.onProtocolStep = [this](ProtocolStep step, const NodeId& node) { return outcomeAt(step, node); };
  }

  void trace(std::function<void(const std::string&)> line) { cluster_.trace = std::move(line); }
  // Runs the schedule; the failures, a line each.
  std::vector<std::string> run() {
    cluster_.driftClocks(schedule_.clockDrift);
    cluster_.startAll();
    cluster_.start(cluster_.names()[started_++], false);  // an observer from the first
    if (!cluster_.awaitWritablePrimary(4000)) fail("no primary at the start");
    if (staysWithinTolerance() && !awaitRecovery()) fail("not whole at the start");
    cluster_.setMessageLoss(schedule_.messageLoss);
    cluster_.setMessageDelay(schedule_.messageDelay);
    cluster_.setMessageDuplication(schedule_.messageDuplication);
    for (const Fault& fault : schedule_.faults) {
      play(fault);
      if (!cluster_.violations.empty() || !failures_.empty()) break;
    }
    if (failures_.empty() && cluster_.violations.empty()) end();
    std::vector<std::string> out = cluster_.violations;
    out.insert(out.end(), failures_.begin(), failures_.end());
    return out;
  }
  // Whether an invariant was broken; else the core only did not recover in time.
  bool wasUnsafe() const { return !cluster_.violations.empty(); }
  std::uint64_t digest() const { return cluster_.digest(); }

 private:
  using Kind = Fault::Kind;
  static constexpr Millis kPollInterval = 100;
  static constexpr std::size_t kSpares = 2;
  static constexpr std::size_t kSeedCount = 3;
  static constexpr Millis kStepTimeout = 3000;
  static constexpr Millis kRestartWithin = 1000;
  static constexpr Millis kProgressTimeout = 10000;  // without new faults
  static constexpr Millis kMaxDuration = 8000;       // of a fault that ends by itself
  static constexpr int kManyChanges = 300;

  static Replica::Timing timingOf(const FaultSchedule& schedule) {
    Replica::Timing out;
    out.toleratedLosses = static_cast<unsigned>(schedule.members / 2);
    return out;
  }
  bool staysWithinTolerance() const { return schedule_.style == FaultSchedule::Style::withinTolerance; }
  void fail(const std::string& what) { failures_.push_back(what); }

  void play(const Fault& fault) {
    if (cluster_.trace) cluster_.trace("--- " + describe(fault));
    if (fault.kind == Kind::expectProgress) return expectProgress();
    if (fault.kind == Kind::expectRecovery) return restartAllLost();
    runFor(fault.wait);
    if (fault.kind == Kind::manyChanges) return proposeManyChanges(fault);
    if (fault.step == ProtocolStep::none)
      inject(fault, {});
    else
      awaitStep(fault);
    if (schedule_.style != FaultSchedule::Style::sequential) return;
    runFor(fault.duration + kPollInterval);
    if (!awaitRecovery()) fail("no rest after: " + describe(fault));
  }
  void end() {
    if (staysWithinTolerance()) {
      expectProgress();
      if (failures_.empty()) restartAllLost();
      return;
    }
    runFor(6000 + kPollInterval);
    if (!awaitRecovery()) fail("no rest at the end");
  }
  // Changes must be taken while the lost members are still lost.
  void expectProgress() {
    const std::uint64_t before = cluster_.acknowledged;
    for (Millis span = 0; span < kRestartWithin + kProgressTimeout; span += kPollInterval) {
      runFor(kPollInterval);
      if (cluster_.acknowledged > before && cluster_.activePrimary()) return;
    }
    fail("no change is taken with the tolerated losses");
  }
  void restartAllLost() {
    while (!down_.empty()) {
      const NodeId node = down_.begin()->first;  // start() erases the element
      start(node);
    }
    while (pending_ > 0) runFor(kPollInterval);
    if (!awaitRecovery()) fail("no rest with all back");
  }

  // Advances time, in which faults end and clients propose changes.
  void runFor(Millis span) {
    const Millis until = cluster_.now() + span;
    while (cluster_.now() < until && !stepReached_) {
      cluster_.run(std::min(until - cluster_.now(), kPollInterval));
      if (cluster_.chance() < 0.5) cluster_.propose();
      updateReplaced();
    }
  }
  void awaitStep(const Fault& fault) {
    armedFault_ = &fault;
    stepsToSkip_ = fault.skippedSteps;
    stepReached_ = false;
    runFor(kStepTimeout);
    armedFault_ = nullptr;
    while (injectionPending_) cluster_.run(kPollInterval);
    stepReached_ = false;
  }
  StepOutcome outcomeAt(ProtocolStep step, const NodeId& node) {
    if (!armedFault_ || step != armedFault_->step) return StepOutcome::continues;
    if (stepsToSkip_ > 0) {
      --stepsToSkip_;
      return StepOutcome::continues;
    }
    const Fault fault = *armedFault_;
    armedFault_ = nullptr;
    stepReached_ = true;
    const bool hitsStepNode = fault.target == Fault::Target::atStep;
    if (fault.kind == Kind::freeze && hitsStepNode && allows(node)) {
      freeze(node, fault);  // what it was about to send is sent when it thaws
      cluster_.interrupt();
      return StepOutcome::continues;
    }
    injectionPending_ = true;
    cluster_.after(fault.delayAfterStep, [this, fault, node] {
      injectionPending_ = false;
      inject(fault, node);
      cluster_.interrupt();
    });
    const bool crashes =
        fault.delayAfterStep <= 0 &&
        (fault.kind == Kind::killAll ||
         (hitsStepNode && allows(node) && (fault.kind == Kind::kill || fault.kind == Kind::diskLoss)));
    if (!crashes) return StepOutcome::continues;
    return fault.replacesStep ? StepOutcome::crashesBefore : StepOutcome::crashesAfter;
  }

  bool isComplete() {
    const auto activePrimary = cluster_.activePrimary();
    if (!activePrimary || !cluster_.canPropose(*activePrimary)) return false;
    const Replica& primary = cluster_.at(*activePrimary);
    const auto& members = primary.members();
    return primary.durable().record.oldMembers.empty() &&
           primary.durable().record.backups.size() >= losses_ &&
           std::all_of(members.begin(), members.end(), [&](const NodeId& member) {
             return cluster_.isRunning(member) && !cluster_.at(member).hasFailed() &&
                    cluster_.at(member).epoch() == primary.epoch();
           });
  }
  // The membership must be full and the backups in place before the next loss counts as one.
  bool awaitRecovery() {
    for (int i = 0; i < 140; ++i) {
      runFor(kPollInterval);
      if (isComplete()) return true;
    }
    return false;
  }

  NodeId targetOf(const Fault& fault, const NodeId& nodeAtStep) {
    if (fault.target == Fault::Target::atStep && !nodeAtStep.empty()) return nodeAtStep;
    if (fault.target == Fault::Target::primary || fault.target == Fault::Target::backup) {
      const auto activePrimary = cluster_.activePrimary();
      if (activePrimary && fault.target == Fault::Target::primary) return *activePrimary;
      if (activePrimary) {
        const auto& backups = cluster_.at(*activePrimary).durable().record.backups;
        if (!backups.empty()) return backups[fault.victim % backups.size()];
      }
    }
    return nodeAt(fault.victim);
  }
  NodeId nodeAt(std::size_t place) const { return cluster_.names()[place % started_]; }
  bool allows(const NodeId& node) const {
    return !staysWithinTolerance() || tolerance_.allows(node, cluster_.now());
  }
  bool hasSpare() const { return started_ < cluster_.names().size(); }

  void inject(const Fault& fault, const NodeId& nodeAtStep) {
    if (fault.kind == Kind::killAll) return killAll(fault, nodeAtStep);
    const NodeId one = targetOf(fault, nodeAtStep), other = nodeAt(fault.other);
    if (removed_.contains(one) || !allows(one)) return;
    switch (fault.kind) {
      case Kind::kill:
        return takeDown(one, fault.duration);
      case Kind::diskLoss:
        if (!staysWithinTolerance() && !isComplete()) return;
        takeDown(one, fault.duration);
        return cluster_.loseDisk(one);
      case Kind::isolation:
        return injectFor(one, fault, [this, one](bool yes) { cluster_.isolate(one, yes); });
      case Kind::oneWayPartition:
        if (one == other) return;
        return injectFor(
            one, fault,
            [this, from = fault.replacesStep ? other : one, to = fault.replacesStep ? one : other](bool yes) {
              cluster_.blockOneWay(from, to, yes);
            });
      case Kind::freeze:
        return freeze(one, fault);
      case Kind::diskStall:
        return injectFor(one, fault, [this, one, each = 50 + boundedDuration(fault) / 4](bool yes) {
          cluster_.stallDisk(one, yes ? each : 0);
        });
      case Kind::diskFull:
        // A node that cannot store stops; it is restarted once there is space.
        return injectFor(one, fault, [this, one](bool yes) {
          cluster_.setDiskFull(one, yes);
          if (!yes && cluster_.isUp(one)) takeDown(one, 100);
        });
      case Kind::replaceMachine:
        if (!hasSpare() || (!staysWithinTolerance() && !isComplete())) return;
        remove(one);
        return afterSpan(boundedDuration(fault), [this] { startSpare(); });
      case Kind::retireMachine:
        if (!hasSpare() || !cluster_.isUp(one)) return;
        startSpare();
        return afterSpan(boundedDuration(fault), [this, one] { retire(one); });
      case Kind::partition:
        return partition(fault, one);
      case Kind::killAll:
      case Kind::manyChanges:
      case Kind::expectProgress:
      case Kind::expectRecovery:
        return;
    }
  }

  // Some nodes reach each other and no others.
  void partition(const Fault& fault, const NodeId& first) {
    std::set<NodeId> side;
    for (std::size_t i = 0; i < started_ && side.size() < std::max<std::size_t>(1, fault.losses); ++i) {
      const NodeId node = i == 0 ? first : nodeAt(fault.other + i);
      if (side.contains(node) || removed_.contains(node) || !allows(node)) continue;
      side.insert(node);
      tolerance_.selectLost(node, cluster_.now() + boundedDuration(fault));
    }
    const auto set = [this, side, others = started_](bool yes) {
      for (std::size_t i = 0; i < others; ++i)
        for (const NodeId& node : side)
          if (!side.contains(cluster_.names()[i])) cluster_.blockBothWays(node, cluster_.names()[i], yes);
    };
    set(true);
    afterSpan(boundedDuration(fault), [set] { set(false); });
  }

  // The duration of a fault that ends by itself.
  static Millis boundedDuration(const Fault& fault) { return std::min(fault.duration, kMaxDuration); }
  void afterSpan(Millis span, std::function<void()> what) {
    ++pending_;
    cluster_.after(span, [this, what = std::move(what)] {
      --pending_;
      what();
    });
  }
  void injectFor(const NodeId& node, const Fault& fault, std::function<void(bool)> set) {
    set(true);
    tolerance_.selectLost(node, cluster_.now() + boundedDuration(fault));
    afterSpan(boundedDuration(fault), [set = std::move(set)] { set(false); });
  }
  void freeze(const NodeId& node, const Fault& fault) {
    cluster_.freeze(node, boundedDuration(fault));
    tolerance_.selectLost(node, cluster_.now() + boundedDuration(fault));
  }

  void takeDown(const NodeId& node, Millis lasts, bool counts = true) {
    cluster_.kill(node);
    if (counts) tolerance_.markDown(node);
    const std::uint64_t number = ++lastDownNumber_;
    down_[node] = {number, counts};
    if (lasts >= kUntilRecovery) return;
    cluster_.after(lasts, [this, node, number] {
      const auto found = down_.find(node);
      if (found != down_.end() && found->second.number == number) start(node);
    });
  }
  void killAll(const Fault& fault, const NodeId& nodeAtStep) {
    std::set<NodeId> lost;
    if (staysWithinTolerance()) {
      selectLost(lost, fault, targetOf(fault, nodeAtStep));
      for (std::size_t i = 0; i < started_; ++i) selectLost(lost, fault, nodeAt(fault.other + i));
      tolerance_.markAllKilled(cluster_.now(), cluster_.now() + kRestartWithin);
    }
    for (std::size_t i = 0; i < started_; ++i) {
      const NodeId& node = cluster_.names()[i];
      const auto found = down_.find(node);
      const bool isDown = found != down_.end() && (found->second.counts || !staysWithinTolerance());
      if (removed_.contains(node) || (isDown && !lost.contains(node))) continue;
      const Millis back = staysWithinTolerance() ? kRestartWithin * cluster_.chance()
                                                 : fault.duration + 300 * cluster_.chance();
      lost.contains(node) ? takeDown(node, fault.duration) : takeDown(node, back, false);
      if (lost.contains(node) && fault.disksLost) cluster_.loseDisk(node);
    }
  }
  void selectLost(std::set<NodeId>& lost, const Fault& fault, const NodeId& node) {
    if (lost.size() >= fault.losses || removed_.contains(node) || lost.contains(node) || !allows(node))
      return;
    lost.insert(node);
    tolerance_.markDown(node);
  }
  // A machine that does not return; another one is started for it.
  void remove(const NodeId& node) {
    cluster_.kill(node);
    down_.erase(node);
    removed_.insert(node);
    notYetReplaced_.insert(node);
    tolerance_.markDown(node);
  }
  // Graceful shutdown, after the replacement has started.
  void retire(const NodeId& node) {
    if (removed_.contains(node) || !cluster_.isUp(node) || !allows(node)) return;
    if (!staysWithinTolerance() && !isComplete()) return;
    cluster_.resign(node);
    remove(node);
  }
  void updateReplaced() {
    if (notYetReplaced_.empty()) return;
    const auto activePrimary = cluster_.activePrimary();
    if (!activePrimary || !cluster_.canPropose(*activePrimary)) return;
    const EpochRecord& record = cluster_.at(*activePrimary).durable().record;
    if (!record.oldMembers.empty()) return;
    for (auto it = notYetReplaced_.begin(); it != notYetReplaced_.end();) {
      if (record.hasMember(*it)) {
        ++it;
        continue;
      }
      tolerance_.replaced(*it);
      it = notYetReplaced_.erase(it);
    }
  }
  // One node is down while the others commit more changes than any of them remembers one by one.
  void proposeManyChanges(const Fault& fault) {
    const NodeId one = targetOf(fault, {});
    if (removed_.contains(one) || !allows(one)) return;
    takeDown(one, kUntilRecovery);
    int left = kManyChanges;
    for (int tries = 0; tries < 2 * kManyChanges && left > 0; ++tries) {
      if (cluster_.propose()) --left;
      cluster_.run(20);
    }
    if (down_.contains(one)) start(one);
  }
  void startSpare() {
    if (hasSpare()) start(cluster_.names()[started_++]);
  }
  void start(const NodeId& node) {
    const auto found = down_.find(node);
    if (found != down_.end()) {
      if (found->second.counts) tolerance_.markRestarted(node, cluster_.now());
      down_.erase(found);
    }
    std::vector<NodeId> seeds;
    for (std::size_t i = 0; i < started_ && seeds.size() < kSeedCount; ++i)
      if (cluster_.isUp(cluster_.names()[i])) seeds.push_back(cluster_.names()[i]);
    // The platform's list lags: if fewer are up, it names some that were.
    for (std::size_t i = 0; i < started_ && seeds.size() < kSeedCount; ++i) {
      const NodeId& name = cluster_.names()[i];
      if (name != node && !cluster_.isUp(name) && !removed_.contains(name)) seeds.push_back(name);
    }
    cluster_.setSeeds(seeds);
    cluster_.start(node, false);
  }

  struct Down {
    std::uint64_t number = 0;
    bool counts = true;  // as lost
  };

  const FaultSchedule schedule_;
  const std::size_t losses_;
  SimulatedCluster cluster_;
  Tolerance tolerance_;
  std::size_t started_;
  const Fault* armedFault_ = nullptr;  // strikes at its step
  std::size_t stepsToSkip_ = 0;
  bool stepReached_ = false;       // its step has come
  bool injectionPending_ = false;  // and it follows
  std::map<NodeId, Down> down_;    // down, and to be started again
  std::uint64_t lastDownNumber_ = 0;
  int pending_ = 0;                  // faults that will end by themselves
  std::set<NodeId> removed_;         // for good
  std::set<NodeId> notYetReplaced_;  // of those, the ones that may still be members
  std::vector<std::string> failures_;
};

}  // namespace

FaultRunResult runFaultSchedule(const FaultSchedule& schedule,
                                const std::function<void(const std::string&)>& trace) {
  FaultRun play(schedule);
  if (trace) play.trace(trace);
  FaultRunResult out;
  out.failures = play.run();
  out.unsafe = play.wasUnsafe();
  out.digest = play.digest();
  return out;
}

FaultSchedule shrink(FaultSchedule schedule) {
  const bool unsafe = runFaultSchedule(schedule).unsafe;
  const auto failsToo = [unsafe](const FaultSchedule& less) {
    const FaultRunResult result = runFaultSchedule(less);
    return !result.failures.empty() && (!unsafe || result.unsafe);
  };
  for (std::size_t i = 0; i < schedule.faults.size();) {
    FaultSchedule less = schedule;
    less.faults.erase(less.faults.begin() + static_cast<long>(i));
    if (failsToo(less))
      schedule = std::move(less);
    else
      ++i;
  }
  for (double FaultSchedule::*const share :
       {&FaultSchedule::messageLoss, &FaultSchedule::messageDelay, &FaultSchedule::messageDuplication,
        &FaultSchedule::clockDrift}) {
    FaultSchedule less = schedule;
    less.*share = 0;
    if (failsToo(less)) schedule = std::move(less);
  }
  return schedule;
}

}  // namespace lilacmux
