// Shares of the tenants' quotas, as one place lends them on. It keeps one bucket a tenant and hands the
// tokens out to holders, each of which has a stock, sized by its demand, and asks for more before it is
// empty, or for just the tokens that it needs now. Beside that each is lent a part of the tenant's rate,
// which it goes by only while it hears nothing. What is in the bucket, in all stocks, and what silent holders
// may go by never exceeds what the place has together, so the limit holds whoever is cut off; a stock and a
// lent rate end by themselves.
//
// At the primary the buckets fill by the quotas, and the holders are relays; at a relay they fill by what the
// primary hands out, and the holders are gatekeepers. A turn costs by the tenants that it names, whatever the
// number of holders and tenants: sums are kept, and a holder is looked at by itself only where it is silent.
// A state machine without a clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lilacmux {

// What may be let in of one tenant in all.
struct Quota {
  double rate = 0;   // requests a second
  double burst = 0;  // requests at once
};

// The most that the rule allows within its window, put into a rate and a burst.
struct QuotaRule {
  double windowS = 5;
  double overage = 0;
  double slack = 0;
  double kept = 0.35;  // of what the rule allows beyond the limit, not used
  Quota within(double ratePerS, double burst) const;
};

// What a holder says of one tenant, and what it is given. Both sides of the wire go by these.
struct ShareDemand {
  std::string tenant;
  double perS = 0;          // requests that came lately, let in or not
  double stock = 0;         // tokens that it holds, those that it has lent on included
  double rate = 0;          // its lent rate
  std::uint64_t grant = 0;  // the newest grant that it has taken in; 0: none
  double waiting = 0;       // requests that wait for a token now
  double want = 0;          // tokens that it is to have, by its demand; 0: none beside what waits
  double back = 0;          // tokens that it gives back as it leaves
};
struct ShareGrant {
  std::string tenant;
  double tokens = 0;  // to be added to the stock; below 0: to be given back
  double rate = 0;    // lent
  bool more = false;  // what it waits for may be there in a moment
};

// What of its holdings a holder tells: all of them; those that something came of since they were told; or of
// those alone the ones that need something at once.
enum class ShareTell { whole, changes, urgent };

// A holder's name may go on behind a `#` with the number of its life, since what a process has lent on
// outlives it. The name without that.
std::string plainName(const std::string& holder);

// Both ends go by these; ms.
struct ShareTiming {
  double lease = 4000;         // a stock and a lent rate end so long after the holder last asked
  double aloneAfter = 600;     // after it last asked, one that has heard nothing goes by its lent rate
  double reservedAfter = 450;  // and the ledger counts on that from here on
  double leastStock = 1;       // tokens that an idle holder is to have
  bool whole = false;          // stocks are whole tokens: what would be less than one is one, or none
  double leastHeld = 0;        // a stock that would be smaller than this is none
  double stockS = 0.25;        // seconds of its demand that its stock covers
  double stockRoots = 1;       // and so many roots of its demand, for chance
};

// What a holder with this demand is to have in its stock; 0: nothing beside what it needs at once.
double stockFor(const ShareTiming& timing, double perS);

class ShareLedger {
 public:
  using Millis = double;
  enum class Fills { byQuota, bySupply };

  // `awaited`: holders that may go by rates that the ledger before this one has lent. Until all of them have
  // been heard, or their leases have ended, only the rates of those that were fill the buckets. Grants are
  // numbered from `firstGrant` on, which no other ledger's numbers should be near.
  ShareLedger(Fills fills, const ShareTiming& timing, Millis now, std::set<std::string> awaited,
              std::uint64_t firstGrant)
      : fills_(fills),
        timing_(timing),
        quietUntil_(now + timing.lease),
        awaited_(std::move(awaited)),
        at_(now),
        lastGrant_(firstGrant) {}

  void limits(Millis now, const std::map<std::string, Quota>& quotas);
  void limit(Millis now, const std::string& tenant, const Quota& quota);
  // Where buckets fill by supply. Below 0: taken away, be it of what is lent on.
  void supply(Millis now, const std::string& tenant, double tokens);

