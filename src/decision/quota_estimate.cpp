#include "decision/quota_estimate.hpp"

#include <algorithm>
#include <cmath>

#include "decision/quota_tuning.hpp"
#include "decision/token_bucket.hpp"

namespace lilacmux::decision {
namespace {

// The admit fraction recovers in no fewer usual gaps between readings, where they come rarely.
constexpr double kRecoveryGaps = 3;
// Ms, time constant of the usual demand; shorter: gateways swing.
constexpr Time kUsualDemandTau = 60000;
// Requests that an assumed demand counts for; higher: news is believed late.
constexpr double kDemandDoubt = 0.5;
// Demand of a tenant that nothing is known of, as a share of its rate.
constexpr double kInitialDemand = 1;
// Requests that a share of 1/setSize counts for; lower: one request is news.
constexpr double kShareDoubt = 4;
// Ms, time constant of the share; longer: slow after traffic moves.
constexpr Time kShareTau = 10000;
// The scale of a normal distribution over that of the logistic one that stands for it.
constexpr double kLogisticScale = 1.7;
// Usual requests that a gateway's part of the rate saves up while the global bucket is empty.
constexpr double kMaxCredit = 1.5;
// Standard deviations kept from the estimate; higher: rejects with room; lower: goes past the quota.
constexpr double kCaution = 1;
// Ms that one request's part of the rate takes for isSeldom; shorter: full buckets are missed.
constexpr Time kSeldomSpan = 20000;
// Share of first requests admitted then; higher: all gateways together go past the quota.
constexpr double kFirstAdmitted = 0.6;
// What the admit fraction aims at, as a share of the rate.
constexpr double kTargetUse = 0.6;
// Metered periods of the rate that the estimate may owe; 0: noise only ever adds room.
constexpr double kMaxDebt = 0.5;

}  // namespace

double QuotaEstimate::debt(const PlanSettings& plan) const {
  return kMaxDebt * plan.rate * settings_.meterPeriod / 1000;
}

double QuotaEstimate::share(const Tenant& tenant) const {
  const double doubt = kShareDoubt * tenant.usualUnits + 1e-9;
  return std::min(1.0, (tenant.ownUse + doubt / tenant.gatewaySetSize) / (tenant.allUse + doubt));
}

// All gateways' demand in units a second: what is seen lately against what is usual, and that against what
// nothing is known of, each by its weight.
double QuotaEstimate::demand(const Tenant& tenant) const {
  const double doubt = kDemandDoubt * tenant.usualUnits;
  const double assumed = std::max(1e-6, kInitialDemand * settings_.plans[tenant.plan].rate);
  const double usual = (tenant.usualDemandUnits + doubt) / (tenant.usualDemandTime + doubt / assumed);
  return (tenant.recentUnits + doubt) / (tenant.recentTime + doubt / usual);
}

// What the other gateways take from the global bucket in units a second.
double QuotaEstimate::othersUse(const Tenant& tenant) const {
  return demand(tenant) * (1 - share(tenant)) * tenant.admitSlots[slotIndex(tenant.slot)];
}

// What the others are estimated to take within a time from a bucket of so many tokens. They keep to the same
// quota: what is empty gives them their part of the rate and no more, whatever is asked of them.
double QuotaEstimate::othersTake(const Tenant& tenant, double tokens, double seconds) const {
  const double most =
      std::max(0.0, tokens) + settings_.plans[tenant.plan].rate * (1 - share(tenant)) * seconds;
  return std::min(othersUse(tenant) * seconds, most);
}

void QuotaEstimate::addDemand(Tenant& tenant, double units, double seconds) {
  tenant.recentUnits += units, tenant.usualDemandUnits += units;
  tenant.recentTime += seconds, tenant.usualDemandTime += seconds;
}

void QuotaEstimate::advance(Tenant& tenant, Time now) const {
  const PlanSettings& plan = settings_.plans[tenant.plan];
  const Time span = std::max(0.0, now - tenant.updatedAt);
  const double dt = span / 1000;
  tenant.tokens = refilled(tenant.tokens, plan.rate, plan.burst, dt);
  const double taken = othersTake(tenant, tenant.globalTokens, dt);
  tenant.globalTokens = refilled(tenant.globalTokens - taken, plan.rate, plan.burst, dt);
  tenant.hardLimitTokens = std::min(plan.hardLimitBurst / tenant.gatewaySetSize,
                                    tenant.hardLimitTokens + plan.hardLimitRate * dt / tenant.gatewaySetSize);
  const double keepNews = std::exp(-span / kRecentDemandTau), keep = std::exp(-span / kUsualDemandTau);
  tenant.recentUnits *= keepNews, tenant.recentTime = tenant.recentTime * keepNews + share(tenant) * dt;
  tenant.usualDemandUnits *= keep,
      tenant.usualDemandTime = tenant.usualDemandTime * keep + share(tenant) * dt;
  const double keepAsked = std::exp(-span / kRequestedLoadTau);
  tenant.requestedLoad *= keepAsked, tenant.requestedSpan = tenant.requestedSpan * keepAsked + span;
  const double keepShare = std::exp(-span / kShareTau);
  tenant.ownUse *= keepShare, tenant.allUse *= keepShare;
  if (now - tenant.readingAt > 2 * settings_.meterPeriod)  // a gateway that lets nothing in gets no readings
    tenant.admitFraction =
        recovered(tenant.admitFraction, span, std::max(kRecoverySpan, kRecoveryGaps * tenant.readingGap));
  tenant.credit = std::min(kMaxCredit * tenant.usualUnits, tenant.credit + plan.rate * share(tenant) * dt);
  touchSlot(tenant, now, taken);
  tenant.updatedAt = std::max(tenant.updatedAt, now);
}

// Whether a gateway's even part of the burst is less than a request and that of the rate brings one in a
// long time only. Until a reading comes, the gateway knows nothing of the global bucket: each that took it
// for full would let in a tenant's first try, and all together many times the burst. Most of a light tenant's
// tries are the first at their gateway, a heavy one's are not, so a part of the first is let in, and the
// others as the rate brings them in. Hurts a light tenant that keeps coming to one gateway.
bool QuotaEstimate::isSeldom(const Tenant& tenant) const {
  const PlanSettings& plan = settings_.plans[tenant.plan];
  const double toAll = tenant.usualUnits * tenant.gatewaySetSize;
  return tenant.reading < 0 && plan.rate > 0 && plan.burst < toAll && 1000 * toAll / plan.rate > kSeldomSpan;
}

// Whether a try would more likely than pays find the global bucket without its units: the estimate against
// what is not known of it, at the plan's own price of being wrong.
bool QuotaEstimate::isEmpty(const Tenant& tenant, double want, double pressure) const {
  const PlanSettings& plan = settings_.plans[tenant.plan];
  const double price = (plan.overQuotaCost - plan.overQuotaWeight + pressure) / (1 - pressure);
  if (price <= 0) return false;
  // Own sends are known; what the others have sent since the last reading's period is not.
  const double age = std::min((tenant.updatedAt - tenant.meteredUntil) / 1000, plan.burst / plan.rate);
  const double doubt =
      std::sqrt(std::min(demand(tenant), plan.rate) * (1 - share(tenant)) * tenant.usualUnits * age);
  return tenant.globalTokens < want + (std::log(price) / kLogisticScale + kCaution) * doubt;
}

double QuotaEstimate::startingCredit(const Tenant& tenant, double chance) const {
  return std::min(kMaxCredit, chance + (isSeldom(tenant) ? kFirstAdmitted : 0)) * tenant.usualUnits;
}

void QuotaEstimate::debit(Tenant& tenant, double units) {
  tenant.tokens -= units;
  tenant.hardLimitTokens -= units;
  tenant.globalTokens -= units;
  tenant.sentSlots[slotIndex(tenant.slot)] += static_cast<float>(units);
}

void QuotaEstimate::refund(Tenant& tenant, Time now, double units) const {
  advance(tenant, now);
  const PlanSettings& plan = settings_.plans[tenant.plan];
  tenant.tokens = std::min(plan.burst, tenant.tokens + units);
  tenant.globalTokens = std::min(plan.burst, tenant.globalTokens + units);
}

// Moves on to the slot of now; `taken` is spread over those that have passed.
void QuotaEstimate::touchSlot(Tenant& tenant, Time now, double taken) const {
  const long to = meter_.slotAt(now), passed = std::max(0L, to - tenant.slot);
  const auto each = static_cast<float>(taken / static_cast<double>(passed + 1));
  const std::size_t from = slotIndex(tenant.slot);
  tenant.othersSlots[from] += each;
  for (tenant.slot = std::max(tenant.slot, to - kSlots); tenant.slot < to;) {
    const std::size_t next = slotIndex(++tenant.slot);
    tenant.sentSlots[next] = 0, tenant.othersSlots[next] = each,
    tenant.admitSlots[next] = tenant.admitSlots[from];
  }
}

// The share over the time that no reading has told of, by the use of the period that one has. Readings come
// with answers: a gateway that sends rarely would else count its part by periods in which it has never
// sent.
void QuotaEstimate::noteShare(Tenant& tenant, long to, double metered) const {
  const double known = std::max({tenant.meteredUntil, tenant.createdAt,
                                 static_cast<double>(tenant.slot - kSlots + 1) * meter_.slotLength()});
  double own = 0;
  const long from = meter_.slotAt(known);
  for (long i = from; i < to; ++i) own += tenant.sentSlots[slotIndex(i)];
  if (from >= to) return;
  tenant.ownUse += own;
  tenant.allUse += std::max(own, metered * static_cast<double>(to - from) / kPeriodSlots);
}

// What the estimate took for the metered period gives way to what was metered, and the time since then to
// the use as it is now known. The slots keep what has been put in, so that periods that follow one another,
// overlap or are told anew leave no remainder: one that stays counts until the bucket is full, which it
// never is where a tenant asks for more than its rate.
void QuotaEstimate::noteMetered(Tenant& tenant, Time now, long end, double metered) const {
  const PlanSettings& plan = settings_.plans[tenant.plan];
  const double own = overPeriod(tenant.sentSlots, end),
               in = overPeriod(tenant.admitSlots, end) / kPeriodSlots;
  const double others = std::max(0.0, metered - own);
  noteShare(tenant, end - kPeriodSlots, metered);
  tenant.ownUse += own, tenant.allUse += own + others;
  addDemand(tenant, others, settings_.meterPeriod / 1000 * (1 - share(tenant)) * in);
  // The reading tells what the fraction of its own period let in, whatever the fraction is by now.
  tenant.admitFraction = std::clamp(kTargetUse * plan.rate / demand(tenant), kMinAdmitFraction, 1.0);
  double sent = 0;  // since then
  for (long i = end - kPeriodSlots; i <= tenant.slot; ++i) {
    const double put = i < end ? others / kPeriodSlots : 0;
    tenant.globalTokens += tenant.othersSlots[slotIndex(i)] - put;
    tenant.othersSlots[slotIndex(i)] = static_cast<float>(put);
    if (i >= end) sent += tenant.sentSlots[slotIndex(i)];
  }
  tenant.meteredUntil = static_cast<double>(end) * meter_.slotLength();
  const double seconds = std::max(0.0, now - std::max(tenant.meteredUntil, tenant.createdAt)) / 1000;
  const double taken = othersTake(tenant, tenant.globalTokens + sent - plan.rate * seconds, seconds);
  for (long i = end; i <= tenant.slot; ++i)
    tenant.othersSlots[slotIndex(i)] = static_cast<float>(taken / static_cast<double>(tenant.slot - end + 1));
  tenant.globalTokens = std::clamp(tenant.globalTokens - taken, -debt(plan), plan.burst);
}

}  // namespace lilacmux::decision
