#include "quota/share_ledger.hpp"

#include <algorithm>
#include <cmath>

namespace lilacmux {
namespace {

constexpr double kEvenly = 0.4;    // of the rate: lent in even parts, whatever the demand; the rest by demand
constexpr double kUsualBy = 0.06;  // of each word on a demand that goes into the usual one
constexpr double kKeepRate =
    0.2;  // a lent rate that is right but for so much stays, so that all fit together
constexpr double kInStocks = 0.7;  // of the burst at most; the rest goes at once to whoever runs low
constexpr double kInOnes = 0.6;
constexpr double kTakeBack = 0.5;  // tokens over what is wanted that stay where they are
constexpr double kRateBeyond =
    0.2;                         // of the room beyond the limit that goes to the rate, the rest to the burst
constexpr double kGrain = 1000;  // tokens and rates are lent in thousandths: short on the wire, and exact

// Of what waits, what its own stock does not serve.
double unserved(double waiting, double stock) { return std::max(0.0, waiting - std::max(0.0, stock)); }

double grained(double value) { return std::floor(value * kGrain) / kGrain; }

}  // namespace

std::string plainName(const std::string& holder) { return holder.substr(0, holder.find('#')); }

Quota QuotaRule::within(double ratePerS, double burst) const {
  const double limit = ratePerS * windowS + burst;
  const double beyond = (limit * overage + slack) * (1 - kept);
  const double rate = ratePerS + kRateBeyond * beyond / windowS;
  return {rate, limit + beyond - rate * windowS};
}

double stockFor(const ShareTiming& timing, double perS) {
  const double all = timing.leastStock + timing.stockS * perS + timing.stockRoots * std::sqrt(perS);
  if (all < timing.leastHeld) return 0;
  return timing.whole ? std::max(1.0, all) : all;
}

// Adds a holding to its ledger's sums, or takes it out of them: around every change of it.
void ShareLedger::count(Ledger& ledger, const Holding& h, int sign) {
  ledger.out += sign * (std::max(0.0, h.stock) + std::max(0.0, h.given));
  ledger.perS += sign * h.perS;
  ledger.wants += sign * h.want;
  ledger.lent += sign * h.lent();
  ledger.rates += sign * h.rate;
  ledger.waiting += sign * h.waiting;
  ledger.usual += sign * std::max(0.0, h.usual);
}

std::size_t ShareLedger::holders(Millis now) const {
  std::size_t gone = 0;
  for (auto at = byAge_.begin(); at != byAge_.end() && now - at->first >= timing_.lease; ++at) ++gone;
  return holders_.size() - gone;
}

void ShareLedger::limits(Millis now, const std::map<std::string, Quota>& quotas) {
  fillAll(now);
  std::erase_if(ledgers_, [&](const auto& entry) { return !quotas.contains(entry.first); });
  for (const auto& [tenant, quota] : quotas) limit(now, tenant, quota);
}

void ShareLedger::limit(Millis now, const std::string& tenant, const Quota& quota) {
  const auto [at, fresh] = ledgers_.try_emplace(tenant);
  Ledger& ledger = at->second;
  if (fresh)
    ledger.at = now;
  else
    fill(ledger, now);
  ledger.quota = quota;
  if (fills_ == Fills::byQuota) ledger.bucket = std::clamp(ledger.bucket, 0.0, ledger.room());
}

void ShareLedger::supply(Millis now, const std::string& tenant, double tokens) {
  const auto [at, fresh] = ledgers_.try_emplace(tenant);
  if (fresh) at->second.at = now;
  fill(at->second, now);
  at->second.bucket += tokens;
}

void ShareLedger::fillAll(Millis now) {
  for (auto& [tenant, ledger] : ledgers_) fill(ledger, now);
}

template <class Look>
void ShareLedger::eachSilent(Ledger& ledger, Millis now, Look look) {
  for (const auto& [heardAt, name] : byAge_) {
    if (heardAt + timing_.reservedAfter >= now) break;
    const auto found = ledger.holdings.find(name);
    if (found == ledger.holdings.end()) continue;
    ++looks_;
    look(found->second, heardAt);
  }
}

// The rate, less what holders that are silent may let in by themselves: that goes to their stocks as this
// ledger counts them.
void ShareLedger::fill(Ledger& ledger, Millis now) {
  ++looks_;
  if (now <= ledger.at) return;
  double tokens = 0;
  if (fills_ == Fills::byQuota) {
    const Millis quietTo = awaited_.empty() ? ledger.at : std::clamp(quietUntil_, ledger.at, now);
    tokens = (std::min(ledger.rates, ledger.quota.rate) * (quietTo - ledger.at) +
              ledger.quota.rate * (now - quietTo)) /
             1000;
  }
  eachSilent(ledger, now, [&](Holding& silent, Millis heardAt) {
    const Millis from = std::max(ledger.at, heardAt + timing_.reservedAfter);
    const Millis to = std::min(now, heardAt + timing_.lease);
    if (to <= from) return;
    const double reserved = silent.lent() * (to - from) / 1000;
    count(ledger, silent, -1);
    silent.stock += reserved;
    count(ledger, silent, +1);
    tokens -= reserved;
  });
  ledger.at = now;
  ledger.bucket += tokens;
  if (fills_ == Fills::byQuota) ledger.bucket = std::min(ledger.bucket, ledger.room());
}

// All that it holds, but of these tenants.
void ShareLedger::drop(Millis now, const std::string& holder, const std::set<std::string>& but) {
  for (auto& [tenant, ledger] : ledgers_) {
    const auto found = but.contains(tenant) ? ledger.holdings.end() : ledger.holdings.find(holder);
    if (found == ledger.holdings.end()) continue;
    fill(ledger, now);
    count(ledger, found->second, -1);
    ledger.holdings.erase(found);
    if (ledger.holdings.empty())  // what rounding has left goes too
      ledger.out = ledger.perS = ledger.wants = ledger.lent = ledger.rates = ledger.waiting = ledger.usual =
          0;
  }
}

void ShareLedger::forget(Millis now, const std::string& holder) {
  const auto heard = holders_.find(holder);
  if (heard == holders_.end()) return;
  drop(now, holder, {});
  byAge_.erase({heard->second, holder});
  holders_.erase(heard);
}

void ShareLedger::succeed(Millis now, const std::string& holder) {
  const std::string name = plainName(holder);
  std::string& life = lives_[name];
  if (life == holder) return;
  life = holder;
  std::vector<std::string> before;
  for (const auto& [other, heardAt] : holders_)
    if (other != holder && plainName(other) == name) before.push_back(other);
  for (const std::string& other : before) forget(now, other);
}

// A holder that was silent for long enough to count for something is settled before it is heard again.
void ShareLedger::hear(Millis now, const std::string& holder) {
  while (!byAge_.empty() && now - byAge_.begin()->first >= timing_.lease) {
    forget(now, std::string(byAge_.begin()->second));
  }
  const auto found = holders_.find(holder);
  if (found == holders_.end()) return;
  if (now - found->second > timing_.reservedAfter) fillAll(now);
  byAge_.erase({found->second, holder});
  byAge_.insert({now, holder});
  found->second = now;
}

// What was on its way has come through, or never will: the holder takes in no answer but the newest.
void ShareLedger::take(Ledger& ledger, Holding& mine, const ShareDemand& demand, bool known) const {
  const bool confirmed = demand.grant > 0 && demand.grant == mine.grant;
  if (known) {
    // A relay may have lent on more than it is lent now, and says so.
    mine.rate = std::max(confirmed ? mine.offered : mine.lent(), demand.rate);
    if (confirmed ? mine.given < 0 : mine.given > 0) ledger.bucket += std::abs(mine.given);
  } else {
    mine.rate = demand.rate;
  }
  mine.given = 0;
  mine.offered = 0;
  mine.stock = demand.stock;
  mine.perS = demand.perS;
  mine.usual = mine.usual < 0 ? demand.perS : mine.usual + kUsualBy * (demand.perS - mine.usual);
  mine.waiting = demand.waiting;
  mine.want = demand.want;
}

// Its part of the rate, partly evenly and partly by what it usually asks for, as far as others do not still
// hold it.
double ShareLedger::rateFor(const Ledger& ledger, const Holding& mine) const {
  const double count = static_cast<double>(std::max<std::size_t>(1, ledger.holdings.size()));
  const double byDemand = ledger.usual > 0 ? std::max(0.0, mine.usual) / ledger.usual : 1 / count;
  const double part = ledger.quota.rate * (kEvenly / count + (1 - kEvenly) * byDemand);
  const double held = mine.lent();
  const double room = std::max(0.0, ledger.quota.rate - (ledger.lent - held));
  if (std::abs(part - held) <= kKeepRate * part && held <= room) return held;
  return std::clamp(part, 0.0, room);
}

// Up to what its demand needs for a while, and what waits there; where all together want more than there may
// be out, up to its part of that; and of a bucket that is nearly empty no more than its part of the demand.
double ShareLedger::tokensFor(const Ledger& ledger, const Holding& mine) const {
  const double most =
      fills_ == Fills::byQuota ? ledger.quota.burst : std::max(0.0, ledger.bucket + ledger.out);
  double target = std::min(mine.want, kInStocks * most * mine.want / std::max(ledger.wants, 1e-9));
  if (fills_ == Fills::byQuota) target = std::max(1.0, target);
  // Too few for one token each: they lie with those that came for them last, and a few stay for the others.
  if (timing_.whole && mine.want >= 1 && target < 1) {
    const double others = ledger.out - std::max(0.0, mine.stock);
    target = mine.stock >= 1 || others + 1 <= kInOnes * most ? 1 : 0;
  }
  const double missing = target + mine.waiting - mine.stock;
  if (missing < 0) return missing < -kTakeBack ? missing : 0;
  const double bucket = std::max(0.0, ledger.bucket);
  const bool scarce = bucket < ledger.wants + ledger.waiting - ledger.out && ledger.perS > ledger.quota.rate;
  const double part = scarce && target > 0 ? 2 * mine.perS / std::max(ledger.perS, 1e-9) : 1.0;
  double tokens = std::max(std::min(missing, bucket * std::min(1.0, part)),
                           std::min(unserved(mine.waiting, mine.stock), bucket));
  // Parts of a token would only lie about.
  if (timing_.whole)
    tokens = std::max(0.0, std::floor(mine.stock + tokens + 1e-9) - std::max(0.0, mine.stock));
  return grained(std::max(0.0, tokens));
}

void ShareLedger::leave(Millis now, const std::string& holder, const std::vector<ShareDemand>& rest) {
  hear(now, holder);
  if (!holders_.contains(holder)) return;
  std::set<std::string> kept;
  for (const ShareDemand& demand : rest) {
    const auto found = ledgers_.find(demand.tenant);
    if (found == ledgers_.end()) continue;
    Ledger& ledger = found->second;
    const auto mine = ledger.holdings.find(holder);
    if (mine == ledger.holdings.end()) continue;
    fill(ledger, now);
    count(ledger, mine->second, -1);
    const double held = mine->second.stock;
    take(ledger, mine->second, demand, true);
    mine->second.rate = demand.rate;
    mine->second.usual = 0;
    count(ledger, mine->second, +1);
    ledger.bucket += std::clamp(demand.back, 0.0, std::max(0.0, held - demand.stock));
    if (fills_ == Fills::byQuota) ledger.bucket = std::min(ledger.bucket, ledger.room());
    if (demand.stock > 0 || demand.rate > 0) kept.insert(demand.tenant);
  }
  kept.empty() ? forget(now, holder) : drop(now, holder, kept);
}

void ShareLedger::settled(Millis now, const std::string& name) {
  if (!awaited_.contains(name)) return;
  if (awaited_.size() == 1) fillAll(now);  // the quiet time ends here
  awaited_.erase(name);
}

bool ShareLedger::isGone(Millis now, const std::string& name) const {
  return !isQuiet(now) && std::none_of(holders_.begin(), holders_.end(),
                                       [&](const auto& entry) { return plainName(entry.first) == name; });
}

ShareLedger::Turn ShareLedger::turn(Millis now, const std::string& holder,
                                    const std::vector<ShareDemand>& demands, bool whole) {
  hear(now, holder);
  Turn out;
  if (!holders_.contains(holder)) {
    if (!whole) {
      out.known = false;
      return out;
    }
    holders_[holder] = now;
    byAge_.insert({now, holder});
  }
  if (whole) {
    std::set<std::string> named;
    for (const ShareDemand& demand : demands) named.insert(demand.tenant);
    drop(now, holder, named);
    settled(now, holder);
  }
  out.grant = ++lastGrant_;
  for (const ShareDemand& demand : demands) {
    const auto found = ledgers_.find(demand.tenant);
    if (found == ledgers_.end()) {
      out.grants.push_back({demand.tenant, 0, 0, false});
      continue;
    }
    Ledger& ledger = found->second;
    fill(ledger, now);
    const auto [at, fresh] = ledger.holdings.try_emplace(holder);
    Holding& mine = at->second;
    if (!fresh) count(ledger, mine, -1);
    take(ledger, mine, demand, !fresh);
    mine.grant = out.grant;
    count(ledger, mine, +1);
    if (fills_ == Fills::byQuota) ledger.bucket = std::min(ledger.bucket, ledger.room());
    const double offered =
        grained(isQuiet(now) ? std::min(mine.rate, ledger.quota.rate) : rateFor(ledger, mine));
    const double given = tokensFor(ledger, mine);
    count(ledger, mine, -1);
    mine.offered = offered;
    // What waits uses its tokens at once, long before that is told: they are gone from here on.
    const double lacks = unserved(mine.waiting, mine.stock);
    const double used = std::clamp(given, 0.0, lacks);
    mine.waiting = lacks - used;
    mine.given = given - used;
    count(ledger, mine, +1);
    if (given > 0) ledger.bucket -= given;
    out.grants.push_back({demand.tenant, given, offered, false});
  }
  return out;
}

ShareLedger::Sum ShareLedger::sum(Millis now, const std::string& tenant) {
  const auto found = ledgers_.find(tenant);
  if (found == ledgers_.end()) return {};
  Ledger& ledger = found->second;
  fill(ledger, now);
  Sum out{
      ledger.perS, ledger.bucket + ledger.out, ledger.waiting, ledger.lent, ledger.bucket, ledger.wants, 0};
  eachSilent(ledger, now, [&](const Holding& silent, Millis) {
    out.idle += std::max(0.0, silent.stock) + std::max(0.0, silent.given);
    out.wants -= silent.want;
    out.perS -= silent.perS;
    out.waiting -= silent.waiting;
  });
  return out;
}

}  // namespace lilacmux
