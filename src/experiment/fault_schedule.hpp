// Schedules of faults for a simulated cluster, drawn by a seed. A schedule is a list, so that a failing one
// can be shrunk to the faults that it needs.
//
// Three styles. Sequential: one fault at a time, the core must be complete after each. Overlapping: faults
// overlap and exceed what the core tolerates; only safety is required until the end. Within tolerance: as
// many members as the core tolerates are lost, again and again, and all processes are killed on top of that,
// at chosen steps of the protocol; a primary must take changes at every `expectProgress`, with those members
// still lost.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "experiment/simulated_cluster.hpp"

namespace lilacmux {

struct Fault {
  // The last two are no faults but checks: that changes are taken while the lost members are still lost, and
  // that the core is complete once they have returned. Kinds are drawn by their position: the order must
  // stay.
  enum class Kind {
    kill,
    diskLoss,
    isolation,
    oneWayPartition,
    freeze,
    diskStall,
    diskFull,
    replaceMachine,
    killAll,
    retireMachine,
    partition,
    manyChanges,
    expectProgress,
    expectRecovery
  };
  enum class Target { node, atStep, primary, backup };
  Kind kind = Kind::kill;
  ProtocolStep step = ProtocolStep::none;  // not none: injected at the next such step
  bool replacesStep = false;               // the step itself does not take place
  std::size_t skippedSteps = 0;            // steps of this kind that pass first
  Target target = Target::node;
  std::size_t victim = 0;     // index among the nodes started so far
  std::size_t other = 0;      // of a second node
  Millis wait = 0;            // since the previous fault ended
  Millis duration = 0;        // until it ends by itself
  Millis delayAfterStep = 0;  // between the step and the fault
  std::size_t losses = 0;     // killAll: nodes down for `duration`; partition: nodes on the smaller side
  bool disksLost = false;     // killAll: those nodes lose their disks
};

constexpr Millis kUntilRecovery = 1e9;  // a duration that ends at the next expectRecovery

struct FaultSchedule {
  enum class Style { sequential, overlapping, withinTolerance };
  std::uint64_t seed = 0;
  Style style = Style::sequential;
  std::size_t members = 3;
  // Shares of messages that are lost, delayed for long, and delivered twice.
  double messageLoss = 0, messageDelay = 0, messageDuplication = 0;
  double clockDrift = 0;  // largest share by which a clock's rate is off
  std::vector<Fault> faults;
};

FaultSchedule drawFaultSchedule(std::uint64_t seed);
// One line about the fault, for people.
std::string describe(const Fault& fault);

}  // namespace lilacmux
