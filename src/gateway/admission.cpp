#include "gateway/admission.hpp"

#include <algorithm>

#include "bucket.hpp"
#include "gateway/rate_meter.hpp"

namespace lilacmux {
namespace {

constexpr double kFractionFloor = 0.05;              // the design's
constexpr double kPeriod = 1000;                     // ms of use that one reading tells of
constexpr double kClimb = 5000;                      // ms from the floor back to 1 without readings
constexpr double kAloneBurst = 4;                    // tokens that a lent rate alone saves up
constexpr double kLeastWait = 40, kMostWait = 2000;  // ms advised
constexpr double kLowS = 0.15;  // seconds of demand in the stock under which more is asked for
constexpr double kLow = 1;      // and tokens

}  // namespace

Admission::Bucket& Admission::lookUp(Millis now, const std::string& tenant) {
  if (const auto found = index_.find(tenant); found != index_.end()) {
    table_.splice(table_.end(), table_, found->second);
    fill(*found->second, now);
    return *found->second;
  }
  if (index_.size() >= kTable) {
    index_.erase(table_.front().tenant);
    table_.pop_front();
  }
  Bucket fresh;
  fresh.tenant = tenant;
  fresh.at = fresh.periodFrom = fresh.readAt = fresh.askedFrom = now;
  table_.push_back(std::move(fresh));
  index_[tenant] = std::prev(table_.end());
  return table_.back();
}

// A bucket starts empty. While nothing is heard it fills at the lent rate, and when the lease is over it is
// empty for good: what another may hold by then is not used here as well.
void Admission::fill(Bucket& b, Millis now) {
  const Millis from = std::max(b.at, b.sentAt + timing_.aloneAfter);
  const Millis to = std::min(now, b.sentAt + timing_.lease);
  if (to > from) {
    const double cap = std::max(b.tokens, kAloneBurst + b.rate);
    const double filled = irisring::refilled(b.tokens, b.rate, cap, (to - from) / 1000);
    b.store += filled - b.tokens;
    b.due += filled - b.tokens;
    b.tokens = filled;
  }
  if (now >= b.sentAt + timing_.lease) b.tokens = b.store = 0;
  meter(b, now);
  b.at = std::max(b.at, now);
}

// The use that was admitted here and seen answered, in percent of the share, at the end of each period.
void Admission::meter(Bucket& b, Millis now) {
  if (now - b.periodFrom < kPeriod) return;
  if (b.used > 0 && b.due > 0) {
    b.fraction = std::clamp(b.fraction * b.due / b.used, kFractionFloor, 1.0);
    b.readAt = now;
  } else if (now - b.readAt > 2 * kPeriod) {
    b.fraction = irisring::climbed(b.fraction, now - b.periodFrom, kClimb);
  }
  b.due = std::max(0.0, b.tokens);
  b.used = 0;
  b.periodFrom = now;
}

std::optional<Admission::Millis> Admission::ask(Millis now, const std::string& tenant, double chance) {
  if (!limited_.contains(tenant)) return std::nullopt;
  Bucket& b = lookUp(now, tenant);
  b.asked += 1;
  const double wait = std::clamp(1000 * (1 - b.tokens) / std::max(b.rate, 0.1), kLeastWait, kMostWait);
  low_ = low_ || b.tokens - 1 < kLow + kLowS * b.perS;
  if (b.tokens < 1) return wait;
  if (b.store < 1 && chance >= b.fraction) return wait;
  b.tokens -= 1;
  return std::nullopt;
}

void Admission::ended(Millis now, const std::string& tenant, bool ran) {
  const auto found = index_.find(tenant);
  if (found == index_.end()) return;
  Bucket& b = *found->second;
  fill(b, now);
  if (ran) {
    b.used += 1;
    b.store -= 1;
  } else if (now < b.sentAt + timing_.lease) {
    b.tokens += 1;
  }
}

void Admission::limited(const std::vector<std::string>& tenants) {
  limited_ = {tenants.begin(), tenants.end()};
}

void Admission::take(Millis now, const ShareLedger::Grant& grant, Millis sentAt, std::uint64_t number) {
  Bucket& b = lookUp(now, grant.tenant);
  b.rate = grant.rate;
  b.sentAt = sentAt;
  b.grant = number;
  b.tokens += grant.tokens;
  b.store += grant.tokens;
  b.due += std::max(0.0, grant.tokens);
}

std::vector<ShareLedger::Demand> Admission::demands(Millis now) {
  low_ = false;
  std::vector<ShareLedger::Demand> out;
  for (Bucket& b : table_) {
    if (!limited_.contains(b.tenant)) continue;
    fill(b, now);
    // A look before its time tells what that span's end would tell at least, so that a crowd is seen at once.
    const Millis span = std::max(now - b.askedFrom, kRateSpan);
    const double perS = rateAfter(b.perS, b.asked, span);
    double told = std::max(b.perS, perS);
    if (now - b.askedFrom >= kRateSpan) {
      told = b.perS = perS;
      b.asked = 0;
      b.askedFrom = now;
    }
    out.push_back({b.tenant, told, b.tokens, b.rate, b.grant});
  }
  return out;
}

}  // namespace lilacmux
