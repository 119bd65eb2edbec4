#include "control/operator_api.hpp"

#include <chrono>
#include <string_view>
#include <utility>

#include "metrics/exposition.hpp"
#include "net/steady.hpp"

namespace lilacmux {
namespace {

using namespace std::chrono_literals;

namespace http = boost::beast::http;

constexpr const char* kStatusPath = "/api/status";
constexpr const char* kMetricsPath = "/metrics";
constexpr const char* kReplacePath = "/api/Configuration.Replace";
constexpr const char* kDescribePath = "/api/Configuration.Describe";
constexpr const char* kBaseRevisionHeader = "X-Base-Revision";

constexpr const char* kRetryAfter = "0.2";  // seconds; an election takes a few of these intervals
constexpr const char* kJsonType = "application/json";
constexpr const char* kMessagePackType = "application/msgpack";

constexpr std::size_t kMaxConnections = 64;
constexpr std::size_t kMaxConfigurationBytes = 8 << 20;
constexpr auto kRequestTimeout = 10000ms;

CallReply errorReply(http::status status, const std::string& reason) {
  return callReply(status, reason + "\n");
}

// Returns a reply that asks the operator to resend the request unchanged.
CallReply retryLaterReply(const std::string& reason) {
  CallReply out = errorReply(http::status::service_unavailable, reason);
  out.set(http::field::retry_after, kRetryAfter);
  return out;
}

CallReply replyOf(const ChangeResult& result) {
  switch (result.outcome) {
    case ChangeOutcome::acknowledged:
      return callReply(http::status::ok, result.message + "\n");
    case ChangeOutcome::conflict:
      return errorReply(http::status::precondition_failed, result.message);
    case ChangeOutcome::invalid:
      return errorReply(http::status::bad_request, result.message);
    case ChangeOutcome::unavailable:
    case ChangeOutcome::notPrimary:
      break;
  }
  return retryLaterReply(result.message);
}

CoreRole roleOf(const Replica& replica, const NodeId& self) {
  if (replica.hasFailed()) return CoreRole::failed;
  if (replica.isPrimary()) return CoreRole::primary;
  if (!replica.isMember()) return CoreRole::observer;
  return replica.durable().record.isBackup(self) ? CoreRole::backup : CoreRole::witness;
}

CoreStatus coreStatus(const Replica& replica, const NodeId& self, Millis now) {
  const DurableState& durable = replica.durable();
  CoreStatus out;
  out.role = roleOf(replica, self);
  out.isPrimary = replica.isPrimary();
  out.hasLease = replica.hasLease(now);
  out.hasFailed = replica.hasFailed();
  out.leader = replica.knownPrimary();
  out.record = durable.record;
  out.revision = durable.state.revision;
  return out;
}

}  // namespace

OperatorApi::OperatorApi(NodeId self, const NodeSettings& settings, const Components& components)
    : self_(std::move(self)),
      name_(settings.name),
      address_(*settings.controlPlane),
      machineFailures_(settings.machineFailures),
      components_(components) {}

void OperatorApi::listen(boost::asio::io_context& io) {
  CallServer::Limits limits;
  limits.connections = kMaxConnections;
  limits.maxBody = kMaxConfigurationBytes;
  limits.wholeWithin = kRequestTimeout;
  server_.emplace(io, address_, limits, [this](HttpRequest&& request, const Respond& respond) {
    handle(std::move(request), respond);
  });
}

void OperatorApi::handle(HttpRequest&& request, const Respond& respond) {
  std::string_view target = view(request.target());
  const std::string path(cut(target, '?'));
  if (path == kStatusPath)
    return respond(callReply(http::status::ok, statusJson(status()) + "\n", kJsonType));
  if (path == kMetricsPath)
    return respond(callReply(http::status::ok, metricsText(status()), Exposition::kType));
  if (path == kReplacePath || path == kDescribePath)
    return handleConfiguration(path, std::move(request), respond);
  respond(errorReply(http::status::not_found, "no such call"));
}

void OperatorApi::handleConfiguration(const std::string& path, HttpRequest&& request,
                                      const Respond& respond) {
  const bool isReplace = path == kReplacePath;
  if (request.method() != (isReplace ? http::verb::post : http::verb::get))
    return respond(errorReply(http::status::method_not_allowed, "the call's method is another"));
  Replica* replica = components_.member.replica();
  if (!replica || !replica->hasLease(steadyMs())) return respond(redirectToPrimary(path));
  if (isReplace) return replaceConfiguration(std::move(request), *replica, respond);
  respond(describeConfiguration(*replica));
}

void OperatorApi::replaceConfiguration(HttpRequest&& request, Replica& replica, const Respond& respond) {
  const auto base = number<std::uint64_t>(view(request[kBaseRevisionHeader]));
  if (!base) return respond(errorReply(http::status::bad_request, "X-Base-Revision is not a number"));
  components_.configuration.submit(steadyMs(), replica, {std::move(request.body()), *base},
                                   [respond](const ChangeResult& result) { respond(replyOf(result)); });
}

CallReply OperatorApi::describeConfiguration(const Replica& replica) const {
  const ReplicatedState& state = replica.committed();
  if (!state.body) return errorReply(http::status::not_found, "no configuration yet");
  return callReply(http::status::ok, *state.body, kMessagePackType);
}

CallReply OperatorApi::redirectToPrimary(const std::string& path) const {
  const NodeId target = redirectTarget();
  if (target.empty() || target == self_) return retryLaterReply("no primary yet");
  // All control nodes listen for operators on the same port.
  const Endpoint listener(parseAddress(target, "leader").address(), address_.port());
  CallReply out = callReply(http::status::temporary_redirect, "the primary is elsewhere\n");
  out.set(http::field::location, "http://" + textOf(listener) + path);
  return out;
}

NodeId OperatorApi::redirectTarget() const {
  const Replica* replica = std::as_const(components_.member).replica();
  return replica ? replica->knownPrimary() : relayOrCoreCandidate();
}

// Returns the redirect target of a node without a replica: the first known relay, or else one of the core
// candidates in rotation. They know the primary. Empty if none is known.
NodeId OperatorApi::relayOrCoreCandidate() const {
  const auto& relays = components_.relay.knownRelays();
  if (!relays.empty()) return relays.front().address;
  const auto candidates = components_.discovery.coreCandidates();
  if (candidates.empty()) return {};
  return candidates[components_.internalApi.requestCount() % candidates.size()];
}

ControlStatus OperatorApi::status() const {
  const Millis now = steadyMs();
  const Replica* replica = std::as_const(components_.member).replica();
  ControlStatus out;
  out.name = name_;
  out.address = self_;
  out.machineFailures = machineFailures_;
  if (replica) out.core = coreStatus(*replica, self_, now);
  out.primary = components_.primary.status(now);
  out.relay = {components_.relay.gatewayCount(now), components_.relay.revision()};
  out.requests = components_.internalApi.requestCount();
  out.acknowledgedChanges = components_.configuration.acknowledgedCount();
  out.primacyCount = components_.primary.activationCount();
  return out;
}

}  // namespace lilacmux
