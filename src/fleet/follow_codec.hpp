// Encodes follow requests and responses as frames, and decodes them. The keys in the frame head are part of
// the wire format, which different versions share during an upgrade. They do not change with the names of the
// fields in follow_messages.hpp.
#pragma once

#include <optional>

#include "fleet/follow_messages.hpp"
#include "net/frame.hpp"

namespace lilacmux {

Frame toFrame(const FollowRequest& request);
Frame toFrame(const FollowResponse& response);

// Return nothing if the frame is of another kind or malformed.
std::optional<FollowRequest> parseFollowRequest(const Frame& frame);
std::optional<FollowResponse> parseFollowResponse(Frame&& frame);

}  // namespace lilacmux
