#include "net/frame_client.hpp"

#include <utility>

#include "net/call_number.hpp"

namespace lilacmux {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;
using namespace std::chrono_literals;

constexpr auto kConnectTimeout = 150ms;       // a machine that is down says nothing: the next call tries anew
constexpr std::size_t kMaxUnsentFrames = 64;  // that wait for a connection

}  // namespace

FrameClient::FrameClient(asio::io_context& io, const tcp::endpoint& peer)
    : io_(io), peer_(peer), connectTimer_(io) {}

FrameClient::~FrameClient() {
  *alive_ = false;
  if (link_) link_->close();
  Error ignored;
  if (connecting_) connecting_->close(ignored);
}

void FrameClient::call(Frame frame, std::chrono::milliseconds within, Done done) {
  const std::uint64_t number = ++lastNumber_;
  frame.head[kCallNumber] = number;
  Call& call = calls_[number];
  call.done = std::move(done);
  call.timer = std::make_unique<asio::steady_timer>(io_);
  await(number, within);
  send(std::move(frame));
}

void FrameClient::await(std::uint64_t number, std::chrono::milliseconds within) {
  asio::steady_timer& timer = *calls_.at(number).timer;
  timer.expires_after(within);
  timer.async_wait([this, number, within, alive = alive_](const Error& error) {
    if (error || !*alive) return;
    const auto found = calls_.find(number);
    if (found == calls_.end()) return;
    Call& late = found->second;
    const std::size_t partial = link_ ? link_->partial() : 0;
    const bool comes = partial > 0 && partial != late.partial;
    if (!comes || ++late.waits >= kMaxWaits) return disconnected();
    late.partial = partial;
    await(number, within);
  });
}

void FrameClient::send(Frame&& frame) {
  if (link_) return link_->send(frame);
  if (unsentFrames_.size() < kMaxUnsentFrames) unsentFrames_.push_back(std::move(frame));
  ensureConnected();
}

void FrameClient::ensureConnected() {
  if (connecting_) return;
  connecting_ = std::make_shared<tcp::socket>(io_);
  connectTimer_.expires_after(kConnectTimeout);
  connectTimer_.async_wait([this, alive = alive_](const Error& error) {
    if (!error && *alive) disconnected();
  });
  connecting_->async_connect(peer_, [this, alive = alive_, socket = connecting_](const Error& error) {
    if (!*alive || connecting_ != socket) return;
    if (error) return disconnected();
    connectTimer_.cancel();
    connecting_.reset();
    connected(std::move(*socket));
  });
}

void FrameClient::connected(tcp::socket socket) {
  link_ = std::make_shared<Link>(std::move(socket));
  link_->start(
      [this, alive = alive_](Frame&& frame) {
        if (*alive) received(std::move(frame));
      },
      [this, alive = alive_, which = link_.get()](LinkEnd) {
        if (*alive && link_.get() == which) disconnected();
      });
  const auto unsent = std::move(unsentFrames_);
  unsentFrames_.clear();
  for (const Frame& frame : unsent)
    if (link_) link_->send(frame);
}

// All that was out is lost.
void FrameClient::disconnected() {
  if (link_) link_->close();
  link_.reset();
  Error ignored;
  if (connecting_) connecting_->close(ignored);
  connecting_.reset();
  connectTimer_.cancel();
  unsentFrames_.clear();
  std::vector<std::uint64_t> lost;
  for (const auto& [number, call] : calls_) lost.push_back(number);
  for (const std::uint64_t number : lost) finish(number, std::nullopt);
}

void FrameClient::received(Frame&& frame) {
  const auto number = frame.head.find(kCallNumber);
  if (number == frame.head.end() || !number->is_number_unsigned()) return;
  const auto which = number->get<std::uint64_t>();
  finish(which, std::move(frame));
}

void FrameClient::finish(std::uint64_t number, std::optional<Frame> answer) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) return;
  const Done done = std::move(found->second.done);
  calls_.erase(found);
  done(std::move(answer));
}

}  // namespace lilacmux
