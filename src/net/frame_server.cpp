#include "net/frame_server.hpp"

#include <utility>

#include "net/call_number.hpp"

namespace lilacmux {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

}  // namespace

FrameServer::FrameServer(asio::io_context& io, const tcp::endpoint& address, std::size_t connections,
                         Handler handler, Log log)
    : maxConnections_(connections),
      handler_(std::move(handler)),
      log_(std::move(log)),
      acceptor_(io, address, "on the internal port", [this](tcp::socket socket) { add(std::move(socket)); }) {
}

FrameServer::~FrameServer() {
  for (const auto& link : links_) link->close();
}

void FrameServer::add(tcp::socket socket) {
  if (links_.size() >= maxConnections_) {
    links_.front()->close();
    links_.pop_front();
  }
  const auto link = std::make_shared<Link>(std::move(socket));
  const auto at = links_.insert(links_.end(), link);
  const std::weak_ptr<Link> weak = link;
  link->start(
      [this, weak, at](Frame&& frame) {
        links_.splice(links_.end(), links_, at);
        const auto number = frame.head.contains(kCallNumber) ? frame.head[kCallNumber] : nlohmann::json();
        handler_(std::move(frame), [weak, number](Frame&& answer) {
          const auto to = weak.lock();
          if (!to || number.is_null()) return;
          answer.head[kCallNumber] = number;
          to->send(answer);
        });
      },
      [this, at](LinkEnd reason) {
        if (reason == LinkEnd::malformed && !std::exchange(malformedReported_, true))
          log_("a peer on the internal port does not speak the protocol: cut off");
        links_.erase(at);
      });
}

}  // namespace lilacmux
