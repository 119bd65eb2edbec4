// What a gateway reports to its operators: the status document and the metrics. Reads the other parts,
// changes nothing. The names of fields and metrics are those that operators and dashboards read.
#pragma once

#include <string>

#include "gateway/cluster_manager.hpp"
#include "gateway/control_client.hpp"
#include "gateway/gateway_counters.hpp"
#include "gateway/request_admission.hpp"
#include "gateway/request_table.hpp"
#include "http/client_server.hpp"
#include "http/request_counters.hpp"
#include "net/link_gate.hpp"
#include "settings/settings.hpp"
#include "upstream/connection_pool.hpp"

namespace lilacmux {

class Exposition;

class GatewayStatus {
 public:
  // Read, not owned; all of them must outlive this.
  struct Sources {
    const NodeSettings& settings;
    const ControlClient& control;
    const ClusterManager& clusters;
    const RequestTable& requests;
    const RequestAdmission& admission;
    const UpstreamConnectionPool& pool;
    const ClientServer& server;
    const LinkGate& inboundLink;
    const LinkGate& outboundLink;
    const RequestCounters& figures;
    const GatewayCounters& counters;
  };
  explicit GatewayStatus(const Sources& sources) : sources_(sources) {}

  // JSON for `lilacmux status`. Holds no API key.
  std::string statusDocument(bool ready, bool draining) const;
  // For Prometheus; what each metric means and which to alert on: docs/operations/figures.md.
  std::string metrics(bool ready) const;

 private:
  std::size_t heldRequests() const { return sources_.requests.size() + sources_.admission.pending(); }
  void addRequestCounters(Exposition& out) const;
  void addTokenCounters(Exposition& out) const;
  void addGauges(Exposition& out, bool ready) const;
  void addServerGauges(Exposition& out) const;

  const Sources sources_;
};

}  // namespace lilacmux
