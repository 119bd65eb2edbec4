#include "decision/settings_check.hpp"

#include <cmath>
#include <stdexcept>
#include <string>

namespace lilacmux::decision {
namespace {

void require(bool holds, const char* what) {
  if (!holds) throw std::invalid_argument(std::string("settings: ") + what);
}

bool sane(double value) { return std::isfinite(value) && value >= 0; }

}  // namespace

const EngineSettings& checked(const EngineSettings& settings) {
  require(settings.gatewayCount >= 1 && settings.gatewayIndex < settings.gatewayCount,
          "gateway number out of range");
  require(!settings.classes.empty(), "no classes");
  require(!settings.plans.empty(), "no plans");
  require(sane(settings.meterPeriod) && sane(settings.warmUpTime) && sane(settings.drainGracePeriod) &&
              sane(settings.maxRetryAfter) && sane(settings.initialCapacityShare) &&
              sane(settings.overloadFactor) && sane(settings.overloadDuration) && sane(settings.maxUnits) &&
              sane(settings.crossZonePrice) && sane(settings.subscribeWithin),
          "a figure is negative or not finite");
  for (const ClassSettings& requestClass : settings.classes)
    require(sane(requestClass.latencyTarget) && sane(requestClass.deadline) &&
                sane(requestClass.deduplicationWindow) && sane(requestClass.priorityWeight) &&
                sane(requestClass.lateWeight),
            "a class's figure is negative or not finite");
  for (const PlanSettings& plan : settings.plans)
    require(sane(plan.rate) && sane(plan.burst) && sane(plan.hardLimitRate) && sane(plan.hardLimitBurst) &&
                sane(plan.hardLimitSlack) && sane(plan.price) && sane(plan.overQuotaWeight) &&
                sane(plan.overQuotaCost),
            "a plan's figure is negative or not finite");
  return settings;
}

}  // namespace lilacmux::decision
