// A request from its head on until its last word: read, admitted by its tenant's token, and given up.
#include <algorithm>
#include <cmath>

#include "gateway/gateway.hpp"
#include "gateway/gateway_parts.hpp"

namespace lilacmux {
namespace {

namespace http = burlwind::http;
using burlwind::Answer;
using burlwind::Call;
using burlwind::ClientMessage;
using burlwind::Rejection;
using burlwind::view;
using irisring::Result;

constexpr double kWayBack = 12;  // ms kept for the way back to the client
constexpr double kNoLeaseRetryAfter = 500;
constexpr double kLeastTokenWait = 50;  // ms that a request waits for a token on its way

std::string_view pathOf(const ClientMessage& message) {
  const std::string_view target = view(message.target());
  return target.substr(0, target.find('?'));
}

// A request that names one of these twice means one thing to us and may mean another to a server.
bool onceEach(const ClientMessage& message) {
  for (const char* name : {"Host", "X-Api-Key", "X-Attempt-Id", "X-Deadline-Remaining-Ms"})
    if (burlwind::countOf(message, name) > 1) return false;
  return true;
}

// Whoever is refused within a quarter of its aim has time to come back. What the machine's own link holds a
// token up for is no sign that there is none, and comes on top.
double tokenWait(const Route& route) { return std::max(kLeastTokenWait, 0.22 * route.aimMs); }

}  // namespace

std::variant<Call, Rejection> Gateway::read(const ClientMessage& head) {
  constexpr auto bad = http::status::bad_request;
  if (!burlwind::plainFraming(head)) return Rejection{bad, "the body's length is not told plainly"};
  if (!onceEach(head)) return Rejection{bad, "a header is repeated"};
  if (head["X-Attempt-Id"].empty()) return Rejection{bad, "no X-Attempt-Id"};
  if (head.method() == http::verb::connect || head.method() == http::verb::head)
    return Rejection{http::status::not_implemented, "no such method here"};
  const std::string_view path = pathOf(head);
  if (path.empty() || path.front() != '/' || head[http::field::host].empty())
    return Rejection{bad, "no path or no host"};
  if (!mayServe()) return Call{};  // take() says when to come back
  const Route* route = table_->find(view(head[http::field::host]), path);
  if (!route) return Rejection{http::status::not_found, "no such route"};
  if (table_->needsKey(*route) && !table_->holder(view(head["X-Api-Key"])))
    return Rejection{http::status::unauthorized, "unknown key"};
  Call out;
  out.klass = static_cast<unsigned>(route->type);
  out.repeatable = route->type != RouteType::nonIdempotent;
  out.patience = route->timeoutMs;
  if (const auto told = burlwind::number<double>(view(head["X-Deadline-Remaining-Ms"])))
    out.patience = std::clamp(*told, 0.0, route->timeoutMs);
  return out;
}

void Gateway::take(RequestId id, const Call& call, ClientMessage&& message,
                   const std::shared_ptr<burlwind::Asker>& asker) {
  const Time at = now();
  const Route* route = nullptr;
  const Tenant* tenant = nullptr;
  if (mayServe()) route = table_->find(view(message[http::field::host]), pathOf(message));
  if (!route) {
    ++counts_.outOfTouch;
    Answer out = textAnswer(http::status::service_unavailable, "not in touch with the control plane");
    out.retryAfter = kNoLeaseRetryAfter;
    return asker->answer(std::move(out));
  }
  if (table_->configuration().hasTenants) tenant = table_->holder(view(message["X-Api-Key"]));
  Parked request{id,
                 at + std::max(0.0, call.patience - kWayBack),
                 std::move(message),
                 asker,
                 table_,
                 route,
                 tenant ? tenant->name : "",
                 0};
  // A version that came since the head was read may have taken the key away.
  if (!tenant && request.table->needsKey(*route))
    return request.asker->answer(textAnswer(http::status::unauthorized, "unknown key"));
  if (!tenant) return admit(std::move(request));
  const auto verdict = admission_.ask(at, tenant->name, chance());
  if (verdict.admitted) {
    ++counts_.atOnce;
    admit(std::move(request));
  } else if (verdict.onItsWay) {
    request.until = std::min(at + tokenWait(*route) + inwards_.queue() + outwards_.queue(), request.expires);
    parked_.push_back(std::move(request));
    sweepParked();
  } else {
    ++counts_.over;
    refuseQuota(request, verdict.wait);
  }
  hurry();
}

// Calls ahead of their time, by what is needed.
void Gateway::hurry() {
  const auto need = std::max(admission_.need(), retries_.need());
  if (need != Admission::Need::none)
    follower_->hurry(need == Admission::Need::waiting ? FollowPace::kWaitingGap : FollowPace::kLowGap);
}

void Gateway::refuseQuota(const Parked& request, Time wait) const {
  Answer out = textAnswer(http::status::too_many_requests, "over the quota");
  out.retryAfter = wait;
  request.asker->answer(std::move(out));
}

// Tokens may have come, or it is known that none will.
void Gateway::lookAtParked() {
  std::list<Parked> looked;
  looked.swap(parked_);
  while (!looked.empty()) {
    Parked& request = looked.front();
    const auto verdict = admission_.ask(now(), request.tenant, chance(), true);
    if (!verdict.admitted && verdict.onItsWay && now() < request.until) {
      parked_.splice(parked_.end(), looked, looked.begin());
      continue;
    }
    Parked out = std::move(request);
    looked.pop_front();
    ++(verdict.admitted ? counts_.waited : now() < out.until ? counts_.over : counts_.late);
    verdict.admitted ? admit(std::move(out)) : refuseQuota(out, verdict.wait);
  }
  hurry();
}

// No request waits for longer than it may, whoever is silent.
void Gateway::sweepParked() {
  if (parked_.empty()) return;
  const auto first = std::min_element(parked_.begin(), parked_.end(),
                                      [](const Parked& a, const Parked& b) { return a.until < b.until; });
  sweep_.expires_after(span(std::max(0.0, first->until - now())));
  sweep_.async_wait([this](const burlwind::Error& error) {
    if (error) return;
    for (auto it = parked_.begin(); it != parked_.end();) {
      if (it->until > now()) {
        ++it;
        continue;
      }
      const Parked late = std::move(*it);
      it = parked_.erase(it);
      ++counts_.late;
      refuseQuota(late, kRetryAfter);
    }
    sweepParked();
  });
}

void Gateway::admit(Parked&& in) {
  const Time at = now();
  const RequestId id = in.id;
  Held& held = held_.try_emplace(id, io_).first->second;
  held.table = std::move(in.table);
  held.route = in.route;
  held.tenant = std::move(in.tenant);
  held.kind = kinds_.of(*held.route);
  held.service = &RouteTable::pickService(*held.route, chance());
  held.lane = laneOf(*held.service, held.kind);
  requests_.count(*held.service);
  held.message = std::move(in.message);
  held.asker = std::move(in.asker);
  held.expires = in.expires;
  held.deadline.expires_after(span(held.expires - at));
  held.deadline.async_wait([this, id](const burlwind::Error& error) {
    if (!error) expire(id);
  });
  irisring::Request request;
  request.id = id;
  request.klass = held.kind;
  request.expires = held.expires;
  const auto lane = held.lane;
  lane->module().request(at, request);
}

void Gateway::left(RequestId id) {
  std::erase_if(parked_, [&](const Parked& request) { return request.id == id; });
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  const auto lane = found->second.lane;
  release(found, true);
  lane->module().clientLeft(now(), id);
  if (auto end = pool_.giveUp(id, Result::cancelled)) ended(std::move(*end));
}

// The time is up: an attempt that is out has timed out, and the answer goes out now.
void Gateway::expire(RequestId id) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  const auto lane = found->second.lane;
  if (auto end = pool_.giveUp(id, Result::timeout)) {
    found->second.mayHaveRun = found->second.mayHaveRun || ranOf(end->outcome.result);
    out_.erase(id);
    end->outcome.finished = false;
    lane->module().outcome(std::max(now(), found->second.expires), end->outcome);
  }
  if (held_.contains(id)) giveUp(id, kRetryAfter);
  lane->module().clientLeft(now(), id);
}

