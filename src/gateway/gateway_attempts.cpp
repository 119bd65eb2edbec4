// The attempts of a request: sent to the server that its lane chose, ended, repeated within the budget.
#include <algorithm>
#include <cmath>

#include "gateway/gateway.hpp"
#include "gateway/gateway_parts.hpp"
#include "node/held_steps.hpp"

namespace lilacmux {
namespace {

namespace http = burlwind::http;
using namespace std::chrono_literals;
using burlwind::Answer;
using burlwind::AttemptEnd;
using burlwind::ClientMessage;
using burlwind::view;
using irisring::Outcome;
using irisring::Result;
using irisring::WorkerId;

constexpr auto kBudgetLook = 12ms;    // until a further try looks again for room in the budget
constexpr unsigned kBudgetLooks = 3;  // the control plane has answered by then

// From a gatekeeper these say that the request has not run and never will. A server that has not run one says
// so by X-Not-Executed, so where it answers with one of these alone nobody knows.
bool isPromise(http::status status) {
  return status == http::status::request_timeout || status == http::status::misdirected_request ||
         status == http::status::too_many_requests || status == http::status::service_unavailable;
}

}  // namespace

void Gateway::ended(AttemptEnd&& end) {
  Outcome& outcome = end.outcome;
  const RequestId id = outcome.id;
  const auto out = out_.find(id);
  if (out == out_.end()) return;
  const auto lane = std::move(out->second);
  out_.erase(out);
  const auto found = held_.find(id);
  outcome.finished = found == held_.end() || outcome.result == Result::ok;
  if (found != held_.end()) {
    Held& held = found->second;
    held.mayHaveRun = held.mayHaveRun || ranOf(outcome.result);
    const bool arrived = outcome.result != Result::connectFailed && outcome.result != Result::moot;
    if (arrived) ++held.sent;
    settle(held, arrived);
    if (held.streams) {
      outcome.finished = true;
      endStream(id, outcome.result == Result::ok);
    } else if (end.head && mayGoOn(held, end.head->status)) {
      Answer served;
      served.status = end.head->status;
      served.fields = std::move(end.head->fields);
      served.body = std::move(end.body);
      if (outcome.result == Result::ok)
        answer(id, std::move(served));
      else
        held.lastAnswer = std::move(served);
    } else if (outcome.result == Result::ok) {
      giveUp(id, kRetryAfter);
    }
    if (!outcome.finished && held_.contains(id) && held.sent >= held.route->maxAttempts) {
      outcome.finished = true;
      giveUp(id, kRetryAfter);
    }
    if (!outcome.finished && held_.contains(id) && !pays(held)) return awaitBudget(outcome, lane, 1);
  }
  lane->module().outcome(now(), outcome);
}

// Whether a server's answer, to a request that it may have run, can be told to the client as it is.
bool Gateway::mayGoOn(const Held& held, http::status status) {
  return held.route->type != RouteType::nonIdempotent || !isPromise(status);
}

// Whether a further try may go out, as far as the budget is concerned. One that follows tries of which none
// has arrived is the first, and so is none at all where the module must not repeat.
bool Gateway::pays(Held& held) {
  if (held.sent == 0 || held.further == Held::Further::paid) return true;
  if (held.mayHaveRun && held.route->type == RouteType::nonIdempotent) return true;
  const bool paid = retries_.ask(now(), *held.service, 0).admitted;
  hurry();
  if (paid) held.further = Held::Further::paid;
  return paid;
}

// A further try that has not arrived gives back what it was paid.
void Gateway::settle(Held& held, bool arrived) {
  if (held.further != Held::Further::out) return;
  retries_.ended(now(), *held.service, arrived);
  held.further = Held::Further::none;
}

// This gatekeeper's part of the budget is used up, and it has asked for more: the answer is some ms away. If
// there is none the request is given up.
void Gateway::awaitBudget(Outcome outcome, std::shared_ptr<Lane> lane, unsigned looks) {
  auto timer = std::make_unique<boost::asio::steady_timer>(io_, kBudgetLook);
  auto& pending = *timer;
  pending.async_wait([this, timer = std::move(timer), outcome, lane = std::move(lane),
                      looks](const burlwind::Error& error) mutable {
    if (error) return;
    const auto found = held_.find(outcome.id);
    if (found != held_.end() && !pays(found->second)) {
      if (looks < kBudgetLooks) return awaitBudget(outcome, std::move(lane), looks + 1);
      outcome.finished = true;
      giveUp(outcome.id, kRetryAfter);
    }
    outcome.finished = outcome.finished || found == held_.end();
    lane->module().outcome(now(), outcome);
  });
}

bool Gateway::begun(RequestId id, const burlwind::AnswerHead& head) {
  const auto found = held_.find(id);
  if (found != held_.end() && !mayGoOn(found->second, head.status)) return false;
  return burlwind::beginStream(held_, id, head);
}

void Gateway::piece(RequestId id, std::string&& bytes) { burlwind::passPiece(held_, id, std::move(bytes)); }

void Gateway::endStream(RequestId id, bool whole) {
  const auto found = held_.find(id);
  const auto asker = std::move(found->second.asker);
  release(found, true);
  whole ? asker->finish() : asker->breakOff();
}

// Once for all attempts. What concerns only the client's connection stays behind, and so does the key.
void Gateway::prepare(Held& held) {
  ClientMessage& message = held.message;
  held.attempt = view(message["X-Attempt-Id"]);
  http::request<http::empty_body> out(message.method(), message.target(), 11);
  if (message.method() == http::verb::unknown) out.method_string(message.method_string());
  for (const auto& field : message) {
    const auto name = field.name_string();
    const bool own = ofConnection(message, name) || burlwind::beast::iequals(name, "X-Api-Key") ||
                     burlwind::beast::iequals(name, "X-Tenant-Name") ||
                     burlwind::beast::iequals(name, "X-Expected-Instance") ||
                     burlwind::beast::iequals(name, "X-Deadline-Remaining-Ms");
    if (!own) out.insert(name, field.value());
  }
  if (!held.tenant.empty()) out.set("X-Tenant-Name", held.tenant);
  const bool bodiless = message.method() == http::verb::get && message.body().empty();
  if (!bodiless) out.set(http::field::content_length, std::to_string(message.body().size()));
  held.body = std::make_shared<const std::string>(std::move(message.body()));
  burlwind::append(held.head, out);
  held.head.resize(held.head.size() - 2);  // goes on with the attempt's own fields
  message = {};
}

void Gateway::send(Lane& lane, RequestId id, WorkerId server, Time timeout) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  Held& held = found->second;
  out_[id] = lane.shared_from_this();
  const unsigned attempt = held.attempts++;
  if (held.route->type != RouteType::download) return start(id, attempt, server, timeout);
  // Its answer comes at full speed from its begin on, so it begins when those before it are through.
  inwards_.enter([this, id, attempt, server, timeout] { start(id, attempt, server, timeout); });
}

