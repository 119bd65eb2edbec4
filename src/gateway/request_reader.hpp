// How the gateway reads a client's request: what it rejects by the head alone, and which route it takes.
#pragma once

#include <optional>
#include <variant>

#include "gateway/route_table.hpp"
#include "http/call.hpp"
#include "http/http.hpp"
#include "ownership/key_range.hpp"

namespace lilacmux {

// What the head asks for, or why it is rejected. `routes`: nullptr where the gateway may not serve now; then
// only the form of the head is checked.
std::variant<Call, Rejection> readRequestHead(const ClientMessage& head, const RouteTable* routes);

// nullptr: none.
const Route* findRoute(const ClientMessage& message, const RouteTable& routes);

// The key of the message's `X-Shard-Key`; nothing if it has none that can be read.
std::optional<Key> shardKeyOf(const ClientMessage& message);

// The tenant of the message's API key; nullptr: none.
const Tenant* findTenant(const ClientMessage& message, const RouteTable& routes);

}  // namespace lilacmux
