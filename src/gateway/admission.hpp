// Admission at one gatekeeper, at the front of the request's path: a token bucket a tenant, which holds the
// stock that the control plane has handed out, and the admit fraction that metered use feeds. A state machine
// without a clock; times are ms of the host's steady clock.
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "control/shares.hpp"

namespace lilacmux {

class Admission {
 public:
  using Millis = double;
  static constexpr std::size_t kTable = 4096;  // tenants held

  // Nothing: admitted, and a token is taken. Else the time after which there may be room. `chance` from 0 to
  // below 1. A tenant without a limit is always admitted.
  std::optional<Millis> ask(Millis now, const std::string& tenant, double chance);
  // An admitted request ended. Where it is known not to have run its token comes back.
  void ended(Millis now, const std::string& tenant, bool ran);
  // Whether some tenant's stock is so low that more should be asked for at once.
  bool isLow() const { return low_; }

  // The tenants that have a limit in the configuration in force; all others pass.
  void limited(const std::vector<std::string>& tenants);
  // What the control plane has answered to a call that was sent then.
  void take(Millis now, const ShareLedger::Grant& grant, Millis sentAt, std::uint64_t number);
  // What came of each tenant lately, for the control plane. Starts counting anew.
  std::vector<ShareLedger::Demand> demands(Millis now);

 private:
  struct Bucket {
    std::string tenant;
    double tokens = 0;      // the stock
    double rate = 0;        // lent, for when nothing is heard
    Millis sentAt = -1e18;  // of the call that was answered last
    std::uint64_t grant = 0;
    Millis at = 0;     // filled up to here
    double store = 0;  // estimate of the stock by what was seen answered
    double fraction = 1;
    double due = 0, used = 0;  // of the metered period: handed out, and admitted and seen answered
    Millis periodFrom = 0, readAt = 0;
    double asked = 0;  // since `askedFrom`
    Millis askedFrom = 0;
    double perS = 0;
  };
  Bucket& lookUp(Millis now, const std::string& tenant);
  void fill(Bucket& bucket, Millis now);
  void meter(Bucket& bucket, Millis now);

  const ShareLedger::Timing timing_;
  std::unordered_set<std::string> limited_;
  std::list<Bucket> table_;  // the most recently used last
  std::unordered_map<std::string, std::list<Bucket>::iterator> index_;
  bool low_ = false;
};

}  // namespace lilacmux
