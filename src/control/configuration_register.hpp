// Decides whether to accept a change of the configuration. The configuration is a compare-and-swap register:
// a change is accepted if the revision that it is based on is the current one. Uses no socket, clock or disk.
//
// Rejections are final. A change that was answered `Conflict` or `Invalid` has never been accepted and never
// will be, even if a delayed copy of the request arrives later: revisions only rise, so the revision that it
// is based on cannot become current again. If the register cannot be certain of that, it returns
// `OutcomeUnknown`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "consensus/replicated_state.hpp"

namespace lilacmux {

struct ChangeRequest {
  std::string body;                // the new configuration, MessagePack
  std::uint64_t baseRevision = 0;  // revision that the change is based on; 0: no configuration exists yet
};

// The change is valid. It takes effect only once `next` has been proposed and committed.
struct Accept {
  ReplicatedState next;
};
// A change with an identical body has been accepted before.
struct AlreadyAccepted {};
// The change is based on a revision that is no longer current.
struct Conflict {
  std::uint64_t currentRevision = 0;
};
// The change is invalid whatever revision is current.
struct Invalid {
  std::string reason;
};
// The change may have been accepted before, or may be accepted later.
struct OutcomeUnknown {
  std::string reason;
};
using Verdict = std::variant<Accept, AlreadyAccepted, Conflict, Invalid, OutcomeUnknown>;

class ConfigurationRegister {
 public:
  // Covers the last 102 s at the peak rate of ten changes per second, and the last 105 minutes at 14,000
  // changes per day. Takes 40 KB.
  static constexpr std::size_t kDefaultCapacity = 1024;

  // `capacity`: number of accepted changes that are retained to recognise repeated requests; at least one.
  explicit ConfigurationRegister(std::size_t capacity = kDefaultCapacity) : capacity_(capacity) {}

  // Returns the verdict on `request`. `committed` must be the newest committed state.
  Verdict decide(const ReplicatedState& committed, ChangeRequest&& request) const;

 private:
  std::size_t capacity_;
};

}  // namespace lilacmux
