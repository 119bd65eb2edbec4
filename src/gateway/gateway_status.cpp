#include "gateway/gateway_status.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "consensus/epoch.hpp"
#include "metrics/exposition.hpp"
#include "net/json_text.hpp"
#include "net/steady.hpp"

namespace lilacmux {
namespace {

struct ServiceStatus {
  std::size_t listed = 0, draining = 0, avoided = 0;  // servers
};

std::map<std::string, ServiceStatus> serviceStatuses(const ControlClient& control,
                                                     const ClusterManager& clusters) {
  std::map<std::string, ServiceStatus> out;
  for (const auto& [id, instance] : control.state().instances()) {
    ++out[instance.service].listed;
    out[instance.service].draining += instance.draining;
  }
  for (const auto& [service, cluster] : clusters.clusters())
    if (cluster) out[service].avoided = cluster->poolView(steadyMs()).avoided;
  return out;
}

}  // namespace

std::string GatewayStatus::statusDocument(bool ready, bool draining) const {
  const ControlClient& control = sources_.control;
  const FollowerState& state = control.state();
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [name, status] : serviceStatuses(control, sources_.clusters))
    services[name] = {{"listed", status.listed}, {"draining", status.draining}, {"avoided", status.avoided}};
  const nlohmann::json out = {
      {"role", "gateway"},
      {"node", sources_.settings.name},
      {"zone", sources_.settings.zone},
      {"ready", ready},
      {"draining", draining},
      {"revision", control.revision()},
      {"lease_ms", state.remainingLease(steadyMs())},
      {"log", {{"epoch", epochText(state.epoch())}, {"place", state.position().index}}},
      {"gatekeepers", control.gatewayCount()},
      {"held", heldRequests()},
      {"services", services}};
  return toJsonText(out) + "\n";
}

std::string GatewayStatus::metrics(bool ready) const {
  Exposition out;
  addRequestCounters(out);
  addTokenCounters(out);
  addGauges(out, ready);
  addServerGauges(out);
  return out.text();
}

void GatewayStatus::addRequestCounters(Exposition& out) const {
  sources_.figures.each([&](const std::string& kind, auto good, auto refused, auto failed, auto attempts) {
    const std::string name = "lilacmux_requests_total", help = "Requests by how they ended";
    out.counter(name, help, static_cast<double>(good), {{"kind", kind}, {"end", "answered"}});
    out.counter(name, help, static_cast<double>(refused), {{"kind", kind}, {"end", "refused"}});
    out.counter(name, help, static_cast<double>(failed), {{"kind", kind}, {"end", "failed"}});
    out.counter("lilacmux_tries_total", "Requests written to a server", static_cast<double>(attempts),
                {{"kind", kind}});
  });
}

void GatewayStatus::addTokenCounters(Exposition& out) const {
  const GatewayCounters& counters = sources_.counters;
  const auto token = [&](const char* what, std::uint64_t count) {
    out.counter("lilacmux_tokens_total", "Requests by what came of the token of their tenant",
                static_cast<double>(count), {{"token", what}});
  };
  token("here", counters.tokenTaken);
  token("fetched", counters.tokenFetched);
  token("none", counters.tokenDenied);
  token("late", counters.tokenTimedOut);
  out.counter("lilacmux_out_of_touch_total", "Requests refused for want of the control plane's word",
              static_cast<double>(counters.withoutLease));
  out.counter("lilacmux_no_server_total", "Requests that no server could take",
              static_cast<double>(counters.withoutServer));
}

void GatewayStatus::addGauges(Exposition& out, bool ready) const {
  out.gauge("lilacmux_held", "Requests held now", static_cast<double>(heldRequests()));
  out.gauge("lilacmux_server_connections", "Connections to servers",
            static_cast<double>(sources_.pool.connections()));
  out.gauge("lilacmux_client_connections", "Connections of clients",
            static_cast<double>(sources_.server.connections()));
  for (const auto& [direction, link] :
       {std::pair{"in", &sources_.inboundLink}, std::pair{"out", &sources_.outboundLink}})
    out.gauge("lilacmux_link_queue_ms", "What stands in the machine's link, ms", link->queue(),
              {{"direction", direction}});
  out.gauge("lilacmux_lease_ms", "How long this one may still serve without a further word",
            sources_.control.state().remainingLease(steadyMs()));
  out.gauge("lilacmux_revision", "The configuration in force",
            static_cast<double>(sources_.control.revision()));
  out.gauge("lilacmux_ready", "Whether new clients are wanted", ready);
}

void GatewayStatus::addServerGauges(Exposition& out) const {
  for (const auto& [service, cluster] : sources_.clusters.clusters()) {
    if (!cluster) continue;
    const auto pool = cluster->poolView(steadyMs());
    out.gauge("lilacmux_servers", "Servers of a service, as listed", static_cast<double>(pool.listed),
              {{"service", service}});
    out.gauge("lilacmux_servers_avoided", "Servers that are sent to only where there is no other",
              static_cast<double>(pool.avoided), {{"service", service}});
  }
}

}  // namespace lilacmux
