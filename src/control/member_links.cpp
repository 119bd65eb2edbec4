#include "control/member_links.hpp"

#include "consensus/member_message_codec.hpp"
#include "settings/settings.hpp"

namespace lilacmux {
namespace {

using namespace std::chrono_literals;

// Timeout for the acknowledgement of a message without a state; when it expires the connection is closed.
constexpr auto kAckTimeout = 600ms;
// Slower transfers of a state are aborted. A quarter of the slowest link of a core machine.
constexpr std::size_t kMinBytesPerMs = 3000;

}  // namespace

std::chrono::milliseconds stateTimeout(std::size_t bytes) {
  return kAckTimeout + std::chrono::milliseconds(bytes / kMinBytesPerMs);
}

MemberLinks::Link& MemberLinks::linkTo(const NodeId& member) {
  auto& link = links_[member];
  if (!link) link = std::make_unique<Link>(io_, parseAddress(member, "peer"));
  return *link;
}

void MemberLinks::send(const NodeId& to, const MemberMessage& message) {
  Link& link = linkTo(to);
  if (message.state) return sendState(link, message);
  link.control.call(toFrame(message), kAckTimeout, [](const std::optional<Frame>&) {});
}

void MemberLinks::sendState(Link& link, const MemberMessage& message) {
  const StateId id{message.epoch, message.sequence};
  if (link.stateInFlight == id) return;
  link.stateInFlight = id;
  Frame frame = toFrame(message);
  const std::size_t bytes = frame.body.size();
  // The state is queued behind the states that are in flight on the same connection.
  link.bytesInFlight += bytes;
  link.states.call(std::move(frame), stateTimeout(link.bytesInFlight),
                   [&link, id, bytes](const std::optional<Frame>&) {
                     link.bytesInFlight -= bytes;
                     if (link.stateInFlight == id) link.stateInFlight.reset();
                   });
}

}  // namespace lilacmux
