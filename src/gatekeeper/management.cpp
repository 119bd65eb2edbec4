#include "gatekeeper/management.hpp"

namespace lilacmux {
namespace {

using Reply = CallReply;

Reply wrongMethod(const char* allowed) {
  Reply out = callReply(http::status::method_not_allowed, std::string("only ") + allowed + "\n");
  out.set(http::field::allow, allowed);
  return out;
}

Reply carryOut(const http::request<http::string_body>& call, OperatorCommands& target) {
  std::string_view rest = view(call.target());
  const std::string_view path = cut(rest, '?');
  const bool get = call.method() == http::verb::get, put = call.method() == http::verb::put;
  if (path == "/v1/readyz") {
    if (!get) return wrongMethod("GET");
    return target.takesClients() ? callReply(http::status::ok, "ready\n")
                                 : callReply(http::status::service_unavailable, "not ready\n");
  }
  if (path == "/v1/metrics") {
    if (!get) return wrongMethod("GET");
    return callReply(http::status::ok, target.figures());
  }
  constexpr std::string_view kServers = "/v1/loan-servers/";
  if (path.starts_with(kServers)) {
    std::string_view left = path.substr(kServers.size());
    const std::string id(cut(left, '/'));
    if (left != "suspend" && left != "resume") return callReply(http::status::not_found, "no such path\n");
    if (!put) return wrongMethod("PUT");
    const bool known = left == "suspend" ? target.suspend(id) : target.resume(id);
    return known ? callReply(http::status::ok, "done\n")
                 : callReply(http::status::not_found, "no such loan server\n");
  }
  if (path == "/v1/gatekeeper/drain" || path == "/v1/gatekeeper/activate") {
    if (!put) return wrongMethod("PUT");
    path.ends_with("/drain") ? target.startFrontDrain() : target.endFrontDrain();
    return callReply(http::status::ok, "done\n");
  }
  return callReply(http::status::not_found, "no such path\n");
}

}  // namespace

ManagementServer::ManagementServer(asio::io_context& io, const asio::ip::tcp::endpoint& address,
                                   const Limits& limits, OperatorCommands& target)
    : calls_(io, address, limits, [&target](CallServer::Call&& call, const CallServer::Respond& respond) {
        respond(carryOut(call, target));
      }) {}

}  // namespace lilacmux
