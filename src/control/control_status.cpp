#include "control/control_status.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "metrics/exposition.hpp"
#include "net/json_text.hpp"

namespace lilacmux {
namespace {

// Returns how many members may fail while a quorum remains.
std::size_t toleratedLosses(const EpochRecord& record) {
  return (std::max<std::size_t>(1, record.members.size()) - 1) / 2;
}

const char* textOf(CoreRole role) {
  switch (role) {
    case CoreRole::failed:
      return "silent: its disk takes nothing";
    case CoreRole::primary:
      return "primary";
    case CoreRole::backup:
      return "backup";
    case CoreRole::witness:
      return "witness";
    case CoreRole::observer:
      break;
  }
  return "observer";
}

void addCore(nlohmann::json& out, const CoreStatus& core, unsigned machineFailures) {
  const EpochRecord& record = core.record;
  out["part"] = textOf(core.role);
  out["serves"] = core.hasLease;
  out["leader"] = core.leader;
  out["epoch"] = epochText(record.epoch);
  out["members"] = record.members;
  out["leaving"] = record.oldMembers;
  out["backups"] = record.backups;
  out["bears"] = toleratedLosses(record);
  out["toBear"] = machineFailures;
  out["revision"] = core.revision;
}

void addCore(Exposition& out, const CoreStatus& core, unsigned machineFailures) {
  const EpochRecord& record = core.record;
  out.gauge("lilacmux_primary", "Whether this one leads", core.isPrimary);
  out.gauge("lilacmux_serves", "Whether it may act as the primary now", core.hasLease);
  out.gauge("lilacmux_disk_failed", "Whether its disk takes nothing", core.hasFailed);
  out.gauge("lilacmux_members", "Members of the core", static_cast<double>(record.members.size()));
  out.gauge("lilacmux_backups", "Backups of the core", static_cast<double>(record.backups.size()));
  out.gauge("lilacmux_bears", "Losses that the members bear", static_cast<double>(toleratedLosses(record)));
  out.gauge("lilacmux_to_bear", "Losses that they are to bear", machineFailures);
  out.gauge("lilacmux_revision", "The newest configuration kept", static_cast<double>(core.revision));
}

void addOwnership(nlohmann::json& out, const OwnershipRole::Status& ownership) {
  if (ownership.ranges == 0) return;
  out["ownership"] = {
      {"ranges", ownership.ranges},           {"pendingHandovers", ownership.pendingHandovers},
      {"grants", ownership.counts.grants},    {"releases", ownership.counts.releases},
      {"lapses", ownership.counts.lapses},    {"rejected", ownership.counts.rejected},
      {"failures", ownership.counts.failures}};
}

void addPrimary(Exposition& out, const PrimaryRole::Status& primary) {
  out.gauge("lilacmux_relays", "Relays that ask the primary", static_cast<double>(primary.relays));
  const OwnershipRole::Status& ownership = primary.ownership;
  if (ownership.ranges == 0) return;
  const auto counter = [&](const char* name, const char* help, std::uint64_t value) {
    out.counter(name, help, static_cast<double>(value));
  };
  out.gauge("lilacmux_key_ranges", "Ranges of keys that are assigned", static_cast<double>(ownership.ranges));
  out.gauge("lilacmux_key_handovers_pending", "Ranges that an earlier server may still hold",
            static_cast<double>(ownership.pendingHandovers));
  counter("lilacmux_key_grants_total", "Grants of keys that were answered", ownership.counts.grants);
  counter("lilacmux_key_releases_total", "Releases of keys that were answered", ownership.counts.releases);
  counter("lilacmux_key_lapses_total", "Ranges that changed hands without a release",
          ownership.counts.lapses);
  counter("lilacmux_key_rejections_total", "Fences that a server refused", ownership.counts.rejected);
  counter("lilacmux_key_failures_total", "Grants and releases without an answer", ownership.counts.failures);
}

}  // namespace

std::string statusJson(const ControlStatus& status) {
  nlohmann::json out = {{"role", "control"}, {"node", status.name}, {"address", status.address}};
  if (!status.core) {
    out["part"] = "without a disk";
    return toJsonText(out);
  }
  addCore(out, *status.core, status.machineFailures);
  if (status.primary) {
    out["changes"] = {{"place", status.primary->logPosition}, {"revision", status.primary->revision}};
    out["relays"] = status.primary->relays;
    addOwnership(out, status.primary->ownership);
  }
  out["relay"] = {{"gatekeepers", status.relay.gatewayCount}, {"revision", status.relay.revision}};
  return toJsonText(out);
}

std::string metricsText(const ControlStatus& status) {
  Exposition out;
  out.counter("lilacmux_calls_total", "Calls of gatekeepers, relays and members",
              static_cast<double>(status.requests));
  out.counter("lilacmux_changes_total", "Configurations acknowledged here",
              static_cast<double>(status.acknowledgedChanges));
  out.counter("lilacmux_primary_total", "Times that this one became the primary",
              static_cast<double>(status.primacyCount));
  out.gauge("lilacmux_relay_gatekeepers", "Gatekeepers that ask here",
            static_cast<double>(status.relay.gatewayCount));
  if (status.core) addCore(out, *status.core, status.machineFailures);
  if (status.primary) addPrimary(out, *status.primary);
  return out.text();
}

}  // namespace lilacmux
