#include "discovery/peer_announcement.hpp"

#include <algorithm>

#include "net/frame_kind.hpp"
#include "settings/settings.hpp"

namespace lilacmux {
namespace {

// Names on the wire. They must not change, as processes of other versions read them.
constexpr const char* kAnnouncementKind = "presence";
constexpr const char* kFrom = "from";
constexpr const char* kIsMember = "member";
constexpr const char* kCoreEpoch = "epoch";
constexpr const char* kCoreMembers = "core";
constexpr const char* kPeers = "peers";

bool isAddress(const NodeId& node) {
  try {
    parseAddress(node, "node");
    return true;
  } catch (const SettingsError&) {
    return false;
  }
}

bool areAddresses(const std::vector<NodeId>& nodes) {
  return std::all_of(nodes.begin(), nodes.end(), isAddress);
}

}  // namespace

Frame toFrame(const PeerAnnouncement& announcement) {
  Frame out;
  out.head = {{kKind, kAnnouncementKind},
              {kFrom, announcement.from},
              {kIsMember, announcement.isMember},
              {kCoreEpoch, announcement.core.epoch},
              {kCoreMembers, announcement.core.members},
              {kPeers, announcement.peers}};
  return out;
}

std::optional<PeerAnnouncement> parsePeerAnnouncement(const Frame& frame) {
  if (kindOf(frame) != kAnnouncementKind) return std::nullopt;
  auto announcement = whole<PeerAnnouncement>([&] {
    PeerAnnouncement out;
    frame.head.at(kFrom).get_to(out.from);
    frame.head.at(kIsMember).get_to(out.isMember);
    frame.head.at(kCoreEpoch).get_to(out.core.epoch);
    frame.head.at(kCoreMembers).get_to(out.core.members);
    frame.head.at(kPeers).get_to(out.peers);
    return out;
  });
  if (!announcement) return std::nullopt;
  const bool isValid = isAddress(announcement->from) && areAddresses(announcement->core.members) &&
                       areAddresses(announcement->peers);
  return isValid ? announcement : std::nullopt;
}

}  // namespace lilacmux
