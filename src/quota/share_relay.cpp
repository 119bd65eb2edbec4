#include "quota/share_relay.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace lilacmux {
namespace {

constexpr double kDryFor = 50;             // ms after which the primary is asked again for what it had not
constexpr double kLow = 1;                 // tokens in the bucket under which more is asked for at once
constexpr double kLowS = 0.1;              // and seconds of demand
constexpr double kAloneBurst = 4;          // tokens that a lent rate alone saves up, and a second of it
constexpr double kTellBy = 0.05;           // of a rate: changes that are worth a word
constexpr std::uint64_t kLives = 1 << 24;  // grants that one ledger numbers

}  // namespace

ShareRelay::ShareRelay(const ShareTiming& above, const ShareTiming& below, Millis now,
                       std::uint64_t firstGrant)
    : above_(above), below_(below), firstGrant_(firstGrant) {
  begin(now);
}

void ShareRelay::begin(Millis now) {
  ledger_.emplace(ShareLedger::Fills::bySupply, below_, now, std::set<std::string>{}, firstGrant_);
}

// A bucket here has no limit of its own: it holds what it was given.
void ShareRelay::lendOn(Millis now, const std::string& tenant, double rate) {
  ledger_->limit(now, tenant, {rate, std::numeric_limits<double>::infinity()});
}

void ShareRelay::fillAlone(Millis now, const std::string& tenant) {
  Held& held = held_[tenant];
  const Millis from = std::max(held.filledTo, sentAt_ + above_.aloneAfter);
  const Millis to = std::min(now, leaseUntil_);
  if (to <= from) return;
  held.filledTo = to;
  const double room = kAloneBurst + held.rate - ledger_->sum(now, tenant).bucket;
  ledger_->supply(now, tenant, std::clamp(held.rate * (to - from) / 1000, 0.0, std::max(0.0, room)));
}

// Whether the bucket should be filled ahead of its time.
void ShareRelay::note(Millis now, const std::string& tenant) {
  changed_.insert(tenant);
  const Held& held = held_[tenant];
  const auto sum = ledger_->sum(now, tenant);
  if (now >= held.dryUntil && sum.bucket < kLow + kLowS * sum.perS) short_.insert(tenant);
}

ShareLedger::Turn ShareRelay::turn(Millis now, const std::string& gatekeeper,
                                   const std::vector<ShareDemand>& demands, bool whole) {
  for (const ShareDemand& demand : demands)
    if (held_.try_emplace(demand.tenant).second) lendOn(now, demand.tenant, 0);
  for (const ShareDemand& demand : demands) fillAlone(now, demand.tenant);
  auto out = ledger_->turn(now, gatekeeper, demands, whole);
  if (!out.known) return out;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const ShareDemand& demand = demands[i];
    note(now, demand.tenant);
    const bool lacks = demand.waiting > 0 && demand.stock + out.grants[i].tokens + 1e-6 < demand.waiting;
    out.grants[i].more = lacks && !isAlone(now) && now >= held_[demand.tenant].dryUntil;
  }
  return out;
}

void ShareRelay::leave(Millis now, const std::string& gatekeeper, const std::vector<ShareDemand>& rest) {
  ledger_->leave(now, gatekeeper, rest);
  for (const ShareDemand& demand : rest) changed_.insert(demand.tenant);
}

std::vector<ShareDemand> ShareRelay::leaving(Millis now) {
  std::vector<ShareDemand> out;
  for (const auto& [tenant, held] : held_) {
    const auto sum = ledger_->sum(now, tenant);
    const double bucket = std::max(0.0, sum.bucket);
    out.push_back({tenant, 0, std::max(0.0, sum.stock - bucket), sum.lent, held.grant, 0, 0, bucket});
  }
  return out;
}

std::vector<ShareDemand> ShareRelay::demands(Millis now, Tell what) {
  std::set<std::string> all;
  if (what == Tell::whole)
    for (const auto& [tenant, held] : held_) all.insert(tenant);
  std::set<std::string>& named = what == Tell::whole ? all : what == Tell::urgent ? short_ : changed_;
  if (what == Tell::changes) named.insert(short_.begin(), short_.end());
  std::vector<ShareDemand> out;
  for (const std::string& tenant : named) {
    Held& held = held_[tenant];
    const auto sum = ledger_->sum(now, tenant);
    held.out = true;
    // What waits is asked for beside the stock, as far as it is not here.
    held.asksFor = std::max(0.0, sum.waiting - std::max(0.0, sum.bucket));
    out.push_back({tenant, std::max(0.0, sum.perS), sum.stock, std::max(held.rate, sum.lent), held.grant,
                   held.asksFor, sum.wants + sum.idle + stockFor(above_, std::max(0.0, sum.perS))});
  }
  if (what == Tell::urgent)
    for (const std::string& tenant : short_) changed_.erase(tenant);
  else
    changed_.clear();
  short_.clear();
  return out;
}

// What it was lent had ended: so had all that it lent on, and everybody tells anew.
void ShareRelay::heard(Millis now, Millis sentAt, Millis leaseUntil) {
  if (isAlone(now))
    for (auto& [tenant, held] : held_) fillAlone(now, tenant);
  if (now >= leaseUntil_ && leaseUntil_ > 0) {
    firstGrant_ += kLives;
    begin(now);
    for (auto& [tenant, held] : held_) {
      held = {};
      lendOn(now, tenant, 0);
    }
  }
  sentAt_ = sentAt;
  leaseUntil_ = leaseUntil;
}

void ShareRelay::take(Millis now, const ShareGrant& grant, std::uint64_t number) {
  Held& held = held_[grant.tenant];
  held.out = false;
  held.grant = number;
  if (grant.tokens != 0 || std::abs(grant.rate - held.rate) > kTellBy * held.rate)
    changed_.insert(grant.tenant);
  held.rate = grant.rate;
  lendOn(now, grant.tenant, grant.rate);
  ledger_->supply(now, grant.tenant, grant.tokens);
  if (held.asksFor > 0 && grant.tokens < held.asksFor - 0.01) held.dryUntil = now + kDryFor;
}

void ShareRelay::lost() {
  for (auto& [tenant, held] : held_)
    if (std::exchange(held.out, false)) changed_.insert(tenant);
}

}  // namespace lilacmux
