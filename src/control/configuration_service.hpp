// Queue of configuration changes at one control node, independent of their transport. Processes one change at
// a time: ConfigurationRegister decides on it, Replica commits it, and the submitter gets the result once the
// commit is known.
//
// Acknowledges or rejects a change only while the replica holds the lease of the primary. A change that was
// proposed but not committed when primacy was lost gets the result `unavailable`: it may still take effect.
//
// Not thread-safe. Callbacks run on the thread of the caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "consensus/replica.hpp"
#include "control/configuration_register.hpp"

namespace lilacmux {

enum class ChangeOutcome {
  acknowledged,
  conflict,     // rejected permanently: another revision is current
  invalid,      // rejected permanently
  unavailable,  // outcome unknown; the operator should resend the change unchanged, to any node
  notPrimary    // like `unavailable`, because another node is the primary
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::unavailable;
  std::string message;  // for the operator
};

class ConfigurationService {
 public:
  using Callback = std::function<void(const ChangeResult&)>;
  struct Limits {
    std::size_t queueLength = 64;
    Millis queueTimeout = 1000;  // operators retry at another node after a second without an answer
  };

  explicit ConfigurationService(ConfigurationRegister changes = ConfigurationRegister())
      : ConfigurationService(changes, Limits()) {}
  ConfigurationService(ConfigurationRegister changes, const Limits& limits)
      : register_(changes), limits_(limits) {}

  // Queues a change. Calls `callback` once, before `submit` returns or later; never if the service is
  // destroyed first.
  void submit(Millis now, Replica& replica, ChangeRequest&& request, Callback callback);
  // Decides on queued changes while the replica can propose, and expires those queued for `queueTimeout`. To
  // be called whenever the replica may have become able to propose, and regularly.
  void processQueue(Millis now, Replica& replica);

  // To be called when the replica reports these events to its ReplicaHost.
  void onCommitted();
  void onPrimacyLost();

  // Returns whether an operator's change has been proposed and is not committed yet.
  bool hasProposal() const { return proposal_.has_value(); }
  // Returns the number of changes that were committed and acknowledged since the start of the process.
  std::uint64_t acknowledgedCount() const { return acknowledgedCount_; }

 private:
  struct QueuedChange {
    ChangeRequest request;
    Callback callback;
    Millis queuedAt = 0;
  };

  void decide(Millis now, Replica& replica, QueuedChange&& change);
  void expireQueued(Millis now);

  const ConfigurationRegister register_;
  const Limits limits_;
  std::deque<QueuedChange> queue_;
  std::optional<Callback> proposal_;  // callback of the change that is proposed and not committed yet
  std::uint64_t acknowledgedCount_ = 0;
};

}  // namespace lilacmux
