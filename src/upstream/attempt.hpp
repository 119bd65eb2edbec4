// One attempt at a server: what is written, and how it ended.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/http.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux {

// What an attempt writes. The body is the same for all attempts of a request.
struct UpstreamRequest {
  std::string head;
  std::shared_ptr<const std::string> body;
  unsigned klass = 0;
  std::string id{};  // which the response must carry back; empty: none
  // No byte is written from then on: a connection that comes up later finds nobody waiting for a response.
  std::chrono::steady_clock::time_point notAfter = std::chrono::steady_clock::time_point::max();
  // Not empty: the head ends with this field, which tells the ms that are left until `notAfter` when the
  // first byte is written, and with the empty line.
  std::string_view deadlineField{};
  // If set: asked once more where a connection had to come up first. False: the attempt ends as moot.
  std::function<bool()> mayBeSent{};
  bool repeatable = true;  // else a response that pauses is awaited: no other server may be asked
};

// How an attempt ended, and the response if it was served and has not streamed.
struct AttemptEnd {
  AttemptOutcome outcome;
  std::string body;
  std::optional<ResponseHead> head;  // with a response that goes on to the client
};

}  // namespace lilacmux
