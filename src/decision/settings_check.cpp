#include "decision/settings_check.hpp"

#include <cmath>
#include <stdexcept>
#include <string>

namespace lilacmux::decision {
namespace {

void require(bool condition, const char* what) {
  if (!condition) throw std::invalid_argument(std::string("settings: ") + what);
}

bool isValidNumber(double value) { return std::isfinite(value) && value >= 0; }

}  // namespace

const EngineSettings& checked(const EngineSettings& settings) {
  require(settings.gatewayCount >= 1 && settings.gatewayIndex < settings.gatewayCount,
          "gateway index out of range");
  require(!settings.classes.empty(), "no classes");
  require(!settings.plans.empty(), "no plans");
  require(isValidNumber(settings.meterPeriod) && isValidNumber(settings.warmUpTime) &&
              isValidNumber(settings.drainGracePeriod) && isValidNumber(settings.maxRetryAfter) &&
              isValidNumber(settings.initialCapacityShare) && isValidNumber(settings.overloadFactor) &&
              isValidNumber(settings.overloadDuration) && isValidNumber(settings.maxUnits) &&
              isValidNumber(settings.crossZonePrice) && isValidNumber(settings.subscribeWithin),
          "an engine setting is negative or not finite");
  for (const ClassSettings& requestClass : settings.classes)
    require(isValidNumber(requestClass.latencyTarget) && isValidNumber(requestClass.deadline) &&
                isValidNumber(requestClass.deduplicationWindow) &&
                isValidNumber(requestClass.priorityWeight) && isValidNumber(requestClass.lateWeight),
            "a class setting is negative or not finite");
  for (const PlanSettings& plan : settings.plans)
    require(isValidNumber(plan.rate) && isValidNumber(plan.burst) && isValidNumber(plan.hardLimitRate) &&
                isValidNumber(plan.hardLimitBurst) && isValidNumber(plan.hardLimitSlack) &&
                isValidNumber(plan.price) && isValidNumber(plan.overQuotaWeight) &&
                isValidNumber(plan.overQuotaCost),
            "a plan setting is negative or not finite");
  return settings;
}

}  // namespace lilacmux::decision
