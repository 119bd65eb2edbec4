#include "quota/share_ledger.hpp"

#include <algorithm>
#include <utility>

#include "quota/grant_policy.hpp"

namespace lilacmux {

ShareLedger::ShareLedger(Refill refill, const ShareTiming& timing, Millis now,
                         std::set<std::string> unconfirmed, std::uint64_t firstGrant)
    : refill_(refill),
      timing_(timing),
      recoversUntil_(now + timing.lease),
      unconfirmed_(std::move(unconfirmed)),
      lastGrant_(firstGrant) {}

// --- Quotas and buckets

void ShareLedger::setQuotas(Millis now, const std::map<std::string, Quota>& quotas) {
  fillAll(now);
  std::erase_if(tables_, [&](const auto& entry) { return !quotas.contains(entry.first); });
  for (const auto& [tenant, quota] : quotas) setQuota(now, tenant, quota);
}

void ShareLedger::setQuota(Millis now, const std::string& tenant, const Quota& quota) {
  const auto [entry, isNew] = tables_.try_emplace(tenant);
  GrantTable& table = entry->second;
  if (isNew)
    table.filledTo = now;
  else
    fill(table, now);
  table.quota = quota;
  if (refill_ == Refill::byQuota) table.bucket = std::clamp(table.bucket, 0.0, table.room());
}

void ShareLedger::addTokens(Millis now, const std::string& tenant, double tokens) {
  const auto [entry, isNew] = tables_.try_emplace(tenant);
  GrantTable& table = entry->second;
  if (isNew) table.filledTo = now;
  fill(table, now);
  table.bucket += tokens;
}

void ShareLedger::fillAll(Millis now) {
  for (auto& [tenant, table] : tables_) fill(table, now);
}

void ShareLedger::fill(GrantTable& table, Millis now) {
  ++inspectedCount_;
  if (now <= table.filledTo) return;
  const double tokens = setAsideForUnresponsive(table, now, refillOf(table, now));
  table.filledTo = now;
  table.bucket += tokens;
  capBucket(table);
}

// Returns the tokens that accrued since the last refill. During the recovery period, only the reported rates
// count.
double ShareLedger::refillOf(const GrantTable& table, Millis now) const {
  if (refill_ != Refill::byQuota) return 0;
  const Millis recoveredAt =
      unconfirmed_.empty() ? table.filledTo : std::clamp(recoversUntil_, table.filledTo, now);
  return (std::min(table.sums.confirmedRate, table.quota.rate) * (recoveredAt - table.filledTo) +
          table.quota.rate * (now - recoveredAt)) /
         1000;
}

// Unresponsive holders may be using their granted rates. Adds the tokens for that to their reserves and
// returns `tokens` without them.
double ShareLedger::setAsideForUnresponsive(GrantTable& table, Millis now, double tokens) {
  forEachUnresponsive(table, now, [&](Holding& holding, Millis lastReport) {
    const Millis from = std::max(table.filledTo, lastReport + timing_.unresponsiveAfter);
    const Millis to = std::min(now, lastReport + timing_.lease);
    if (to <= from) return;
    const double used = holding.effectiveRate() * (to - from) / 1000;
    table.update(holding, [&] { holding.reserve += used; });
    tokens -= used;
  });
  return tokens;
}

void ShareLedger::capBucket(GrantTable& table) const {
  if (refill_ == Refill::byQuota) table.bucket = std::min(table.bucket, table.room());
}

// --- Holders

// Calls `visit(holding, lastReport)` for each holder that has not reported for more than `unresponsiveAfter`.
template <class Visit>
void ShareLedger::forEachUnresponsive(GrantTable& table, Millis now, Visit visit) {
  holders_.forEachOlder(now, timing_.unresponsiveAfter, [&](const std::string& holder, Millis lastReport) {
    const auto found = table.holdings.find(holder);
    if (found == table.holdings.end()) return;
    ++inspectedCount_;
    visit(found->second, lastReport);
  });
}

// Drops expired holders and records the report of a known holder. Tokens that it may have used while it was
// unresponsive are set aside first.
void ShareLedger::recordReport(Millis now, const std::string& holder) {
  while (const std::string* expired = holders_.expired(now, timing_.lease))
    dropHolder(now, std::string(*expired));
  if (!holders_.contains(holder)) return;
  if (now - holders_.lastReport(holder) > timing_.unresponsiveAfter) fillAll(now);
  holders_.reported(now, holder);
}

void ShareLedger::dropHolder(Millis now, const std::string& holder) {
  if (!holders_.contains(holder)) return;
  dropHoldings(now, holder, {});
  holders_.erase(holder);
}

void ShareLedger::dropHoldings(Millis now, const std::string& holder,
                               const std::set<std::string>& exceptTenants) {
  for (auto& [tenant, table] : tables_) {
    if (exceptTenants.contains(tenant)) continue;
    const auto found = table.holdings.find(holder);
    if (found == table.holdings.end()) continue;
    fill(table, now);
    table.erase(found);
  }
}

void ShareLedger::retireEarlierIncarnations(Millis now, const std::string& holder) {
  std::string& current = incarnations_[nameWithoutIncarnation(holder)];
  if (current == holder) return;
  current = holder;
  for (const std::string& earlier : holders_.otherIncarnations(holder)) dropHolder(now, earlier);
}

void ShareLedger::confirm(Millis now, const std::string& name) {
  if (!unconfirmed_.contains(name)) return;
  if (unconfirmed_.size() == 1) fillAll(now);  // the recovery period ends here
  unconfirmed_.erase(name);
}

bool ShareLedger::hasExpired(Millis now, const std::string& name) const {
  return !isRecovering(now) && !holders_.containsName(name);
}

std::size_t ShareLedger::holderCount(Millis now) const { return holders_.count(now, timing_.lease); }

// --- Reports

GrantReply ShareLedger::handleReport(Millis now, const std::string& holder,
                                     const std::vector<ShareDemand>& demands, bool isFull) {
  recordReport(now, holder);
  GrantReply reply;
  if (!holders_.contains(holder)) {
    if (!isFull) {
      reply.isHolderKnown = false;
      return reply;
    }
    holders_.reported(now, holder);
  }
  if (isFull) applyFullReport(now, holder, demands);
  reply.grantNumber = ++lastGrant_;
  for (const ShareDemand& demand : demands)
    reply.grants.push_back(grantFor(now, holder, demand, reply.grantNumber));
  return reply;
}

void ShareLedger::applyFullReport(Millis now, const std::string& holder,
                                  const std::vector<ShareDemand>& demands) {
  std::set<std::string> namedTenants;
  for (const ShareDemand& demand : demands) namedTenants.insert(demand.tenant);
  dropHoldings(now, holder, namedTenants);
  confirm(now, holder);
}

ShareGrant ShareLedger::grantFor(Millis now, const std::string& holder, const ShareDemand& demand,
                                 std::uint64_t grantNumber) {
  const auto found = tables_.find(demand.tenant);
  if (found == tables_.end()) return {demand.tenant, 0, 0, false};
  GrantTable& table = found->second;
  fill(table, now);
  const auto [entry, isNew] = table.holdings.try_emplace(holder);
  Holding& holding = entry->second;
  const bool isKnown = !isNew;
  table.update(holding, [&] {
    table.applyDemand(holding, demand, isKnown);
    holding.grantNumber = grantNumber;
  });
  capBucket(table);
  const double rate = roundedDownForWire(isRecovering(now) ? std::min(holding.confirmedRate, table.quota.rate)
                                                           : rateToGrant(table, holding));
  const double tokens = tokensToGrant(table, holding, refill_, timing_.wholeTokens);
  recordGrant(table, holding, rate, tokens);
  return {demand.tenant, tokens, rate, false};
}

void ShareLedger::recordGrant(GrantTable& table, Holding& holding, double rate, double tokens) {
  table.update(holding, [&] {
    holding.offeredRate = rate;
    // Waiting requests use their tokens at once, long before the holder reports it, so these tokens are
    // already counted as used.
    const double unserved = holding.unservedRequests();
    const double used = std::clamp(tokens, 0.0, unserved);
    holding.waitingRequests = unserved - used;
    holding.inTransit = tokens - used;
  });
  if (tokens > 0) table.bucket -= tokens;
}

void ShareLedger::release(Millis now, const std::string& holder,
                          const std::vector<ShareDemand>& finalReport) {
  recordReport(now, holder);
  if (!holders_.contains(holder)) return;
  std::set<std::string> retainedTenants;
  for (const ShareDemand& demand : finalReport)
    if (releaseHolding(now, holder, demand)) retainedTenants.insert(demand.tenant);
  if (retainedTenants.empty())
    dropHolder(now, holder);
  else
    dropHoldings(now, holder, retainedTenants);
}

// Returns whether the holder still has a reserve or a granted rate of this tenant.
bool ShareLedger::releaseHolding(Millis now, const std::string& holder, const ShareDemand& finalDemand) {
  const auto found = tables_.find(finalDemand.tenant);
  if (found == tables_.end()) return false;
  GrantTable& table = found->second;
  const auto entry = table.holdings.find(holder);
  if (entry == table.holdings.end()) return false;
  Holding& holding = entry->second;
  fill(table, now);
  const double reserveBefore = holding.reserve;
  table.update(holding, [&] {
    table.applyDemand(holding, finalDemand, true);
    holding.confirmedRate = finalDemand.grantedRate;
    holding.averageRequestRate = 0;
  });
  table.bucket +=
      std::clamp(finalDemand.returnedTokens, 0.0, std::max(0.0, reserveBefore - finalDemand.reserve));
  capBucket(table);
  return finalDemand.reserve > 0 || finalDemand.grantedRate > 0;
}

ShareLedger::Totals ShareLedger::totals(Millis now, const std::string& tenant) {
  const auto found = tables_.find(tenant);
  if (found == tables_.end()) return {};
  GrantTable& table = found->second;
  fill(table, now);
  Totals out;
  out.requestRate = table.sums.requestRate;
  out.reserve = table.bucket + table.sums.tokens;
  out.waitingRequests = table.sums.waitingRequests;
  out.grantedRate = table.sums.effectiveRate;
  out.bucket = table.bucket;
  out.requestedTokens = table.sums.requestedTokens;
  forEachUnresponsive(table, now, [&](const Holding& holding, Millis) {
    out.unresponsiveReserve += std::max(0.0, holding.reserve) + std::max(0.0, holding.inTransit);
    out.requestedTokens -= holding.requestedTokens;
    out.requestRate -= holding.requestRate;
    out.waitingRequests -= holding.waitingRequests;
  });
  return out;
}

}  // namespace lilacmux
