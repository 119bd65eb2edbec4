// The message in which control processes report themselves, the core and their peers to each other, with its
// codec.
#pragma once

#include <optional>
#include <vector>

#include "discovery/core_view.hpp"
#include "net/frame.hpp"

namespace lilacmux {

// Sent as a request and as its response.
struct PeerAnnouncement {
  NodeId from;
  bool isMember = false;      // whether the sender's own epoch record lists it in the core
  CoreView core;              // the newest view that the sender knows
  std::vector<NodeId> peers;  // other control processes that have responded to the sender
};

Frame toFrame(const PeerAnnouncement& announcement);

// Returns nothing if the frame is of another kind, lacks a field, or contains a node that is not an ip:port
// address.
std::optional<PeerAnnouncement> parsePeerAnnouncement(const Frame& frame);

}  // namespace lilacmux
