// Between the clients' side and what handles its requests: the handler takes requests, the writer its
// responses.
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "http/call.hpp"
#include "http/http.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux {

struct Response {
  http::status status = http::status::ok;
  std::string body;
  http::fields fields;  // empty: the body is plain text
  Time retryAfter = 0;  // ms; 0: no advice
};

// The connection that a request came on, as its handler sees it.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  // The final response, once for each request held.
  virtual void answer(Response&& answer) = 0;
  // Or a large one: its begin, its pieces, each of which the handler is asked for, and its end.
  virtual void begin(const ResponseHead& head) = 0;
  virtual void piece(std::string&& bytes) = 0;
  virtual void finish() = 0;
  virtual void abortStream() = 0;  // its end will not come: the client must see that
};

// What takes the requests.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  virtual bool ready() const = 0;
  // By the head alone, and once more with the body: what is asked, or why it is rejected.
  virtual std::variant<Call, Rejection> read(const ClientMessage& head) = 0;
  // Whether it asks for readiness, at this address.
  virtual bool isReadinessCheck(const ClientMessage&) const { return false; }
  // The writer is answered once, maybe before this returns.
  virtual RequestId nextId() = 0;
  virtual void take(RequestId id, const Call& call, ClientMessage&& message,
                    const std::shared_ptr<ResponseWriter>& writer) = 0;
  // The last piece, or the response's begin, is through: the next may come.
  virtual void wantsMore(RequestId id) = 0;
  // The client has gone; no answer is wanted.
  virtual void left(RequestId id) = 0;
};

}  // namespace lilacmux
