// Admission at one gatekeeper, at the front of the request's path: a token bucket a tenant, of the size of
// the share that the control plane has lent, and the admit fraction that metered use feeds. A state machine
// without a clock; times are ms of the host's steady clock.
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
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

  // The tenants that have a limit in the configuration in force; all others pass.
  void limited(const std::vector<std::string>& tenants);
  // A share, good until then; after that the tenant has none.
  void lend(Millis now, const std::string& tenant, const Share& share, Millis until, std::uint64_t grant);
  // What came of each tenant lately, for the control plane. Starts counting anew.
  std::vector<ShareLedger::Demand> demands(Millis now);

  std::size_t tenantsHeld() const { return index_.size(); }

 private:
  struct Bucket {
    std::string tenant;
    Share share;
    Millis until = -1;  // the share's end
    std::uint64_t grant = 0;
    Millis at = 0;  // filled up to here
    double tokens = 0;
    double store = 0;  // estimate of what the share leaves, by what was seen answered
    double fraction = 1;
    double used = 0;  // of the metered period: admitted here and seen answered
    Millis periodFrom = 0;
    Millis readAt = 0;
    double asked = 0;  // since the last word to the control plane
    Millis askedFrom = 0;
  };
  Bucket& lookUp(Millis now, const std::string& tenant);
  void fill(Bucket& bucket, Millis now);
  void meter(Bucket& bucket, Millis now);

  std::unordered_map<std::string, bool> limited_;
  std::list<Bucket> table_;  // the most recently used last
  std::unordered_map<std::string, std::list<Bucket>::iterator> index_;
};

}  // namespace lilacmux