void Gateway::start(RequestId id, unsigned attempt, WorkerId server, Time timeout) {
  const auto found = held_.find(id);
  const Time left = found == held_.end() ? 0 : found->second.expires - now();
  if (left <= 0 || !maySend())
    return burlwind::reportMoot(io_, id, attempt, server,
                                [this](AttemptEnd&& end) { ended(std::move(end)); });
  Held& held = found->second;
  if (held.further == Held::Further::paid) held.further = Held::Further::out;
  const bool early = timeout > 0 && timeout < left;
  if (!held.body) prepare(held);
  burlwind::Message message{held.head,
                            held.body,
                            static_cast<unsigned>(held.route->type),
                            held.attempt,
                            std::chrono::steady_clock::now() + span(left),
                            "X-Deadline-Remaining-Ms",
                            [this] { return maySend(); },
                            held.route->type != RouteType::nonIdempotent};
  message.head += "X-Expected-Instance: " + names_[server] + "\r\n";
  pool_.start(id, attempt, server, std::move(message), early ? std::optional(span(timeout)) : std::nullopt);
}

void Gateway::refuse(RequestId id, Time retryAfter) { giveUp(id, retryAfter); }

void Gateway::fail(RequestId id) { giveUp(id, kRetryAfter); }

void Gateway::setTimer(Lane& lane, Time wait, std::uint64_t tag) {
  auto timer = std::make_unique<boost::asio::steady_timer>(io_, span(wait));
  auto& pending = *timer;
  pending.async_wait(
      [this, timer = std::move(timer), lane = lane.shared_from_this(), tag](const burlwind::Error& error) {
        if (!error) lane->module().timer(now(), tag);
      });
}

}  // namespace lilacmux
