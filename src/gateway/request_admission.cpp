#include "gateway/request_admission.hpp"

#include <algorithm>
#include <utility>

#include "gateway/local_response.hpp"
#include "gateway/request_reader.hpp"
#include "net/steady.hpp"

namespace lilacmux {
namespace {

constexpr Time kResponseTime = 12;           // ms kept for the response's way back to the client
constexpr Time kNoLeaseRetryAfter = 500;     // ms
constexpr Time kMinTokenWait = 50;           // ms that a request waits for a token on its way
constexpr double kTokenWaitOfTarget = 0.22;  // part of the latency target: less than the quarter of it within
                                             // which a rejected client has time to come back

void rejectOverQuota(const RoutedRequest& request, Time retryAfter) {
  request.writer->answer(textResponse(http::status::too_many_requests, "over the quota", retryAfter));
}

}  // namespace

void RequestAdmission::take(RequestId id, const Call& call, ClientMessage&& message,
                            const std::shared_ptr<ResponseWriter>& writer) {
  const Time now = steadyMs();
  const Route* route = nullptr;
  const auto& routes = context_.control.routes();
  if (context_.control.mayServe(steadyMs())) route = findRoute(message, *routes);
  if (!route) {
    ++context_.counters.withoutLease;
    return writer->answer(textResponse(http::status::service_unavailable,
                                       "not in touch with the control plane", kNoLeaseRetryAfter));
  }
  const Tenant* tenant = routes->configuration().hasTenants ? findTenant(message, *routes) : nullptr;
  // A version that came since the head was read may have taken the key away.
  if (!tenant && routes->needsKey(*route))
    return writer->answer(textResponse(http::status::unauthorized, "unknown key"));
  RoutedRequest request;
  request.id = id;
  request.expires = now + std::max(0.0, call.patience - kResponseTime);
  request.message = std::move(message);
  request.writer = writer;
  request.table = routes;
  request.route = route;
  if (!tenant) return context_.dispatcher.dispatch(std::move(request));
  request.tenant = tenant->name;
  admitByQuota(std::move(request), now);
}

void RequestAdmission::admitByQuota(RoutedRequest&& request, Time now) {
  const auto verdict = context_.admission.takeToken(now, request.tenant, context_.random.next());
  if (verdict.admitted) {
    ++context_.counters.tokenTaken;
    context_.dispatcher.dispatch(std::move(request));
  } else if (verdict.tokenExpected) {
    const Time until = std::min(now + tokenWait(*request.route), request.expires);
    pending_.push_back({std::move(request), until});
    scheduleExpiry();
  } else {
    ++context_.counters.tokenDenied;
    rejectOverQuota(request, verdict.retryAfter);
  }
  context_.control.requestTokensIfNeeded();
}

// What the machine's own link holds a token up for is no sign that there is none, and comes on top.
Time RequestAdmission::tokenWait(const Route& route) const {
  return std::max(kMinTokenWait, kTokenWaitOfTarget * route.latencyTargetMs) + context_.inboundLink.queue() +
         context_.outboundLink.queue();
}

void RequestAdmission::retryPending() {
  std::list<PendingRequest> checked;
  checked.swap(pending_);
  while (!checked.empty()) {
    PendingRequest& first = checked.front();
    const auto verdict =
        context_.admission.takeToken(steadyMs(), first.request.tenant, context_.random.next(), true);
    if (!verdict.admitted && verdict.tokenExpected && steadyMs() < first.until) {
      pending_.splice(pending_.end(), checked, checked.begin());
      continue;
    }
    PendingRequest decided = std::move(first);
    checked.pop_front();
    if (verdict.admitted) {
      ++context_.counters.tokenFetched;
      context_.dispatcher.dispatch(std::move(decided.request));
    } else {
      ++(steadyMs() < decided.until ? context_.counters.tokenDenied : context_.counters.tokenTimedOut);
      rejectOverQuota(decided.request, verdict.retryAfter);
    }
  }
  context_.control.requestTokensIfNeeded();
}

void RequestAdmission::clientLeft(RequestId id) {
  std::erase_if(pending_, [&](const PendingRequest& pending) { return pending.request.id == id; });
}

void RequestAdmission::rejectAll() {
  for (const PendingRequest& pending : std::exchange(pending_, {}))
    rejectOverQuota(pending.request, kDefaultRetryAfter);
}

// No request waits for longer than it may, also where the control plane is unresponsive.
void RequestAdmission::scheduleExpiry() {
  if (pending_.empty()) return;
  const auto first =
      std::min_element(pending_.begin(), pending_.end(),
                       [](const PendingRequest& a, const PendingRequest& b) { return a.until < b.until; });
  expiry_.expires_after(toDuration(std::max(0.0, first->until - steadyMs())));
  expiry_.async_wait([this](const Error& error) {
    if (error) return;
    rejectExpired();
    scheduleExpiry();
  });
}

void RequestAdmission::rejectExpired() {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (it->until > steadyMs()) {
      ++it;
      continue;
    }
    const PendingRequest expired = std::move(*it);
    it = pending_.erase(it);
    ++context_.counters.tokenTimedOut;
    rejectOverQuota(expired.request, kDefaultRetryAfter);
  }
}

}  // namespace lilacmux
