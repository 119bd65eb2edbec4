#include "experiment/fault_schedule.hpp"

#include <utility>

namespace lilacmux {
namespace {

Fault drawFault(SeededRandom& random, bool overlapping) {
  Fault out;
  out.kind = static_cast<Fault::Kind>(random.index(static_cast<std::size_t>(Fault::Kind::manyChanges)));
  if (overlapping && random.chance() < 0.6)
    out.kind = random.chance() < 0.5 ? Fault::Kind::isolation : Fault::Kind::oneWayPartition;
  out.victim = random.index(8);
  out.other = random.index(8);
  out.wait = overlapping             ? random.below(1500)
             : random.chance() < 0.3 ? random.below(200)
                                     : 4500 + random.below(4000);
  out.duration = random.chance() < 0.5 ? random.below(600) : random.below(6000);
  return out;
}

Fault::Kind drawToleratedKind(SeededRandom& random) {
  using Kind = Fault::Kind;
  static const std::pair<Kind, int> weights[] = {
      {Kind::killAll, 30},       {Kind::kill, 16},          {Kind::diskLoss, 10}, {Kind::expectProgress, 8},
      {Kind::expectRecovery, 7}, {Kind::freeze, 6},         {Kind::isolation, 4}, {Kind::oneWayPartition, 4},
      {Kind::retireMachine, 5},  {Kind::replaceMachine, 2}, {Kind::partition, 4}, {Kind::diskStall, 2},
      {Kind::diskFull, 1},       {Kind::manyChanges, 1}};
  int left = static_cast<int>(random.index(100));
  for (const auto& [kind, weight] : weights)
    if ((left -= weight) < 0) return kind;
  return Kind::kill;
}

Fault drawToleratedFault(SeededRandom& random, std::size_t losses) {
  using Kind = Fault::Kind;
  Fault out;
  out.kind = drawToleratedKind(random);
  out.victim = random.index(8);
  out.other = random.index(8);
  const double when = random.chance();
  out.wait = when < 0.6 ? random.below(100) : when < 0.85 ? random.below(2000) : 4000 + random.below(2000);
  const double span = random.chance();
  out.duration = span < 0.35 ? random.below(600) : span < 0.6 ? random.below(6000) : kUntilRecovery;
  const bool sudden = out.kind == Kind::killAll || out.kind == Kind::kill || out.kind == Kind::diskLoss ||
                      out.kind == Kind::freeze;
  if (random.chance() < (sudden ? 0.65 : 0.2)) {
    out.step = static_cast<ProtocolStep>(1 + random.index(7));
    out.replacesStep = random.chance() < 0.4;
    if (random.chance() < 0.4) out.skippedSteps = random.index(4);
    const double delay = random.chance();
    if (delay > 0.6) out.delayAfterStep = random.below(delay > 0.8 ? 100 : 10);
  }
  const double who = random.chance();
  out.target = who < 0.35   ? Fault::Target::node
               : who < 0.75 ? Fault::Target::atStep
               : who < 0.9  ? Fault::Target::primary
                            : Fault::Target::backup;
  if (out.kind == Kind::killAll || out.kind == Kind::partition) {
    out.losses = random.index(losses + 1);
    out.disksLost = random.chance() < 0.2;
  }
  return out;
}

}  // namespace

std::string describe(const Fault& t) {
  static const char* const kinds[] = {"kill",    "wipe",     "cut",    "one way", "freeze",  "stall", "full",
                                      "replace", "kill all", "retire", "split",   "changes", "calm",  "rest"};
  static const char* const moments[] = {"",
                                        "a promise",
                                        "a win",
                                        "a record taken",
                                        "a change of members",
                                        "state sent",
                                        "state confirmed",
                                        "an acknowledgement"};
  static const char* const whos[] = {"node", "the one at it, else node", "the primary, else node",
                                     "a backup, else node"};
  std::string out = kinds[static_cast<int>(t.kind)];
  out += std::string(" ") + whos[static_cast<int>(t.target)] + " " + std::to_string(t.victim) + " (" +
         std::to_string(t.other) + "), " + std::to_string(static_cast<int>(t.wait)) + " ms on";
  if (t.step != ProtocolStep::none)
    out += std::string(t.replacesStep ? " in place of " : " right after ") +
           moments[static_cast<int>(t.step)] + " (" + std::to_string(t.skippedSteps) + " go by, then " +
           std::to_string(static_cast<int>(t.delayAfterStep)) + " ms)";
  out += t.duration >= kUntilRecovery ? ", stays"
                                      : ", for " + std::to_string(static_cast<int>(t.duration)) + " ms";
  if (t.losses > 0) out += ", " + std::to_string(t.losses) + " lost" + (t.disksLost ? ", wiped" : "");
  return out;
}

FaultSchedule drawFaultSchedule(std::uint64_t seed) {
  SeededRandom random(seed);
  FaultSchedule out;
  out.seed = seed;
  const double style = random.chance();
  out.style = style < 0.15   ? FaultSchedule::Style::sequential
              : style < 0.35 ? FaultSchedule::Style::overlapping
                             : FaultSchedule::Style::withinTolerance;
  const double size = random.chance();
  out.members = size < 0.55 ? 5 : size < 0.92 ? 3 : 7;
  if (random.chance() < 0.3) out.messageLoss = 0.05;
  if (random.chance() < 0.3) out.messageDelay = 0.03;
  if (random.chance() < 0.3) out.messageDuplication = 0.03;
  if (random.chance() < 0.5) out.clockDrift = 0.01;
  if (out.style == FaultSchedule::Style::withinTolerance) {
    const std::size_t count = 4 + random.index(12);
    for (std::size_t i = 0; i < count; ++i) out.faults.push_back(drawToleratedFault(random, out.members / 2));
  } else {
    const bool overlapping = out.style == FaultSchedule::Style::overlapping;
    const std::size_t count = 3 + random.index(overlapping ? 20 : 6);
    for (std::size_t i = 0; i < count; ++i) out.faults.push_back(drawFault(random, overlapping));
  }
  return out;
}

}  // namespace lilacmux
