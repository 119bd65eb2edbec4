// A request on its way: from its client to the decision engine, its attempts, and its response or stream.
#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "gatekeeper/gatekeeper.hpp"
#include "upstream/pending_requests.hpp"

namespace lilacmux {
namespace {

constexpr Time kWayBack =
    10;  // ms kept for the way back; measured within the program: 0.4 at the 99th percentile

std::chrono::steady_clock::duration span(Time ms) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

// Makes what goes on of a client's request, once for all attempts. What concerns only the client's connection
// stays behind.
void prepare(ClientMessage& message, std::string& head, std::shared_ptr<const std::string>& body) {
  for (const auto field : {http::field::connection, http::field::keep_alive, http::field::te,
                           http::field::trailer, http::field::transfer_encoding, http::field::upgrade,
                           http::field::expect, http::field::proxy_connection})
    message.erase(field);
  message.erase("Req-Deadline-Ms");
  message.version(11);
  if (message.method() != http::verb::get) message.content_length(message.body().size());
  body = std::make_shared<const std::string>(std::move(message.body()));
  append(head, http::request<http::empty_body>(std::move(message.base())));
  head.resize(head.size() - 2);  // goes on with the deadline
}

}  // namespace

std::variant<Call, Rejection> Gatekeeper::read(const ClientMessage& head) {
  auto out = readCall(head, config_);
  if (const auto* call = std::get_if<Call>(&out); call && openClientIds_.contains(call->id))
    return Rejection{http::status::conflict, "a request of this Req-Id is open"};
  return out;
}

void Gatekeeper::take(RequestId id, const Call& call, ClientMessage&& message,
                      const std::shared_ptr<ResponseWriter>& writer) {
  const Time now = clock_.now();
  PendingRequest& pending = pending_.try_emplace(id, io_).first->second;
  pending.clientId = call.id;
  pending.klass = call.klass;
  openClientIds_.insert(call.id);
  pending.message = std::move(message);
  pending.writer = writer;
  pending.expires = now + std::max(0.0, call.patience - kWayBack);
  pending.deadline.expires_after(span(pending.expires - now));
  pending.deadline.async_wait([this, id](const Error& error) {
    if (!error) expire(id);
  });
  engine_.handleRequest(
      now, {id, call.klass, call.plan, call.customer, pending.expires, call.units, call.setSize, call.first});
}

void Gatekeeper::left(RequestId id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  release(found);
  engine_.handleClientDisconnect(clock_.now(), id);
  if (auto end = pool_.giveUp(id, AttemptResult::cancelled)) ended(std::move(*end));
}

// The deadline: an attempt that is out has timed out. The response goes out now, whatever the decision engine
// says.
void Gatekeeper::expire(RequestId id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  if (auto end = pool_.giveUp(id, AttemptResult::timeout)) {
    end->outcome.isRequestFinished = false;
    engine_.handleOutcome(std::max(clock_.now(), found->second.expires), end->outcome);
  }
  if (!pending_.contains(id)) return;
  fail(id);
  engine_.handleClientDisconnect(clock_.now(), id);
}

void Gatekeeper::giveUpAll() {
  while (!pending_.empty()) {
    const RequestId id = pending_.begin()->first;
    fail(id);
    engine_.handleClientDisconnect(clock_.now(), id);
    if (auto end = pool_.giveUp(id, AttemptResult::cancelled)) ended(std::move(*end));
  }
}

void Gatekeeper::ended(AttemptEnd&& end) {
  AttemptOutcome& outcome = end.outcome;
  const bool mine = pending_.contains(outcome.id);
  outcome.isRequestFinished = !mine || outcome.result == AttemptResult::ok;
  if (mine && pending_.at(outcome.id).streams) {
    outcome.isRequestFinished = true;
    endStream(outcome.id, outcome.result == AttemptResult::ok);
  } else if (mine && outcome.result == AttemptResult::ok) {
    Response served;
    served.body = std::move(end.body);
    served.fields = std::move(end.head->fields);
    answer(outcome.id, std::move(served));
  }
  engine_.handleOutcome(clock_.now(), outcome);
}

bool Gatekeeper::begun(RequestId id, const ResponseHead& head) { return beginStream(pending_, id, head); }

void Gatekeeper::piece(RequestId id, std::string&& bytes) { forwardPiece(pending_, id, std::move(bytes)); }

void Gatekeeper::endStream(RequestId id, bool whole) {
  const auto found = pending_.find(id);
  const auto writer = std::move(found->second.writer);
  release(found);
  whole ? writer->finish() : writer->abortStream();
}

// Actions of the decision engine. They are called from within an event, so none of them feeds it another.

void Gatekeeper::send(RequestId id, ServerId server, Time timeout) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  PendingRequest& pending = found->second;
  const Time left = pending.expires - clock_.now();
  if (left <= 0)
    return reportSuperseded(io_, id, pending.attempts++, server,
                            [this](AttemptEnd&& end) { ended(std::move(end)); });
  const bool early = timeout > 0 && timeout < left;
  const Time wait = early ? timeout : left;
  if (!pending.body) prepare(pending.message, pending.head, pending.body);
  UpstreamRequest message{pending.head, pending.body, pending.klass};
  message.head +=
      "Req-Deadline-Ms: " + std::to_string(std::max(1L, std::lround(std::floor(wait)))) + "\r\n\r\n";
  pool_.start(id, pending.attempts++, server, std::move(message),
              early ? std::optional(span(timeout)) : std::nullopt);
}

void Gatekeeper::reject(RequestId id, Time retryAfter) {
  Response refusal;
  refusal.status = http::status::too_many_requests;
  refusal.body = "refused: try again later\n";
  refusal.fields = plainText();
  refusal.retryAfter = retryAfter;
  answer(id, std::move(refusal));
}

void Gatekeeper::fail(RequestId id) {
  Response failure;
  failure.status = http::status::bad_gateway;
  failure.body = "failed\n";
  failure.fields = plainText();
  answer(id, std::move(failure));
}

void Gatekeeper::setTimer(Time wait, std::uint64_t tag) {
  auto timer = std::make_unique<asio::steady_timer>(io_, span(wait));
  auto& pending = *timer;
  pending.async_wait([this, timer = std::move(timer), tag](const Error& error) {
    if (!error) engine_.handleTimer(clock_.now(), tag);
  });
}

// The final response. What comes later for this request finds nothing.
void Gatekeeper::answer(RequestId id, Response&& answer) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  if (found->second.streams) return endStream(id, false);  // too late for another
  const auto writer = std::move(found->second.writer);
  release(found);
  writer->answer(std::move(answer));
}

void Gatekeeper::release(std::unordered_map<RequestId, PendingRequest>::iterator held) {
  openClientIds_.erase(held->second.clientId);
  pending_.erase(held);
}

}  // namespace lilacmux
