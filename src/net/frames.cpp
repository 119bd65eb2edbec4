#include "net/frames.hpp"

#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>

namespace lilacmux {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;
using namespace std::chrono_literals;

constexpr auto kConnectWithin = 150ms;  // a machine that is down says nothing: the next call tries anew
constexpr auto kUnheardFor = 2000ms;    // what was sent, until the peer is held to be gone
constexpr std::size_t kMostEarly = 64;  // frames that wait for a connection
constexpr const char* kCallField = "#";

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

void appendLength(std::string& out, std::size_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(value >> shift & 0xff);
}

std::size_t lengthAt(const std::string& in, std::size_t at) {
  std::size_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) value = value << 8 | static_cast<unsigned char>(in[at + i]);
  return value;
}

void tune(tcp::socket& socket) {
  Error ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(UserTimeout(static_cast<int>(kUnheardFor.count())), ignored);
}

}  // namespace

std::string encode(const Frame& frame) {
  const std::string head = frame.head.dump();
  if (head.size() > kMostFrameHead || frame.body.size() > kMostFrameBody)
    throw std::length_error("frame too long");
  std::string out;
  out.reserve(8 + head.size() + frame.body.size());
  appendLength(out, head.size());
  appendLength(out, frame.body.size());
  return out.append(head).append(frame.body);
}

Decoded decode(std::string& in, Frame& out) {
  if (in.size() < 8) return Decoded::more;
  const std::size_t head = lengthAt(in, 0), body = lengthAt(in, 4);
  if (head > kMostFrameHead || body > kMostFrameBody) return Decoded::rubbish;
  if (in.size() < 8 + head + body) return Decoded::more;
  out.head = nlohmann::json::parse(in.begin() + 8, in.begin() + 8 + static_cast<std::ptrdiff_t>(head),
                                   nullptr, false);
  if (!out.head.is_object()) return Decoded::rubbish;
  out.body.assign(in, 8 + head, body);
  in.erase(0, 8 + head + body);
  if (in.empty()) in.shrink_to_fit();
  return Decoded::frame;
}

// --- Link
// ----------------------------------------------------------------------------------------------------

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
                            if (error) return end("closed");
                            in_.append(chunk_.data(), n);
                            Frame frame;
                            for (;;) {
                              const Decoded got = decode(in_, frame);
                              if (got == Decoded::rubbish) return end("rubbish");
                              if (got == Decoded::more) return read();
                              onFrame_(std::move(frame));
                              if (closed_) return;
                            }
                          });
}

void Link::send(const Frame& frame) {
  if (closed_) return;
  waiting_ += encode(frame);
  if (waiting_.size() > kMostUnsent) return end("does not read");
  write();
}

void Link::write() {
  if (!writing_.empty() || waiting_.empty()) return;
  writing_.swap(waiting_);
  asio::async_write(socket_, asio::buffer(writing_),
                    [this, self = shared_from_this()](const Error& error, std::size_t) {
                      if (closed_) return;
                      if (error) return end("closed");
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

void Link::end(const char* why) {
  if (closed_) return;
  shut();
  const auto self = shared_from_this();
  asio::post(socket_.get_executor(), [self, why] {
    if (self->onEnd_) self->onEnd_(why);
    self->onFrame_ = nullptr;
    self->onEnd_ = nullptr;
  });
}

// --- FrameServer
// ---------------------------------------------------------------------------------------------

FrameServer::FrameServer(asio::io_context& io, const tcp::endpoint& address, std::size_t connections,
                         Handler handler, Log log)
    : most_(connections),
      handler_(std::move(handler)),
      log_(std::move(log)),
      acceptor_(io, address, "on the internal port", [this](tcp::socket socket) { add(std::move(socket)); }) {
}

FrameServer::~FrameServer() {
  for (const auto& link : links_) link->close();
}

void FrameServer::add(tcp::socket socket) {
  if (links_.size() >= most_) {
    links_.front()->close();
    links_.pop_front();
  }
  const auto link = std::make_shared<Link>(std::move(socket));
  const auto at = links_.insert(links_.end(), link);
  const std::weak_ptr<Link> weak = link;
  link->start(
      [this, weak, at](Frame&& frame) {
        links_.splice(links_.end(), links_, at);
        const auto number = frame.head.contains(kCallField) ? frame.head[kCallField] : nlohmann::json();
        handler_(std::move(frame), [weak, number](Frame&& answer) {
          const auto to = weak.lock();
          if (!to || number.is_null()) return;
          answer.head[kCallField] = number;
          to->send(answer);
        });
      },
      [this, at](const char* why) {
        if (why == std::string_view("rubbish") && !std::exchange(toldOfRubbish_, true))
          log_("a peer on the internal port does not speak the protocol: cut off");
        links_.erase(at);
      });
}

// --- FrameClient
// ---------------------------------------------------------------------------------------------

FrameClient::FrameClient(asio::io_context& io, const tcp::endpoint& peer)
    : io_(io), peer_(peer), connectBy_(io) {}

FrameClient::~FrameClient() {
  *alive_ = false;
  if (link_) link_->close();
  Error ignored;
  if (connecting_) connecting_->close(ignored);
}

void FrameClient::call(Frame frame, std::chrono::milliseconds within, Done done) {
  const std::uint64_t number = ++last_;
  frame.head[kCallField] = number;
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
    if (!comes || ++late.waits >= kMostWaits) return down();
    late.partial = partial;
    await(number, within);
  });
}

void FrameClient::send(Frame&& frame) {
  if (link_) return link_->send(frame);
  if (early_.size() < kMostEarly) early_.push_back(std::move(frame));
  ensure();
}

void FrameClient::ensure() {
  if (connecting_) return;
  connecting_ = std::make_shared<tcp::socket>(io_);
  connectBy_.expires_after(kConnectWithin);
  connectBy_.async_wait([this, alive = alive_](const Error& error) {
    if (!error && *alive) down();
  });
  connecting_->async_connect(peer_, [this, alive = alive_, socket = connecting_](const Error& error) {
    if (!*alive || connecting_ != socket) return;
    if (error) return down();
    connectBy_.cancel();
    connecting_.reset();
    up(std::move(*socket));
  });
}

void FrameClient::up(tcp::socket socket) {
  link_ = std::make_shared<Link>(std::move(socket));
  link_->start(
      [this, alive = alive_](Frame&& frame) {
        if (*alive) came(std::move(frame));
      },
      [this, alive = alive_, which = link_.get()](const char*) {
        if (*alive && link_.get() == which) down();
      });
  const auto early = std::move(early_);
  early_.clear();
  for (const Frame& frame : early)
    if (link_) link_->send(frame);
}

// All that was out is lost.
void FrameClient::down() {
  if (link_) link_->close();
  link_.reset();
  Error ignored;
  if (connecting_) connecting_->close(ignored);
  connecting_.reset();
  connectBy_.cancel();
  early_.clear();
  std::vector<std::uint64_t> lost;
  for (const auto& [number, call] : calls_) lost.push_back(number);
  for (const std::uint64_t number : lost) finish(number, std::nullopt);
}

void FrameClient::came(Frame&& frame) {
  const auto number = frame.head.find(kCallField);
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
