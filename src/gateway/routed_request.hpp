// A client's request that has been read and matched to its route and its tenant, and not been sent yet.
#pragma once

#include <memory>
#include <string>

#include "gateway/route_table.hpp"
#include "http/client_server.hpp"

namespace lilacmux {

struct RoutedRequest {
  RequestId id = 0;
  Time expires = 0;  // steady clock, ms; counted from when the request came
  ClientMessage message;
  std::shared_ptr<ResponseWriter> writer;
  std::shared_ptr<const RouteTable> table;  // keeps `route` alive
  const Route* route = nullptr;
  std::string tenant;  // empty: none
};

}  // namespace lilacmux
