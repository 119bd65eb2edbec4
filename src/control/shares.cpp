#include "control/shares.hpp"

#include <algorithm>
#include <cmath>

namespace lilacmux {
namespace {

constexpr double kDoubt =
    0.04;                      // of the rate, over the gatekeepers: demand that each is held to have at least
constexpr double kNews = 0.5;  // weight of a new word on demand against the one before
constexpr double kLeastBurst = 1;

}  // namespace

Quota QuotaRule::within(double ratePerS, double burst) const {
  const double limit = ratePerS * windowS + burst;
  const double beyond = (limit * overage + slack) * (1 - kept);
  // A tenth of the room beyond goes to the rate, the rest to bursts.
  const double rate = ratePerS + 0.3 * beyond / windowS;
  return {rate, limit + beyond - rate * windowS};
}

Share ShareLedger::Holding::most() const {
  return {std::max(confirmed.rate, offered.rate), std::max(confirmed.burst, offered.burst)};
}

void ShareLedger::limits(std::map<std::string, Quota> quotas) {
  std::erase_if(ledgers_, [&](const auto& entry) { return !quotas.contains(entry.first); });
  for (auto& [tenant, quota] : quotas) ledgers_[tenant].quota = quota;
}

std::size_t ShareLedger::gatekeepers(Millis now) const {
  return static_cast<std::size_t>(
      std::count_if(seen_.begin(), seen_.end(), [&](const auto& entry) { return entry.second > now; }));
}

double ShareLedger::lent(Millis now, const std::string& tenant) const {
  const auto found = ledgers_.find(tenant);
  double sum = 0;
  if (found == ledgers_.end()) return 0;
  for (const auto& [name, holding] : found->second.holdings)
    if (holding.until > now) sum += holding.most().rate;
  return sum;
}

// Its demand, and of what demand leaves the part that chance needs: that goes with the root of the demand.
// Where all ask for more than there is, each gets by its demand.
Share ShareLedger::want(const Ledger& ledger, const std::string& gatekeeper) const {
  const double least =
      kDoubt * ledger.quota.rate / static_cast<double>(std::max<std::size_t>(1, ledger.holdings.size()));
  double sum = 0, roots = 0;
  const auto demand = [&](const Holding& holding) { return holding.perS + least; };
  for (const auto& [name, holding] : ledger.holdings) {
    sum += demand(holding);
    roots += std::sqrt(demand(holding));
  }
  const double mine = demand(ledger.holdings.at(gatekeeper)), root = std::sqrt(mine);
  const double rate = sum >= ledger.quota.rate ? ledger.quota.rate * mine / sum
                                               : mine + (ledger.quota.rate - sum) * root / roots;
  return {rate, ledger.quota.burst * root / roots};
}

Share ShareLedger::lend(Millis now, Ledger& ledger, const std::string& gatekeeper) const {
  Share out = want(ledger, gatekeeper);
  Share others;
  for (const auto& [name, holding] : ledger.holdings) {
    if (name == gatekeeper || holding.until <= now) continue;
    others.rate += holding.most().rate;
    others.burst += holding.most().burst;
  }
  out.rate = std::clamp(out.rate, 0.0, std::max(0.0, ledger.quota.rate - others.rate));
  out.burst = std::clamp(out.burst, 0.0, std::max(0.0, ledger.quota.burst - others.burst));
  return out;
}

std::vector<ShareLedger::Grant> ShareLedger::turn(Millis now, const std::string& gatekeeper,
                                                  const std::vector<Demand>& demands, std::uint64_t& grant) {
  seen_[gatekeeper] = now + lease_;
  std::erase_if(seen_, [&](const auto& entry) { return entry.second <= now; });
  grant = ++lastGrant_;
  std::map<std::string, const Demand*> told;
  for (const Demand& demand : demands) told[demand.tenant] = &demand;
  std::vector<Grant> out;
  for (auto& [tenant, ledger] : ledgers_) {
    std::erase_if(ledger.holdings,
                  [&](const auto& entry) { return entry.second.until <= now && entry.first != gatekeeper; });
    const auto says = told.find(tenant);
    const Demand* demand = says == told.end() ? nullptr : says->second;
    const auto [at, fresh] = ledger.holdings.try_emplace(gatekeeper);
    Holding& mine = at->second;
    const bool known = !fresh && mine.until > now;
    mine.perS += (known ? kNews : 1) * ((demand ? demand->perS : 0) - mine.perS);
    if (demand && demand->grant > 0 && demand->grant == mine.grant)
      mine.confirmed = mine.offered;
    else if (!known)
      mine.confirmed = demand ? demand->held : Share{};
    else
      mine.confirmed = mine.most();
    if (now < quietUntil_)
      mine.offered = {std::min(mine.confirmed.rate, ledger.quota.rate),
                      std::min(mine.confirmed.burst, ledger.quota.burst)};
    else
      mine.offered = lend(now, ledger, gatekeeper);
    mine.grant = grant;
    mine.until = now + lease_;
    out.push_back({tenant, mine.offered});
  }
  return out;
}

}  // namespace lilacmux
