#include "control/internal_api.hpp"

#include <utility>

#include "consensus/member_message_codec.hpp"
#include "net/steady.hpp"

namespace lilacmux {
namespace {

constexpr std::size_t kMaxConnections = 512;  // from gateways, relays and members

Frame acknowledgement() { return {{{"t", "heard"}}, {}}; }

}  // namespace

void InternalApi::listen(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                         const Log& log) {
  server_.emplace(
      io, address, kMaxConnections,
      [this](Frame&& frame, const FrameServer::Reply& reply) { handle(std::move(frame), reply); }, log);
}

void InternalApi::handle(Frame&& frame, const FrameServer::Reply& reply) {
  ++requestCount_;
  if (const auto announcement = parsePeerAnnouncement(frame))
    return reply(discovery_.handleAnnouncement(*announcement));
  Replica* replica = member_.replica();
  if (!replica) return reply(toFrame(follows_.redirectToCore()));
  if (const auto request = parseFollowRequest(frame))
    return reply(toFrame(follows_.answer(*request, *replica)));
  const auto message = decodeMemberMessage(std::move(frame));
  reply(acknowledgement());
  if (message) replica->receive(steadyMs(), *message);
}

}  // namespace lilacmux
