#include "gateway/request_table.hpp"

#include "gateway/local_response.hpp"
#include "net/steady.hpp"
#include "upstream/pending_requests.hpp"

namespace lilacmux {

ActiveRequest& RequestTable::add(RoutedRequest&& routed) {
  const RequestId id = routed.id;
  return requests_.try_emplace(id, io_, std::move(routed)).first->second;
}

ActiveRequest* RequestTable::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestTable::respond(RequestId id, Response response) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  if (found->second.streams) return endStream(id, false);  // too late for another response
  const auto writer = std::move(found->second.writer);
  const bool ran = found->second.mayHaveRun;
  remove(found, ran);
  writer->answer(std::move(response));
}

// 503 promises that the request has not run and never will; where that is not known, nothing is promised.
void RequestTable::giveUp(RequestId id, Time retryAfter) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  ActiveRequest& request = found->second;
  if (request.lastFailure) return respond(id, std::move(*request.lastFailure));
  if (request.mayHaveRun) {
    const bool timedOut = steadyMs() >= request.expires;
    return respond(id, timedOut ? textResponse(http::status::gateway_timeout, "no answer in time")
                                : textResponse(http::status::bad_gateway, "no whole answer"));
  }
  ++counters_.withoutServer;
  respond(id, textResponse(http::status::service_unavailable, "no server could take it", retryAfter));
}

void RequestTable::remove(RequestId id, bool ran) {
  if (const auto found = requests_.find(id); found != requests_.end()) remove(found, ran);
}

void RequestTable::remove(Requests::iterator found, bool ran) {
  ActiveRequest& request = found->second;
  if (request.retryToken == ActiveRequest::RetryToken::taken)
    admission_.retryEnded(steadyMs(), *request.service, false);
  settleRetryToken(request, true);
  if (!request.tenant.empty()) admission_.requestEnded(steadyMs(), request.tenant, ran);
  requests_.erase(found);
}

bool RequestTable::beginStream(RequestId id, const ResponseHead& head) {
  return lilacmux::beginStream(requests_, id, head);
}

void RequestTable::passPiece(RequestId id, std::string&& bytes) {
  lilacmux::forwardPiece(requests_, id, std::move(bytes));
}

void RequestTable::endStream(RequestId id, bool complete) {
  const auto found = requests_.find(id);
  const auto writer = std::move(found->second.writer);
  remove(found, true);
  complete ? writer->finish() : writer->abortStream();
}

void RequestTable::settleRetryToken(ActiveRequest& request, bool delivered) {
  if (request.retryToken != ActiveRequest::RetryToken::inFlight) return;
  admission_.retryEnded(steadyMs(), *request.service, delivered);
  request.retryToken = ActiveRequest::RetryToken::none;
}

}  // namespace lilacmux
