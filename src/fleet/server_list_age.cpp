#include "fleet/server_list_age.hpp"

#include <algorithm>

namespace lilacmux {
namespace {

constexpr double kDrainMargin = 150;  // ms of drainTimeoutMs reserved for requests in flight
// Minimum lease at any list age, ms; bridges the time between two requests of a gateway that is in contact.
constexpr double kMinLease = 700;

}  // namespace

void ServerListAge::completeScan() { asOf_ = std::max(asOf_.value_or(scanStartedAt_), scanStartedAt_); }

void ServerListAge::requestFailed(Millis now) {
  if (failures_ > 0 && asOf_) asOf_ = std::min(now, *asOf_ + (now - failedAt_));
  failedAt_ = now;
  if (++failures_ >= kFailuresUntilDown && !asOf_) asOf_ = now;
}

std::optional<double> excessListAge(double now, std::optional<double> asOf, const ServiceBounds& bounds) {
  if (!asOf) return std::nullopt;
  const double allowedAge = bounds.drainTimeoutMs - bounds.servingLeaseMs() - kDrainMargin;
  if (!bounds.revocationGlobal || allowedAge < 0) return 0;
  const double maxExcess = std::max(0.0, bounds.servingLeaseMs() - kMinLease);
  return std::clamp(now - *asOf - allowedAge, 0.0, maxExcess);
}

}  // namespace lilacmux
