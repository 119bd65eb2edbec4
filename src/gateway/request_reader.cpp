#include "gateway/request_reader.hpp"

#include <algorithm>
#include <string_view>

namespace lilacmux {
namespace {

std::string_view pathOf(const ClientMessage& message) {
  const std::string_view target = view(message.target());
  return target.substr(0, target.find('?'));
}

// A request that repeats one of these may mean one thing to the gateway and another to a server.
bool hasRepeatedField(const ClientMessage& message) {
  for (const char* name : {"Host", "X-Api-Key", "X-Attempt-Id", "X-Deadline-Remaining-Ms", "X-Shard-Key"})
    if (countOf(message, name) > 1) return true;
  return false;
}

// How long the client waits: as long as it says, and never longer than the route allows. ms
Time timeoutOf(const ClientMessage& head, const Route& route) {
  const auto stated = number<double>(view(head["X-Deadline-Remaining-Ms"]));
  return stated ? std::clamp(*stated, 0.0, route.timeoutMs) : route.timeoutMs;
}

}  // namespace

std::variant<Call, Rejection> readRequestHead(const ClientMessage& head, const RouteTable* routes) {
  constexpr auto kBad = http::status::bad_request;
  if (!plainFraming(head)) return Rejection{kBad, "the body's length is not told plainly"};
  if (hasRepeatedField(head)) return Rejection{kBad, "a header is repeated"};
  if (head["X-Attempt-Id"].empty()) return Rejection{kBad, "no X-Attempt-Id"};
  if (head.method() == http::verb::connect || head.method() == http::verb::head)
    return Rejection{http::status::not_implemented, "no such method here"};
  const std::string_view path = pathOf(head);
  if (path.empty() || path.front() != '/' || head[http::field::host].empty())
    return Rejection{kBad, "no path or no host"};
  if (!routes) return Call{};  // RequestAdmission says when to come back
  const Route* route = findRoute(head, *routes);
  if (!route) return Rejection{http::status::not_found, "no such route"};
  if (routes->needsKey(*route) && !findTenant(head, *routes))
    return Rejection{http::status::unauthorized, "unknown key"};
  Call out;
  out.klass = static_cast<unsigned>(route->type);
  out.repeatable = route->type != RouteType::nonIdempotent;
  out.patience = timeoutOf(head, *route);
  return out;
}

const Route* findRoute(const ClientMessage& message, const RouteTable& routes) {
  return routes.find(view(message[http::field::host]), pathOf(message));
}

std::optional<Key> shardKeyOf(const ClientMessage& message) {
  const auto key = number<Key>(view(message["X-Shard-Key"]));
  return key && *key < kKeyCount ? key : std::nullopt;
}

const Tenant* findTenant(const ClientMessage& message, const RouteTable& routes) {
  return routes.tenantOf(view(message["X-Api-Key"]));
}

}  // namespace lilacmux
