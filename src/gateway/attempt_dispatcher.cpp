#include "gateway/attempt_dispatcher.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

#include "gateway/local_response.hpp"
#include "gateway/request_reader.hpp"
#include "gateway/upstream_request.hpp"
#include "net/steady.hpp"
#include "upstream/pending_requests.hpp"

namespace lilacmux {
namespace {

using namespace std::chrono_literals;

constexpr auto kRetryTokenCheck = 12ms;    // between two looks for a token of the retry budget
constexpr unsigned kRetryTokenChecks = 3;  // the control plane has answered by then

// From a gateway these statuses say that the request has not run and never will. A server that has not run a
// request says so by X-Not-Executed; where it responds with one of these alone nobody knows.
bool promisesNotExecuted(http::status status) {
  return status == http::status::request_timeout || status == http::status::misdirected_request ||
         status == http::status::too_many_requests || status == http::status::service_unavailable;
}

// Whether a server's response, to a request that it may have run, may reach the client as it is.
bool mayPassOn(const ActiveRequest& request, http::status status) {
  return request.route->type != RouteType::nonIdempotent || !promisesNotExecuted(status);
}

}  // namespace

void AttemptDispatcher::dispatch(RoutedRequest&& routed) {
  const Time now = steadyMs();
  const RequestId id = routed.id;
  ActiveRequest& request = context_.requests.add(std::move(routed));
  request.requestClass = context_.clusters.classOf(*request.route);
  request.service = &RouteTable::pickService(*request.route, context_.random.next());
  const bool isSharded = request.table->isSharded(*request.service);
  request.cluster = context_.clusters.clusterFor(*request.service, request.requestClass, isSharded);
  context_.admission.countRequest(*request.service);
  const std::optional<Key> key = isSharded ? shardKeyOf(request.message) : std::nullopt;
  if (key) context_.control.countKey(*request.service, *key);
  request.deadline.expires_after(toDuration(request.expires - now));
  request.deadline.async_wait([this, id](const Error& error) {
    if (!error) expire(id);
  });
  EngineRequest forEngine;
  forEngine.id = id;
  forEngine.classIndex = request.requestClass;
  forEngine.expiresAt = request.expires;
  const auto cluster = request.cluster;
  cluster->handleRequest(now, forEngine, key);
}

void AttemptDispatcher::clientLeft(RequestId id) {
  const ActiveRequest* request = context_.requests.find(id);
  if (!request) return;
  const auto cluster = request->cluster;
  context_.requests.remove(id, true);
  cluster->handleClientDisconnect(steadyMs(), id);
  if (auto end = context_.pool.giveUp(id, AttemptResult::cancelled)) attemptEnded(std::move(*end));
}

// An attempt that is in flight has timed out, and the client gets its response now.
void AttemptDispatcher::expire(RequestId id) {
  ActiveRequest* request = context_.requests.find(id);
  if (!request) return;
  const auto cluster = request->cluster;
  if (auto end = context_.pool.giveUp(id, AttemptResult::timeout)) {
    request->mayHaveRun = request->mayHaveRun || mayHaveRunAfter(end->outcome.result);
    inFlight_.erase(id);
    end->outcome.isRequestFinished = false;
    cluster->handleOutcome(std::max(steadyMs(), request->expires), end->outcome);
  }
  context_.requests.giveUp(id, kDefaultRetryAfter);
  cluster->handleClientDisconnect(steadyMs(), id);
}

void AttemptDispatcher::giveUpAll() {
  while (!context_.requests.empty()) {
    const RequestId id = context_.requests.first();
    ActiveRequest& request = *context_.requests.find(id);
    const auto cluster = request.cluster;
    if (auto end = context_.pool.giveUp(id, AttemptResult::cancelled)) {
      request.mayHaveRun = request.mayHaveRun || mayHaveRunAfter(end->outcome.result);
      inFlight_.erase(id);
      end->outcome.isRequestFinished = true;
      cluster->handleOutcome(steadyMs(), end->outcome);
    }
    context_.requests.giveUp(id, kDefaultRetryAfter);
    cluster->handleClientDisconnect(steadyMs(), id);
  }
}

// --- Attempts

void AttemptDispatcher::send(Cluster& cluster, RequestId id, ServerId server, Time timeout) {
  ActiveRequest* request = context_.requests.find(id);
  if (!request) return;
  inFlight_[id] = cluster.shared_from_this();
  const unsigned attempt = request->attempts++;
  if (request->route->type != RouteType::download) return startAttempt(id, attempt, server, timeout);
  // Its response comes at full speed from its beginning on, so it starts when those before it are through.
  context_.inboundLink.enter(
      [this, id, attempt, server, timeout] { startAttempt(id, attempt, server, timeout); });
}

void AttemptDispatcher::startAttempt(RequestId id, unsigned attempt, ServerId server, Time timeout) {
  ActiveRequest* request = context_.requests.find(id);
  const Time left = request ? request->expires - steadyMs() : 0;
  if (left <= 0 || !maySend())
    return reportSuperseded(context_.io, id, attempt, server,
                            [this](AttemptEnd&& end) { attemptEnded(std::move(end)); });
  if (request->retryToken == ActiveRequest::RetryToken::taken)
    request->retryToken = ActiveRequest::RetryToken::inFlight;
  if (!request->body) prepareUpstreamRequest(*request);
  UpstreamRequest message = upstreamMessage(*request, context_.clusters.instanceId(server), left);
  message.mayBeSent = [this] { return maySend(); };
  const bool hasOwnTimeout = timeout > 0 && timeout < left;
  context_.pool.start(id, attempt, server, std::move(message),
                      hasOwnTimeout ? std::optional(toDuration(timeout)) : std::nullopt);
}

// Whether what is sent now reaches its server while the lease holds: a request may have waited here since it
// was admitted, and waits behind what is queued on the machine's link.
bool AttemptDispatcher::maySend() const {
  return context_.control.mayServe(steadyMs() + context_.outboundLink.queue());
}

void AttemptDispatcher::attemptEnded(AttemptEnd&& end) {
  AttemptOutcome& outcome = end.outcome;
  const RequestId id = outcome.id;
  const auto flight = inFlight_.find(id);
  if (flight == inFlight_.end()) return;
  const auto cluster = std::move(flight->second);
  inFlight_.erase(flight);
  ActiveRequest* request = context_.requests.find(id);
  outcome.isRequestFinished = !request || outcome.result == AttemptResult::ok;
  if (request) {
    request->mayHaveRun = request->mayHaveRun || mayHaveRunAfter(outcome.result);
    const bool delivered = isDelivered(outcome.result);
    if (delivered) ++request->delivered;
    context_.requests.settleRetryToken(*request, delivered);
    takeResponse(*request, end);
    const auto isOpen = [&] { return !outcome.isRequestFinished && context_.requests.contains(id); };
    if (isOpen() && request->delivered >= request->route->maxAttempts) {
      outcome.isRequestFinished = true;
      context_.requests.giveUp(id, kDefaultRetryAfter);
    }
    if (isOpen() && !takeRetryToken(*request)) return awaitRetryToken(outcome, cluster, 1);
  }
  cluster->handleOutcome(steadyMs(), outcome);
}

// What the attempt brought goes to the client, or is kept for the case that no other succeeds.
void AttemptDispatcher::takeResponse(ActiveRequest& request, AttemptEnd& end) {
  AttemptOutcome& outcome = end.outcome;
  const bool succeeded = outcome.result == AttemptResult::ok;
  if (request.streams) {
    outcome.isRequestFinished = true;
    context_.requests.endStream(outcome.id, succeeded);
  } else if (end.head && mayPassOn(request, end.head->status)) {
    Response response;
    response.status = end.head->status;
    response.fields = std::move(end.head->fields);
    response.body = std::move(end.body);
    if (succeeded)
      context_.requests.respond(outcome.id, std::move(response));
    else
      request.lastFailure = std::move(response);
  } else if (succeeded) {
    context_.requests.giveUp(outcome.id, kDefaultRetryAfter);
  }
}

// --- Retry budget

// Whether a retry may be sent as far as the retry budget is concerned. An attempt that follows others of
// which none has reached a server is the first one, and so is none at all where the engine must not retry.
bool AttemptDispatcher::takeRetryToken(ActiveRequest& request) {
  if (request.delivered == 0 || request.retryToken == ActiveRequest::RetryToken::taken) return true;
  if (request.mayHaveRun && request.route->type == RouteType::nonIdempotent) return true;
  const bool taken = context_.admission.takeRetryToken(steadyMs(), *request.service);
  context_.control.requestTokensIfNeeded();
  if (taken) request.retryToken = ActiveRequest::RetryToken::taken;
  return taken;
}

// This gateway's part of the budget is used up, and it has asked for more: the response is some ms away. If
// there is none the request is given up.
void AttemptDispatcher::awaitRetryToken(AttemptOutcome outcome, std::shared_ptr<Cluster> cluster,
                                        unsigned check) {
  auto timer = std::make_unique<boost::asio::steady_timer>(context_.io, kRetryTokenCheck);
  auto& pending = *timer;
  pending.async_wait([this, timer = std::move(timer), outcome, cluster = std::move(cluster),
                      check](const Error& error) mutable {
    if (error) return;
    ActiveRequest* request = context_.requests.find(outcome.id);
    if (request && !takeRetryToken(*request)) {
      if (check < kRetryTokenChecks) return awaitRetryToken(outcome, std::move(cluster), check + 1);
      outcome.isRequestFinished = true;
      context_.requests.giveUp(outcome.id, kDefaultRetryAfter);
    }
    outcome.isRequestFinished = outcome.isRequestFinished || !request;
    cluster->handleOutcome(steadyMs(), outcome);
  });
}

// --- Streams, and what clusters ask for

bool AttemptDispatcher::begun(RequestId id, const ResponseHead& head) {
  const ActiveRequest* request = context_.requests.find(id);
  if (request && !mayPassOn(*request, head.status)) return false;
  return context_.requests.beginStream(id, head);
}

void AttemptDispatcher::piece(RequestId id, std::string&& bytes) {
  context_.requests.passPiece(id, std::move(bytes));
}

void AttemptDispatcher::reject(RequestId id, Time retryAfter) { context_.requests.giveUp(id, retryAfter); }

void AttemptDispatcher::fail(RequestId id) { context_.requests.giveUp(id, kDefaultRetryAfter); }

void AttemptDispatcher::setTimer(Cluster& cluster, Time wait, std::uint64_t tag) {
  auto timer = std::make_unique<boost::asio::steady_timer>(context_.io, toDuration(wait));
  auto& pending = *timer;
  pending.async_wait(
      [timer = std::move(timer), cluster = cluster.shared_from_this(), tag](const Error& error) {
        if (!error) cluster->handleTimer(steadyMs(), tag);
      });
}

}  // namespace lilacmux
