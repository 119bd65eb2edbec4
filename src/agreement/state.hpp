// The replicated state: the newest configuration, and what the primary must know of those before it.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace lilacmux {

struct State {
  std::uint64_t sequence = 0;  // of changes, over all epochs
  std::uint64_t revision = 0;
  std::shared_ptr<const std::string> body;             // as it was sent
  std::map<std::uint64_t, std::uint64_t> fingerprint;  // of each body taken, by revision
  std::set<std::string> holders;                       // gatekeepers that may have been lent shares of quotas
};

}  // namespace lilacmux
