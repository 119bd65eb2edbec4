// The messages that attempts send to servers, made of a client's request.
#pragma once

#include <string>

#include "gateway/active_request.hpp"
#include "upstream/connection_pool.hpp"

namespace lilacmux {

// Makes head and body for all attempts of the request out of the client's message, which is gone then. The
// fields of the client's connection stay behind, and so does its API key.
void prepareUpstreamRequest(ActiveRequest& request);

// One attempt at this instance, of a request that has been prepared. `left`: ms until its deadline.
UpstreamRequest upstreamMessage(const ActiveRequest& request, const std::string& instanceId, Time left);

}  // namespace lilacmux
