// Status of a control node as reported to operators, with two encodings: JSON for `lilacmux status`, and the
// Prometheus text format. Contains names and numbers only: no API key, and nothing from the body of a
// configuration.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "consensus/epoch_record.hpp"
#include "control/primary_role.hpp"

namespace lilacmux {

// Role of a node in the core.
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
  bool hasLease = false;  // whether the primary's lease is valid now
  bool hasFailed = false;
  NodeId leader;  // empty: unknown
  EpochRecord record;
  std::uint64_t revision = 0;  // revision of the configuration on disk
};

struct RelayStatus {
  std::size_t gatewayCount = 0;
  std::uint64_t revision = 0;
};

struct ControlStatus {
  std::string name;
  NodeId address;
  unsigned machineFailures = 0;                // number that the core must tolerate, from the settings
  std::optional<CoreStatus> core;              // none if there is no replica
  std::optional<PrimaryRole::Status> primary;  // none unless this node is the primary
  RelayStatus relay;
  // Since the start of the process.
  std::uint64_t requests = 0;  // frames received from gateways, relays and members
  std::uint64_t acknowledgedChanges = 0;
  std::uint64_t primacyCount = 0;
};

// Returns one line of JSON without a newline.
std::string statusJson(const ControlStatus& status);
// Returns the metrics in the Prometheus text format; docs/operations/figures.md lists their names.
std::string metricsText(const ControlStatus& status);

}  // namespace lilacmux
