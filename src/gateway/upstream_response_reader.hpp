// Classifies the responses of servers by their heads: which attempt a response belongs to, whether the
// request may have run, and what of the head goes on to the client. Only `X-Not-Executed` and 421 say that a
// request has not run; a success counts only with the server's seal and without a content encoding.
#pragma once

#include <string_view>

#include "upstream/connection_pool.hpp"

namespace lilacmux {

class UpstreamResponseReader : public ResponseReader {
 public:
  // By the `X-Attempt-Id` that servers send back: a response without one, or with several, or with several
  // seals, belongs to no attempt.
  ResponseOwnership ownership(const http::response_header<>& head, const std::string& id) const override;
  std::string_view attemptField() const override { return "X-Attempt-Id"; }
  AttemptResult read(const http::response_header<>& head, AttemptOutcome& outcome) const override;
  http::fields forwardedFields(const http::response_header<>& head) const override;
  bool isForwardable(AttemptResult result) const override {
    return result == AttemptResult::ok || result == AttemptResult::error;
  }
};

// Whether the field concerns one connection only (RFC 9110, 7.6.1), and so is not forwarded.
bool isConnectionField(const http::fields& fields, beast::string_view name);

}  // namespace lilacmux
