#include "control/shares.hpp"

#include <algorithm>
#include <cmath>

namespace lilacmux {
namespace {

constexpr double kDoubt = 0.04;  // of the rate, over the gatekeepers: what each is held to ask for at least
constexpr double kStockS = 0.5;  // seconds of its demand that a gatekeeper's stock covers
constexpr double kStockRoots = 1.5;  // and so many roots of its demand, for chance
constexpr double kInStocks = 0.7;    // of the burst at most; the rest goes at once to whoever runs low
constexpr double kTakeBack = 0.5;    // tokens over what is wanted that stay where they are
constexpr double kRateBeyond =
    0.2;  // of the room beyond the limit that goes to the rate, the rest to the burst

}  // namespace

Quota QuotaRule::within(double ratePerS, double burst) const {
  const double limit = ratePerS * windowS + burst;
  const double beyond = (limit * overage + slack) * (1 - kept);
  const double rate = ratePerS + kRateBeyond * beyond / windowS;
  return {rate, limit + beyond - rate * windowS};
}

double ShareLedger::Ledger::out() const {
  double sum = 0;
  for (const auto& [name, holding] : holdings)
    sum += std::max(0.0, holding.stock) + std::max(0.0, holding.given);
  return sum;
}

std::size_t ShareLedger::gatekeepers(Millis now) const {
  return static_cast<std::size_t>(std::count_if(
      heard_.begin(), heard_.end(), [&](const auto& entry) { return now - entry.second < timing_.lease; }));
}

void ShareLedger::limits(Millis now, const std::map<std::string, Quota>& quotas) {
  advance(now);
  std::erase_if(ledgers_, [&](const auto& entry) { return !quotas.contains(entry.first); });
  for (const auto& [tenant, quota] : quotas) {
    Ledger& ledger = ledgers_[tenant];
    ledger.quota = quota;
    ledger.bucket = std::clamp(ledger.bucket, 0.0, std::max(0.0, quota.burst - ledger.out()));
  }
}

void ShareLedger::advance(Millis now) {
  for (auto& [tenant, ledger] : ledgers_) fill(ledger, now);
  std::erase_if(heard_, [&](const auto& entry) { return now - entry.second >= timing_.lease; });
  at_ = std::max(at_, now);
}

// The rate, less what gatekeepers that are silent may let in by themselves: that goes to their stocks as this
// ledger counts them.
void ShareLedger::fill(Ledger& ledger, Millis now) const {
  double rate = ledger.quota.rate;
  if (isQuiet(now)) {
    rate = 0;
    for (const auto& [name, holding] : ledger.holdings) rate += holding.rate;
    rate = std::min(rate, ledger.quota.rate);
  }
  double tokens = rate * std::max(0.0, now - at_) / 1000;
  for (auto& [name, holding] : ledger.holdings) {
    const Millis from = std::max(at_, holding.heardAt + timing_.reservedAfter);
    const Millis to = std::min(now, holding.heardAt + timing_.lease);
    if (to <= from) continue;
    const double reserved = std::max(holding.rate, holding.offered) * (to - from) / 1000;
    holding.stock += reserved;
    tokens -= reserved;
  }
  std::erase_if(ledger.holdings,
                [&](const auto& entry) { return now - entry.second.heardAt >= timing_.lease; });
  ledger.bucket = std::min(ledger.bucket + tokens, std::max(0.0, ledger.quota.burst - ledger.out()));
}

// What was on its way has come through, or never will: the gatekeeper takes in no answer but the newest.
void ShareLedger::hear(Ledger& ledger, Holding& mine, const Demand* demand, bool known) const {
  const bool confirmed = demand && demand->grant > 0 && demand->grant == mine.grant;
  if (known) {
    if (confirmed)
      mine.rate = mine.offered;
    else
      mine.rate = std::max(mine.rate, mine.offered);
    if (confirmed ? mine.given < 0 : mine.given > 0) ledger.bucket += std::abs(mine.given);
  } else {
    mine.rate = demand ? demand->rate : 0;
  }
  mine.given = 0;
  mine.stock = demand ? demand->stock : 0;
  mine.perS = demand ? demand->perS : 0;
  ledger.bucket = std::min(ledger.bucket, std::max(0.0, ledger.quota.burst - ledger.out()));
}

// Its part of the rate by its part of the demand, as far as others do not still hold it.
double ShareLedger::rateFor(const Ledger& ledger, const std::string& gatekeeper) const {
  const double least =
      kDoubt * ledger.quota.rate / static_cast<double>(std::max<std::size_t>(1, ledger.holdings.size()));
  double sum = 0, others = 0;
  for (const auto& [name, holding] : ledger.holdings) {
    sum += holding.perS + least;
    if (name != gatekeeper) others += std::max(holding.rate, holding.offered);
  }
  const double mine = ledger.quota.rate * (ledger.holdings.at(gatekeeper).perS + least) / std::max(sum, 1e-9);
  return std::clamp(mine, 0.0, std::max(0.0, ledger.quota.rate - others));
}

// Up to what its demand needs for a while; where all together want more than there may be out, up to its part
// of that; and of a bucket that is nearly empty no more than its part of the demand.
double ShareLedger::tokensFor(const Ledger& ledger, const Holding& mine) const {
  const auto want = [&](const Holding& h) {
    return timing_.leastStock + kStockS * h.perS + kStockRoots * std::sqrt(h.perS);
  };
  double wants = 0, demand = 0;
  for (const auto& [name, holding] : ledger.holdings) {
    wants += want(holding);
    demand += holding.perS;
  }
  const double part = kInStocks * ledger.quota.burst * want(mine) / std::max(wants, 1e-9);
  const double target = std::max(1.0, std::min(want(mine), part));
  const double missing = target - mine.stock;
  if (missing < 0) return missing < -kTakeBack ? missing : 0;
  const bool scarce = ledger.bucket < wants - ledger.out() && demand > ledger.quota.rate;
  const double most =
      scarce ? ledger.bucket * std::min(1.0, 2 * mine.perS / std::max(demand, 1e-9)) : ledger.bucket;
  return std::clamp(missing, 0.0, std::max(0.0, most));
}

std::vector<ShareLedger::Grant> ShareLedger::turn(Millis now, const std::string& gatekeeper,
                                                  const std::vector<Demand>& demands, std::uint64_t& grant) {
  advance(now);
  heard_[gatekeeper] = now;
  awaited_.erase(gatekeeper);
  grant = ++lastGrant_;
  std::map<std::string, const Demand*> told;
  for (const Demand& demand : demands) told[demand.tenant] = &demand;
  std::vector<Grant> out;
  for (auto& [tenant, ledger] : ledgers_) {
    const auto says = told.find(tenant);
    const auto [at, fresh] = ledger.holdings.try_emplace(gatekeeper);
    Holding& mine = at->second;
    hear(ledger, mine, says == told.end() ? nullptr : says->second, !fresh);
    mine.heardAt = now;
    mine.grant = grant;
    mine.offered = isQuiet(now) ? std::min(mine.rate, ledger.quota.rate) : rateFor(ledger, gatekeeper);
    mine.given = tokensFor(ledger, mine);
    if (mine.given > 0) ledger.bucket -= mine.given;
    out.push_back({tenant, mine.given, mine.offered});
  }
  return out;
}

}  // namespace lilacmux