  struct Turn {
    bool known = true;  // else it must tell of all that it holds before it is given anything
    std::uint64_t grant = 0;
    std::vector<ShareGrant> grants;  // a tenant asked for each
  };
  // One holder's turn. `whole`: it tells of all that it holds, and holds nothing of other tenants.
  Turn turn(Millis now, const std::string& holder, const std::vector<ShareDemand>& demands, bool whole);

  // A holder leaves in order: what it gives back is there for others at once, and what it still answers for
  // (`stock` and `rate` of a tenant, for those that it has lent on to and not heard) ends with its lease.
  void leave(Millis now, const std::string& holder, const std::vector<ShareDemand>& rest);

  // This life of a holder has heard all that its lives before have lent on: nothing is reserved for those.
  void succeed(Millis now, const std::string& holder);

  // All that was lent to this one by ledgers before this is told of here: it is awaited no longer.
  void settled(Millis now, const std::string& name);

  // All that this place and its holders have together of a tenant, and ask for.
  struct Sum {
    double perS = 0, stock = 0, waiting = 0;
    double lent = 0;    // of the rate, to holders
    double bucket = 0;  // of the stock, not lent on
    double wants = 0;   // of the holders, but for those that are silent
    double idle = 0;    // of the stock, what lies with those: it serves nobody here
  };
  Sum sum(Millis now, const std::string& tenant);

  std::size_t holders(Millis now) const;
  // Whether nobody of this name can have anything: none was heard for a lease's time.
  bool isGone(Millis now, const std::string& name) const;
  // Ledgers and holdings looked at so far: what the work grows with.
  std::uint64_t looks() const { return looks_; }

 private:
  struct Holding {
    double perS = 0;
    double stock = 0;
    double given = 0;  // on its way, until it is confirmed
    double rate = 0, offered = 0;
    double waiting = 0, want = 0;
    double usual = -1;  // its demand, over some seconds; below 0: not heard yet
    std::uint64_t grant = 0;
    double lent() const { return rate > offered ? rate : offered; }
  };
  struct Ledger {
    Quota quota;
    double bucket = 0;
    Millis at = 0;  // filled up to here
    std::unordered_map<std::string, Holding> holdings;
    // Over the holdings.
    double out = 0;  // in stocks and on the way
    double perS = 0, wants = 0, lent = 0, rates = 0, waiting = 0, usual = 0;
    double room() const { return quota.burst > out ? quota.burst - out : 0; }
  };
  bool isQuiet(Millis now) const { return !awaited_.empty() && now < quietUntil_; }
  void hear(Millis now, const std::string& holder);
  void drop(Millis now, const std::string& holder, const std::set<std::string>& but);
  void forget(Millis now, const std::string& holder);
  // Calls `look` with each holding of holders that were not heard for `reservedAfter`, and when they were.
  template <class Look>
  void eachSilent(Ledger& ledger, Millis now, Look look);
  void fillAll(Millis now);
  void fill(Ledger& ledger, Millis now);
  static void count(Ledger& ledger, const Holding& holding, int sign);
  void take(Ledger& ledger, Holding& mine, const ShareDemand& demand, bool known) const;
  double rateFor(const Ledger& ledger, const Holding& mine) const;
  double tokensFor(const Ledger& ledger, const Holding& mine) const;

  const Fills fills_;
  const ShareTiming timing_;
  const Millis quietUntil_;
  std::set<std::string> awaited_;
  Millis at_;
  std::unordered_map<std::string, Ledger> ledgers_;  // by tenant
  std::unordered_map<std::string, Millis> holders_;  // when each was heard last
  std::set<std::pair<Millis, std::string>> byAge_;   // the same, the longest silent first
  std::map<std::string, std::string> lives_;         // by plain name: the life that has succeeded
  std::uint64_t lastGrant_;
  std::uint64_t looks_ = 0;
};

}  // namespace lilacmux
