// The meter that reports the use of quotas: when its readings are published and which period each covers, as
// learned from responses.
#pragma once

#include <array>

#include "decision/decay.hpp"
#include "decision/meter_slots.hpp"
#include "decision/tenant.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// The times at which the meter, which covers all tenants at once, publishes readings. A reading that differs
// from the previous response's was published between the two responses. Intersecting these intervals of all
// tenants, modulo the period, narrows the publication time down to a few ms.
class MeterPhase {
 public:
  explicit MeterPhase(Time period) : period_(period) {}
  bool isKnown() const { return isKnown_; }
  // Returns the last publication time up to `now`.
  Time lastPublication(Time now) const;
  // Records that a reading was published after `after` and no later than `by`.
  void notePublication(Time after, Time by);

  template <class Archive>
  void exchangeState(Archive& archive) {
    archive(earliest_, latest_, isKnown_);
  }

 private:
  Time period_, earliest_ = 0, latest_ = 0;
  unsigned missCount_ = 0;
  bool isKnown_ = false;
};

// The timing of readings, learned from the responses of all tenants, and the time slots in which use is
// counted.
class Meter {
 public:
  // period: ms that one reading covers; 0: there are no readings.
  explicit Meter(Time period);

  Time period() const { return period_; }
  Time slotLength() const;  // ms, more than 0
  long slotAt(Time now) const;

  // Records a response without a reading.
  void noteNoReading(Time now);
  // Records a reading from a response to the tenant. Must be called before the reading is stored in the
  // tenant.
  void noteReading(Tenant& tenant, Time now, int percent);
  // Whether the reading is newer than the one stored in the tenant.
  bool isNew(const Tenant& tenant, Time now, int percent) const;
  // Returns the slot in which the reading known at `now` was published.
  long publishedSlot(Time now) const;
  // Returns the lag: slots from the end of a metered period to the publication of its reading.
  int lag() const;
  // Updates the lag estimate by a reading, published in slot `publishedSlot`, of `metered` units over all
  // gateways.
  void learnLag(const Tenant& tenant, long publishedSlot, double metered);

  template <class Archive>
  void exchangeTiming(Archive& archive) {
    phase_.exchangeState(archive);
    for (double& misfit : misfit_) archive(misfit);
  }
  template <class Archive>
  void exchangeReadings(Archive& archive) {
    archive(noReadingAt_, hasReading_);
  }

 private:
  static constexpr int kLagCount = kSlots - 2 * kPeriodSlots;  // possible lags, in slots

  Time period_;
  MeterPhase phase_;
  // By lag: decayed sum of own use beyond the metered use, in requests.
  std::array<double, kLagCount> misfit_{};
  Time noReadingAt_ = kNever;  // the last response without a reading, before the first reading
  bool hasReading_ = false;
};

}  // namespace lilacmux::decision
