// What a control node reports of itself to operators, and its two encodings: JSON for `lilacmux status`, and
// the Prometheus text format. It holds names and numbers alone: no key, and nothing of a configuration's
// body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "consensus/epoch_record.hpp"
#include "control/primary_role.hpp"

namespace lilacmux {

// A node's part in the core.
enum class CoreRole {
  failed,  // its disk cannot be written
  primary,
  backup,
  witness,
  observer
};

struct CoreStatus {
  CoreRole role = CoreRole::observer;
  bool isPrimary = false;
  bool hasLease = false;  // as the primary, now
  bool hasFailed = false;
  NodeId leader;  // empty: not known
  EpochRecord record;
  std::uint64_t revision = 0;  // of the configuration on disk
};

struct RelayStatus {
  std::size_t gatekeepers = 0;
  std::uint64_t revision = 0;
};

struct ControlStatus {
  std::string name;
  NodeId address;
  unsigned machineFailures = 0;                // that the core is to tolerate, by the settings
  std::optional<CoreStatus> core;              // none without a disk
  std::optional<PrimaryRole::Status> primary;  // while this node is the primary
  RelayStatus relay;
  // Since the start of the process.
  std::uint64_t requests = 0;  // of gatekeepers, relays and members
  std::uint64_t acknowledgedChanges = 0;
  std::uint64_t primacyCount = 0;
};

// One line of JSON, without the line end.
std::string statusJson(const ControlStatus& status);
// In the Prometheus text format; docs/operations/figures.md has the names.
std::string metricsText(const ControlStatus& status);

}  // namespace lilacmux
