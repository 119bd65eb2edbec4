#include "gatekeeper/handover.hpp"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <boost/asio/write.hpp>
#include <cstring>

namespace lilacmux {
namespace {

using Local = asio::local::stream_protocol;
using namespace std::chrono_literals;

// With the descriptor. The name is that of an earlier program: versions that replace each other must agree on
// it.
constexpr std::string_view kGreeting = "burlwind handover 1\n";
constexpr std::string_view kServing = "serving";
constexpr std::string_view kHolds = "holds ";
constexpr auto kTellEvery = 50ms;
constexpr timeval kAnswerWithin{1, 0};
constexpr std::size_t kMostLine = 256;

union Control {
  std::array<char, CMSG_SPACE(sizeof(int))> bytes;
  cmsghdr aligned;
};

bool sendDescriptor(int to, int descriptor) {
  iovec text{const_cast<char*>(kGreeting.data()), kGreeting.size()};
  Control control{};
  msghdr message{};
  message.msg_iov = &text;
  message.msg_iovlen = 1;
  message.msg_control = control.bytes.data();
  message.msg_controllen = control.bytes.size();
  cmsghdr* head = CMSG_FIRSTHDR(&message);
  head->cmsg_level = SOL_SOCKET;
  head->cmsg_type = SCM_RIGHTS;
  head->cmsg_len = CMSG_LEN(sizeof(int));
  std::memcpy(CMSG_DATA(head), &descriptor, sizeof descriptor);
  return ::sendmsg(to, &message, MSG_NOSIGNAL) == static_cast<ssize_t>(kGreeting.size());
}

// The descriptor that comes with the greeting, or below 0.
int receiveDescriptor(int from) {
  std::array<char, kGreeting.size()> text{};
  iovec place{text.data(), text.size()};
  Control control{};
  msghdr message{};
  message.msg_iov = &place;
  message.msg_iovlen = 1;
  message.msg_control = control.bytes.data();
  message.msg_controllen = control.bytes.size();
  const ssize_t got = ::recvmsg(from, &message, MSG_CMSG_CLOEXEC);
  int descriptor = -1;
  const cmsghdr* head = got > 0 ? CMSG_FIRSTHDR(&message) : nullptr;
  if (head && head->cmsg_level == SOL_SOCKET && head->cmsg_type == SCM_RIGHTS &&
      head->cmsg_len == CMSG_LEN(sizeof(int)))
    std::memcpy(&descriptor, CMSG_DATA(head), sizeof descriptor);
  const bool sound =
      got == static_cast<ssize_t>(text.size()) && std::string_view(text.data(), text.size()) == kGreeting;
  int listening = 0;
  socklen_t size = sizeof listening;
  if (descriptor >= 0 && sound &&
      ::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 && listening != 0)
    return descriptor;
  if (descriptor >= 0) ::close(descriptor);
  return -1;
}

}  // namespace

// One side of the link: lines both ways, and its end.
class Handover::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(Handover& owner, Local::socket socket) : owner_(&owner), socket_(std::move(socket)) {}

  void read() {
    socket_.async_read_some(asio::buffer(piece_),
                            [self = shared_from_this(), this](const Error& error, std::size_t n) {
                              if (!owner_) return;
                              in_.append(piece_.data(), n);
                              takeLines();
                              if (!owner_) return;
                              if (error || in_.size() > kMostLine) return owner_->ended(*this);
                              read();
                            });
  }
  // Short lines to a peer that reads: where they do not go at once, it is as good as gone.
  void say(std::string_view line) {
    Error error;
    asio::write(socket_, asio::buffer(std::string(line) + "\n"), error);
  }
  int native() { return socket_.native_handle(); }
  void abandon() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
  }

 private:
  void takeLines() {
    for (auto end = in_.find('\n'); owner_ && end != std::string::npos; end = in_.find('\n')) {
      const std::string line = in_.substr(0, end);
      in_.erase(0, end + 1);
      owner_->heard(*this, line);
    }
  }

  Handover* owner_;
  Local::socket socket_;
  std::array<char, kMostLine> piece_{};
  std::string in_;
};

Handover::Handover(asio::io_context& io, const std::filesystem::path& folder, Heir& heir, Log log)
    : io_(io),
      path_(folder.empty() ? std::string() : (folder / "handover.sock").string()),
      heir_(heir),
      log_(std::move(log)),
      acceptor_(io),
      tell_(io) {}

Handover::~Handover() {
  for (const auto& link : {predecessor_, successor_})
    if (link) link->abandon();
}

int Handover::take() {
  if (path_.empty() || path_.size() >= sizeof(sockaddr_un::sun_path)) return -1;
  Local::socket socket(io_);
  Error error;
  socket.connect(Local::endpoint(path_), error);
  if (error) return -1;
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &kAnswerWithin, sizeof kAnswerWithin);
  const int listener = receiveDescriptor(socket.native_handle());
  if (listener < 0) {
    log_("the process at " + path_ + " hands nothing over");
    return -1;
  }
  socket.non_blocking(true, error);
  predecessor_ = std::make_shared<Link>(*this, std::move(socket));
  predecessor_->read();
  return listener;
}

void Handover::offer() {
  Error error;
  if (path_.empty()) return;
  if (path_.size() >= sizeof(sockaddr_un::sun_path)) return log_("no handover: the path is too long");
  ::unlink(path_.c_str());
  acceptor_.close(error);
  acceptor_.open(Local(), error);
  if (!error) acceptor_.bind(Local::endpoint(path_), error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) return log_("no handover: " + error.message());
  accept();
}

void Handover::sayServing() {
  if (predecessor_) predecessor_->say(kServing);
}

void Handover::accept() {
  acceptor_.async_accept([this](const Error& error, Local::socket socket) {
    if (error) return;
    accept();
    if (successor_ || heir_.listener() < 0) return;
    Error ignored;
    socket.non_blocking(true, ignored);
    const auto link = std::make_shared<Link>(*this, std::move(socket));
    heir_.successorStarts();
    if (!sendDescriptor(link->native(), heir_.listener())) return;
    log_("a successor has started");
    successor_ = link;
    served_ = false;
    link->read();
    tellHoldings();
  });
}

void Handover::heard(Link& link, std::string_view line) {
  if (&link == successor_.get() && line == kServing && !served_) {
    served_ = true;
    heir_.successorServes();
  }
  if (&link != predecessor_.get() || !line.starts_with(kHolds)) return;
  line.remove_prefix(kHolds.size());
  const auto clients = number<std::size_t>(cut(line, ' ')), workers = number<std::size_t>(cut(line, ' ')),
             bytes = number<std::size_t>(line);
  if (clients && workers && bytes) heir_.predecessorHolds({*clients, *workers, *bytes});
}

void Handover::ended(Link& link) {
  link.abandon();
  if (&link == predecessor_.get()) {
    predecessor_.reset();
    return heir_.predecessorLeft();
  }
  successor_.reset();
  tell_.cancel();
  if (served_) return;
  offer();  // the successor had put its own in this one's place
  heir_.successorLost();
}

void Handover::tellHoldings() {
  if (!successor_) return;
  const Holdings most = heir_.holdings();
  successor_->say(std::string(kHolds) + std::to_string(most.clients) + " " + std::to_string(most.workers) +
                  " " + std::to_string(most.bytes));
  tell_.expires_after(kTellEvery);
  tell_.async_wait([this](const Error& error) {
    if (!error) tellHoldings();
  });
}

}  // namespace lilacmux
