#include "decision/meter.hpp"

#include <algorithm>
#include <cmath>

namespace lilacmux::decision {
namespace {

// Ms, the assumed lag from the end of a metered period to the publication of its reading.
constexpr Time kAssumedMeterLag = 800;
// Initial misfit of a lag, in requests per slot of distance from the assumed lag.
constexpr double kInitialMisfitPerSlot = 0.3;
// Share of a misfit retained at each reading. Lower values make the lag unstable, higher ones detect a late
// meter slowly.
constexpr double kMisfitDecay = 0.995;
// Upper bound of the misfit added by one reading, in requests.
constexpr double kMaxMisfitPerReading = 2;
// Ms that a response may have been in transit when a reading was published.
constexpr Time kMaxResponseTransit = 5;
// Consecutive publications outside of the known interval after which the interval is learned anew.
constexpr unsigned kMaxConsecutiveMisses = 8;
// Metered periods after which a different value counts as a new reading while the publication time is
// unknown.
constexpr double kMinReadingInterval = 0.3;

}  // namespace

Time MeterPhase::lastPublication(Time now) const {
  return latest_ + std::floor((now - latest_) / period_) * period_;
}

void MeterPhase::notePublication(Time after, Time by) {
  if (period_ <= 0 || by - after >= period_ / 2) return;
  after -= kMaxResponseTransit;
  const Time shift = std::round((after + by - earliest_ - latest_) / 2 / period_) * period_;
  if (isKnown_ && after - shift < latest_ && by - shift > earliest_) {
    earliest_ = std::max(earliest_, after - shift), latest_ = std::min(latest_, by - shift);
    missCount_ = 0;
  } else if (!isKnown_ || ++missCount_ >= kMaxConsecutiveMisses) {
    earliest_ = after, latest_ = by;
    missCount_ = 0;
    isKnown_ = true;
  }
}

Meter::Meter(Time period) : period_(period), phase_(period) {
  for (int lag = 0; lag < kLagCount; ++lag)
    misfit_[static_cast<std::size_t>(lag)] =
        kInitialMisfitPerSlot * std::abs(lag - kAssumedMeterLag / slotLength());
}

Time Meter::slotLength() const { return std::max(period_, 1000.0) / kPeriodSlots; }

long Meter::slotAt(Time now) const { return static_cast<long>(now / slotLength()); }

void Meter::noteNoReading(Time now) {
  if (!hasReading_) noReadingAt_ = now;
}

// Every response carries the latest reading until the next one is published, and only a new one counts. While
// the publication time is unknown, a different value counts as new after a minimum time. A response in
// transit during a publication still carries the old reading; the different value that follows replaces it.
bool Meter::isNew(const Tenant& tenant, Time now, int percent) const {
  if (tenant.reading < 0) return true;
  const bool changed = percent != tenant.reading;
  if (phase_.isKnown()) return changed || tenant.readingAt < phase_.lastPublication(now);
  const Time since = now - tenant.readingAt;
  return (changed && since >= kMinReadingInterval * period_) || since >= period_;
}

void Meter::noteReading(Tenant& tenant, Time now, int percent) {
  // The first reading of all was published after the last response that had none.
  if (percent != tenant.reading)
    phase_.notePublication(
        hasReading_ ? tenant.lastReadingResponseAt : std::max(tenant.lastReadingResponseAt, noReadingAt_),
        now);
  hasReading_ = true;
  tenant.lastReadingResponseAt = now;
}

long Meter::publishedSlot(Time now) const {
  return std::lround((phase_.isKnown() ? phase_.lastPublication(now) : now) / slotLength());
}

int Meter::lag() const {
  return static_cast<int>(std::min_element(misfit_.begin(), misfit_.end()) - misfit_.begin());
}

// A period in which this gateway alone sent more than the metered use of all gateways cannot be the one that
// the reading covers. The lag with the least such misfit is the meter's lag. This handles any lag, including
// one that changes; no lag may stand out if use is metered very late or is very even.
void Meter::learnLag(const Tenant& tenant, long publishedSlot, double metered) {
  if (!phase_.isKnown()) return;
  if (tenant.averageUnits <= 0) return;
  for (int lag = 0; lag < kLagCount; ++lag) {
    const double excess =
        (sumOverPeriod(tenant.sentSlots, publishedSlot - lag) - metered) / tenant.averageUnits - 0.5;
    double& misfit = misfit_[static_cast<std::size_t>(lag)];
    misfit = kMisfitDecay * misfit + std::clamp(excess, 0.0, kMaxMisfitPerReading);
  }
}

}  // namespace lilacmux::decision
