#include "net/link.hpp"

#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace lilacmux {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;
using namespace std::chrono_literals;

constexpr auto kUnacknowledgedFor = 2000ms;  // what was sent, until the peer is held to be gone

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

void tune(tcp::socket& socket) {
  Error ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(UserTimeout(static_cast<int>(kUnacknowledgedFor.count())), ignored);
}

}  // namespace

void Link::start(OnFrame onFrame, OnEnd onEnd) {
  onFrame_ = std::move(onFrame);
  onEnd_ = std::move(onEnd);
  tune(socket_);
  read();
}

void Link::read() {
  socket_.async_read_some(asio::buffer(chunk_),
                          [this, self = shared_from_this()](const Error& error, std::size_t n) {
                            if (closed_) return;
                            if (error) return end(LinkEnd::closed);
                            in_.append(chunk_.data(), n);
                            Frame frame;
                            for (;;) {
                              const Decoded got = decode(in_, frame);
                              if (got == Decoded::malformed) return end(LinkEnd::malformed);
                              if (got == Decoded::incomplete) return read();
                              onFrame_(std::move(frame));
                              if (closed_) return;
                            }
                          });
}

void Link::send(const Frame& frame) {
  if (closed_) return;
  waiting_ += encode(frame);
  if (waiting_.size() > kMaxUnsent) return end(LinkEnd::peerDoesNotRead);
  write();
}

void Link::write() {
  if (!writing_.empty() || waiting_.empty()) return;
  writing_.swap(waiting_);
  asio::async_write(socket_, asio::buffer(writing_),
                    [this, self = shared_from_this()](const Error& error, std::size_t) {
                      if (closed_) return;
                      if (error) return end(LinkEnd::closed);
                      writing_ = {};
                      write();
                    });
}

void Link::close() {
  shut();
  onEnd_ = nullptr;
}

void Link::shut() {
  closed_ = true;
  Error ignored;
  socket_.close(ignored);
}

void Link::end(LinkEnd reason) {
  if (closed_) return;
  shut();
  const auto self = shared_from_this();
  asio::post(socket_.get_executor(), [self, reason] {
    if (self->onEnd_) self->onEnd_(reason);
    self->onFrame_ = nullptr;
    self->onEnd_ = nullptr;
  });
}

}  // namespace lilacmux
