#include "gateway/upstream_response_reader.hpp"

#include <boost/beast/http/rfc7230.hpp>

namespace lilacmux {

bool isConnectionField(const http::fields& fields, beast::string_view name) {
  for (const char* known :
       {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
        "Expect", "Content-Length", "Proxy-Authenticate", "Proxy-Authorization"})
    if (beast::iequals(name, known)) return true;
  const auto listed = fields[http::field::connection];
  if (listed.empty()) return false;
  for (const auto token : http::token_list(listed))
    if (beast::iequals(token, name)) return true;
  return false;
}

ResponseOwnership UpstreamResponseReader::ownership(const http::response_header<>& head,
                                                    const std::string& id) const {
  if (id.empty() || countOf(head, "X-Attempt-Id") != 1) return ResponseOwnership::unknown;
  if (countOf(head, "X-Server-Seal") > 1) return ResponseOwnership::unknown;
  return view(head["X-Attempt-Id"]) == id ? ResponseOwnership::ours : ResponseOwnership::anothers;
}

AttemptResult UpstreamResponseReader::read(const http::response_header<>& head, AttemptOutcome&) const {
  const unsigned status = head.result_int();
  if (countOf(head, "X-Not-Executed") > 0 || status == 421) return AttemptResult::full;
  if (status >= 500) return AttemptResult::error;
  if (status >= 300) return AttemptResult::ok;  // an answer of the server's own, which goes on as it is
  const bool whole = countOf(head, "X-Server-Seal") == 1 && countOf(head, "Content-Encoding") == 0;
  return whole ? AttemptResult::ok : AttemptResult::malformed;
}

http::fields UpstreamResponseReader::forwardedFields(const http::response_header<>& head) const {
  http::fields out;
  for (const auto& field : head)
    if (!isConnectionField(head, field.name_string())) out.insert(field.name_string(), field.value());
  return out;
}

}  // namespace lilacmux
