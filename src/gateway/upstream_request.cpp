#include "gateway/upstream_request.hpp"

#include <chrono>

#include "gateway/local_response.hpp"
#include "gateway/upstream_response_reader.hpp"

namespace lilacmux {
namespace {

constexpr const char* kDeadlineField = "X-Deadline-Remaining-Ms";

// Whether the gateway replaces or withholds the client's field.
bool isReplaced(beast::string_view name) {
  for (const char* own : {"X-Api-Key", "X-Tenant-Name", "X-Expected-Instance", kDeadlineField})
    if (beast::iequals(name, own)) return true;
  return false;
}

}  // namespace

void prepareUpstreamRequest(ActiveRequest& request) {
  ClientMessage& message = request.message;
  request.attemptId = view(message["X-Attempt-Id"]);
  http::request<http::empty_body> out(message.method(), message.target(), 11);
  if (message.method() == http::verb::unknown) out.method_string(message.method_string());
  for (const auto& field : message) {
    const auto name = field.name_string();
    if (!isConnectionField(message, name) && !isReplaced(name)) out.insert(name, field.value());
  }
  if (!request.tenant.empty()) out.set("X-Tenant-Name", request.tenant);
  const bool hasNoBody = message.method() == http::verb::get && message.body().empty();
  if (!hasNoBody) out.set(http::field::content_length, std::to_string(message.body().size()));
  request.body = std::make_shared<const std::string>(std::move(message.body()));
  append(request.head, out);
  request.head.resize(request.head.size() - 2);  // without the empty line: the attempt's own fields follow
  message = {};
}

UpstreamRequest upstreamMessage(const ActiveRequest& request, const std::string& instanceId, Time left) {
  UpstreamRequest out;
  out.head = request.head + "X-Expected-Instance: " + instanceId + "\r\n";
  out.body = request.body;
  out.klass = static_cast<unsigned>(request.route->type);
  out.id = request.attemptId;
  out.notAfter = std::chrono::steady_clock::now() + toDuration(left);
  out.deadlineField = kDeadlineField;
  out.repeatable = request.route->type != RouteType::nonIdempotent;
  return out;
}

}  // namespace lilacmux
