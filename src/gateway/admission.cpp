#include "gateway/admission.hpp"

#include <algorithm>

#include "bucket.hpp"

namespace lilacmux {
namespace {

constexpr double kFractionFloor = 0.05;  // the design's
constexpr double kPeriod = 1000;         // ms of use that one reading tells of
constexpr double kClimb = 5000;          // ms from the floor back to 1 without readings
constexpr double kNoShareWait = 300;     // ms advised where no share is held
constexpr double kMostWait = 2000;

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

// A bucket starts empty and a share that has run out fills nothing: what another may hold by now is not used
// here as well.
void Admission::fill(Bucket& b, Millis now) {
  const Millis to = std::min(now, b.until);
  if (to > b.at) {
    const double seconds = (to - b.at) / 1000;
    b.tokens = irisring::refilled(b.tokens, b.share.rate, b.share.burst, seconds);
    b.store = irisring::refilled(b.store, b.share.rate, b.share.burst, seconds);
  }
  if (now >= b.until) b.tokens = 0;
  meter(b, now);
  b.at = std::max(b.at, now);
}

// The use that was admitted here and seen answered, in percent of the share, at the end of each period.
void Admission::meter(Bucket& b, Millis now) {
  if (now - b.periodFrom < kPeriod) return;
  const double due = b.share.rate * (now - b.periodFrom) / 1000;
  if (b.used > 0 && due > 0) {
    const double percent = 100 * b.used / due;
    b.fraction = std::clamp(b.fraction * 100 / percent, kFractionFloor, 1.0);
    b.readAt = now;
  } else if (now - b.readAt > 2 * kPeriod) {
    b.fraction = irisring::climbed(b.fraction, now - b.periodFrom, kClimb);
  }
  b.used = 0;
  b.periodFrom = now;
}

std::optional<Admission::Millis> Admission::ask(Millis now, const std::string& tenant, double chance) {
  if (!limited_.contains(tenant)) return std::nullopt;
  Bucket& b = lookUp(now, tenant);
  b.asked += 1;
  if (now >= b.until || b.share.rate <= 0) return kNoShareWait;
  if (b.tokens < 1) return std::clamp(1000 * (1 - b.tokens) / b.share.rate, 1.0, kMostWait);
  if (b.store < 1 && chance >= b.fraction) return std::clamp(1000 / b.share.rate, 1.0, kMostWait);
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
  } else if (now < b.until) {
    b.tokens = std::min(std::max(b.tokens, b.share.burst), b.tokens + 1);
  }
}

void Admission::limited(const std::vector<std::string>& tenants) {
  limited_.clear();
  for (const std::string& tenant : tenants) limited_[tenant] = true;
}

void Admission::lend(Millis now, const std::string& tenant, const Share& share, Millis until,
                     std::uint64_t grant) {
  Bucket& b = lookUp(now, tenant);
  b.share = share;
  b.until = until;
  b.grant = grant;
  b.tokens = std::min(b.tokens, share.burst);
  b.store = std::min(b.store, share.burst);
}

std::vector<ShareLedger::Demand> Admission::demands(Millis now) {
  std::vector<ShareLedger::Demand> out;
  for (Bucket& b : table_) {
    if (!limited_.contains(b.tenant)) continue;
    const bool held = now < b.until;
    const double seconds = std::max(0.05, (now - b.askedFrom) / 1000);
    if (b.asked > 0 || held)
      out.push_back({b.tenant, b.asked / seconds, held ? b.share : Share{}, held ? b.grant : 0});
    b.asked = 0;
    b.askedFrom = now;
  }
  return out;
}

}  // namespace lilacmux
