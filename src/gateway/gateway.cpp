#include "gateway/gateway.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "gateway/local_response.hpp"
#include "gateway/request_reader.hpp"
#include "metrics/exposition.hpp"
#include "net/steady.hpp"

namespace lilacmux {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kReservedDescriptors = 240;  // the test bench's and the program's own
constexpr std::size_t kPipelinedRequests = 16;     // of one client at once, beside the next
constexpr std::size_t kMinHeaderBytes = 256;
constexpr unsigned kOwnMemoryMb = 40;      // what the program itself takes
constexpr unsigned kMinMemoryMb = 8;       // for requests, however little there is
constexpr unsigned kMemoryParts = 3;       // one of them is for the bodies that are held
constexpr auto kAcceptAfterTerm = 2800ms;  // the platform notices within two missed checks, a second each
constexpr double kGraceReserve = 900;      // ms of the grace period that the last responses take to arrive

// Connections to servers: a third of the descriptors; the rest are for clients.
std::size_t serverConnections(const NodeSettings& settings) {
  return (settings.maxFileDescriptors - kReservedDescriptors) / 3;
}

std::chrono::milliseconds roundedMs(double ms) { return std::chrono::milliseconds(std::lround(ms)); }

ClientServer::Limits clientLimits(const NodeSettings& settings, const RequestLimits& limits, LinkGate& link) {
  ClientServer::Limits out;
  out.link = &link;
  out.connections = settings.maxFileDescriptors - kReservedDescriptors - serverConnections(settings);
  out.maxPipelined = kPipelinedRequests;
  out.idleFor = roundedMs(limits.idleTimeoutMs);
  out.wholeWithin = roundedMs(std::max(1.0, limits.headerTimeoutMs));
  out.maxHeader = std::max<std::size_t>(limits.headerBytes, kMinHeaderBytes);
  out.maxBody = limits.bodyBytes;
  return out;
}

UpstreamConnectionPool::Limits poolLimits(const NodeSettings& settings, LinkGate& link) {
  UpstreamConnectionPool::Limits out;
  out.link = &link;
  out.connectTimeout = 400ms;
  out.idleFor = 7000ms;
  out.total = serverConnections(settings);
  return out;
}

// Bytes for the bodies that are held.
std::size_t bodyBudget(const NodeSettings& settings) {
  const unsigned free = settings.memoryMb - std::min(settings.memoryMb, kOwnMemoryMb);
  return std::size_t{std::max(kMinMemoryMb, free)} * (1 << 20) / kMemoryParts;
}

const NodeSettings& validated(const NodeSettings& settings) {
  if (!settings.frontend) throw SettingsError("listeners.frontend", "is missing, the gateway role needs it");
  if (settings.seeds.empty()) throw SettingsError("seedNodes", "is empty");
  return settings;
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& io, const NodeSettings& settings, Log log)
    : io_(io),
      settings_(validated(settings)),
      log_(std::move(log)),
      budget_(bodyBudget(settings)),
      inboundLink_(io, settings.networkMbps),
      outboundLink_(io, settings.networkMbps),
      figures_({"idempotent", "non_idempotent", "download"}),
      random_(std::hash<std::string>{}(settings.name)),
      admission_(settings.bounds),
      dispatcher_({io, requests_, clusters_, admission_, control_, pool_, inboundLink_, outboundLink_,
                   random_, log_}),
      pool_(io, poolLimits(settings, inboundLink_), budget_, figures_, responseReader_, dispatcher_,
            [this](AttemptEnd&& end) { dispatcher_.attemptEnded(std::move(end)); }),
      server_(io, *settings.frontend, clientLimits(settings, {}, outboundLink_), budget_, figures_, *this),
      requests_(io, admission_, counters_),
      requestAdmission_(
          {io, admission_, control_, dispatcher_, inboundLink_, outboundLink_, random_, counters_}),
      control_(io, settings_, admission_, *this, log_),
      clusters_(settings_.zone, control_.state().instances(), control_.owners(), pool_, dispatcher_, random_,
                log_),
      status_({settings_, control_, clusters_, requests_, requestAdmission_, pool_, server_, inboundLink_,
               outboundLink_, figures_, counters_}),
      drainTimer_(io) {
  server_.listen();
  server_.start();
  operatorServer_.emplace(io_, *settings_.readiness, CallServer::Limits{},
                          [this](CallServer::Call&& call, const CallServer::Respond& respond) {
                            respond(respondToOperator(call));
                          });
  log_(seedsText(settings_));
  control_.start();
}

Gateway::~Gateway() = default;

CallReply Gateway::respondToOperator(const CallServer::Call& call) const {
  if (call.target() == "/api/status")
    return callReply(http::status::ok, status_.statusDocument(ready(), draining_), "application/json");
  if (call.target() == "/metrics")
    return callReply(http::status::ok, status_.metrics(ready()), Exposition::kType);
  const char* text = ready() ? "ready\n" : "not ready\n";
  if (call.target() != "/api/readiness") return callReply(http::status::not_found, text);
  return callReply(ready() ? http::status::ok : http::status::service_unavailable, text);
}

bool Gateway::ready() const {
  return !draining_ && control_.state().hasServerList() && control_.mayServe(steadyMs());
}

void Gateway::reload(const NodeSettings& settings) {
  control_.setSeeds(controlSeeds(settings));
  log_("settings reloaded; " + seedsText(settings));
}

// Goes on accepting until the platform has noticed, then answers what there is within the grace period.
void Gateway::drain(std::function<void()> done) {
  draining_ = true;
  server_.beginDrain();
  drainTimer_.expires_after(kAcceptAfterTerm);
  drainTimer_.async_wait([this, done = std::move(done)](const Error& error) {
    if (error) return;
    server_.stopAccepting();
    const double left = settings_.bounds.gracePeriodS * 1000 - kGraceReserve -
                        std::chrono::duration<double, std::milli>(kAcceptAfterTerm).count();
    drainTimer_.expires_after(toDuration(std::max(0.0, left)));
    drainTimer_.async_wait([this](const Error& late) {
      if (!late) giveUpAll();
    });
    server_.whenEmpty([this, done] { control_.detach(done); });
  });
}

void Gateway::giveUpAll() {
  requestAdmission_.rejectAll();
  dispatcher_.giveUpAll();
}

std::variant<Call, Rejection> Gateway::read(const ClientMessage& head) {
  return readRequestHead(head, control_.mayServe(steadyMs()) ? control_.routes().get() : nullptr);
}

void Gateway::take(RequestId id, const Call& call, ClientMessage&& message,
                   const std::shared_ptr<ResponseWriter>& writer) {
  requestAdmission_.take(id, call, std::move(message), writer);
}

void Gateway::left(RequestId id) {
  requestAdmission_.clientLeft(id);
  dispatcher_.clientLeft(id);
}

void Gateway::configurationChanging(const Configuration& configuration) {
  server_.limits(clientLimits(settings_, configuration.limits, outboundLink_));
}

}  // namespace lilacmux
