// A core member's connections to the other members: to each of them one for heartbeats, votes and
// acknowledgements, and one for replicated states.
//
// A state may have megabytes. On a shared connection a heartbeat would be queued behind it, and leases would
// expire; and a timeout that suits a heartbeat would abort the transfer of each large state.
//
// Runs on the thread of the io_context, which must outlive the links.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "consensus/member_message.hpp"
#include "net/frame_client.hpp"

namespace lilacmux {

class MemberLinks {
 public:
  explicit MemberLinks(boost::asio::io_context& io) : io_(io) {}

  // Sends `message` without a guarantee of delivery. Does not resend a state that is still in flight to `to`.
  // Throws SettingsError if `to` is not an address.
  void send(const NodeId& to, const MemberMessage& message);

 private:
  using StateId = std::pair<std::uint64_t, std::uint64_t>;  // epoch, sequence
  struct Link {
    explicit Link(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address)
        : control(io, address), states(io, address) {}
    FrameClient control;
    FrameClient states;
    std::optional<StateId> stateInFlight;  // the newest one sent
    std::size_t bytesInFlight = 0;         // total of all states in flight
  };

  Link& linkTo(const NodeId& member);
  void sendState(Link& link, const MemberMessage& message);

  boost::asio::io_context& io_;
  std::map<NodeId, std::unique_ptr<Link>> links_;
};

// Returns the time within which the other member must acknowledge a state of `bytes` bytes.
std::chrono::milliseconds stateTimeout(std::size_t bytes);

}  // namespace lilacmux