void Gateway::giveUpAll() {
  for (const Parked& request : std::exchange(parked_, {})) refuseQuota(request, kRetryAfter);
  while (!held_.empty()) {
    const RequestId id = held_.begin()->first;
    const auto lane = held_.begin()->second.lane;
    if (auto end = pool_.giveUp(id, Result::cancelled)) {
      held_.at(id).mayHaveRun = held_.at(id).mayHaveRun || ranOf(end->outcome.result);
      out_.erase(id);
      end->outcome.finished = true;
      lane->module().outcome(now(), end->outcome);
    }
    if (held_.contains(id)) giveUp(id, kRetryAfter);
    lane->module().clientLeft(now(), id);
  }
}

// 503 promises that the request has not run and never will; where that is not known, nothing is promised.
void Gateway::giveUp(RequestId id, Time retryAfter) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  Held& held = found->second;
  if (held.lastAnswer) return answer(id, std::move(*held.lastAnswer));
  if (held.mayHaveRun) {
    const bool late = now() >= held.expires;
    return answer(id, late ? textAnswer(http::status::gateway_timeout, "no answer in time")
                           : textAnswer(http::status::bad_gateway, "no whole answer"));
  }
  ++counts_.noServer;
  Answer out = textAnswer(http::status::service_unavailable, "no server could take it");
  out.retryAfter = retryAfter;
  answer(id, std::move(out));
}

void Gateway::answer(RequestId id, Answer answer) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  if (found->second.streams) return endStream(id, false);  // too late for another
  const auto asker = std::move(found->second.asker);
  const bool ran = found->second.mayHaveRun;
  release(found, ran);
  asker->answer(std::move(answer));
}

void Gateway::release(HeldMap::iterator held, bool ran) {
  if (held->second.further == Held::Further::paid) retries_.ended(now(), *held->second.service, false);
  settle(held->second, true);
  if (!held->second.tenant.empty()) admission_.ended(now(), held->second.tenant, ran);
  held_.erase(held);
}

}  // namespace lilacmux
