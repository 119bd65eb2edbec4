// What the connections to servers need of their users: how a response is read, and where a large one goes.
#pragma once

#include <string>
#include <string_view>

#include "http/http.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux {

// Which attempt a response answers.
enum class ResponseOwnership {
  ours,      // the attempt under way
  anothers,  // an earlier attempt on the same connection
  unknown,   // cannot be told
};

// How the responses of one kind of server are read.
class ResponseReader {
 public:
  virtual ~ResponseReader() = default;
  // `id`: what the attempt under way gave to be carried back; empty: nothing.
  virtual ResponseOwnership ownership(const http::response_header<>&, const std::string& /*id*/) const {
    return ResponseOwnership::ours;
  }
  // The field by which a response names its attempt; empty: there is none.
  virtual std::string_view attemptField() const { return {}; }
  // By its head: what the response says of the attempt. Fills in what else of the outcome the head tells.
  virtual AttemptResult read(const http::response_header<>& head, AttemptOutcome& outcome) const = 0;
  // The fields that go on to the client.
  virtual http::fields forwardedFields(const http::response_header<>& head) const = 0;
  // Whether a response of this result goes on to the client, if it is the last.
  virtual bool isForwardable(AttemptResult result) const { return result == AttemptResult::ok; }
};

// What a large response passes on before its end.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  // From here on it streams, and `ended` tells whether it came whole. False: nobody wants it.
  virtual bool begun(RequestId id, const ResponseHead& head) = 0;
  // The next piece comes once more() is called.
  virtual void piece(RequestId id, std::string&& bytes) = 0;
};

}  // namespace lilacmux
