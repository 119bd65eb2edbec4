#include "http/client_connection.hpp"

#include <algorithm>

namespace lilacmux {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t kMaxReadAhead = std::size_t{4} * 1024;  // bytes read of what follows a pending request
constexpr auto kHalfSentAtStop = 500ms;  // what is left to a half-sent request at the end of a drain
constexpr Time kFullRetryAfter = 1000;   // ms

http::status statusOf(const Error& error) {
  if (error == http::error::body_limit) return http::status::payload_too_large;
  if (error == http::error::header_limit) return http::status::request_header_fields_too_large;
  return http::status::bad_request;
}

}  // namespace

void ClientServer::Connection::start(Connections::iterator at) {
  at_ = at;
  Error ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  arm(server_.limits_.wholeWithin);
  read();
  server_.accept();
}

void ClientServer::Connection::close() {
  if (state_ == State::closed) return;
  const bool held = state_ == State::pending || state_ == State::streaming;
  const auto self = shared_from_this();
  const auto ahead = std::move(pipelined_);
  abandon();
  server_.remove(phase_, at_);
  if (held) server_.handler_.left(id_);
  for (const auto& each : ahead) {
    const bool open = !each->ended();
    each->forget();
    if (open) server_.handler_.left(each->id);
  }
}

void ClientServer::Connection::abandon() {
  state_ = State::closed;
  timer_.cancel();
  Error ignored;
  socket_.close(ignored);
  bytes_.shrinkTo(0);
  for (const auto& each : pipelined_) each->forget();
  pipelined_.clear();
}

void ClientServer::Connection::finishUp() {
  Error error;
  if (state_ == State::reading && !begun() && socket_.available(error) == 0) return close();
  if (state_ == State::reading && server_.draining_) arm(kHalfSentAtStop);
}

void ClientServer::Connection::moveTo(Phase phase) {
  auto& to = server_.connections_[phase];
  to.splice(to.end(), server_.connections_[phase_], at_);
  phase_ = phase;
}

void ClientServer::Connection::arm(std::chrono::milliseconds span) {
  timer_.expires_after(span);
  timer_.async_wait(guard([this](const Error& error, std::size_t) {
    if (!error && timer_.expiry() <= Clock::now()) expire();
  }));
}

void ClientServer::Connection::expire() {
  if (state_ == State::reading && begun()) return reject({http::status::request_timeout, "too slow"});
  if ((state_ == State::responding || state_ == State::streaming) && call_)
    server_.counters_.failed(call_->klass);
  if (state_ != State::pending) close();
}

void ClientServer::Connection::listen() {
  state_ = State::reading;
  parser_.reset();
  call_.reset();
  bytes_.shrinkTo(in_.capacity());
  moveTo(idle);
  arm(server_.limits_.idleFor);
  server_.accept();
}

void ClientServer::Connection::read() {
  readPending_ = true;
  if (in_.size() == 0 && in_.capacity() > 2 * kReadStep) in_.shrink_to_fit();
  socket_.async_wait(tcp::socket::wait_read, guard([this](const Error& failed, std::size_t) {
                       readPending_ = false;
                       if (failed) return close();
                       Error error;
                       const std::size_t n = socket_.read_some(in_.prepare(kReadStep), error);
                       if (error == asio::error::would_block) return read();
                       if (error) return close();
                       in_.commit(n);
                       received_ += n;
                       readAt_ = Clock::now();
                       bytesReceived(n);
                       if (!readPending_ && wantsMore()) read();
                     }));
}

bool ClientServer::Connection::wantsMore() const {
  return state_ == State::reading || (state_ != State::closed && in_.size() < kMaxReadAhead);
}

void ClientServer::Connection::bytesReceived(std::size_t n) {
  if (state_ == State::reading) return parse();
  if (state_ != State::lingering) {
    arrivals_.note(received_, readAt_);
    return lookAhead();
  }
  in_.clear();
  lingered_ += n;
  if (lingered_ > server_.limits_.lingerBytes) close();
}

void ClientServer::Connection::parse() {
  if (!parser_) begin();
  Error error;
  if (!parser_->is_header_done()) {
    const bool head = feed(*parser_, in_, error, Feed::head);
    if (error) return reject({statusOf(error), "malformed request"});
    if (!head || !acceptHead()) return;
  }
  const bool done = feed(*parser_, in_, error);
  if (error) return reject({statusOf(error), "malformed request"});
  if (!fits(parser_->get().body().capacity())) return;
  if (done) return handle(parser_->release());
  const auto earned =
      std::chrono::milliseconds(1000 * (received_ - bodyFrom_) / server_.limits_.bodyBytesPerSecond);
  arm(std::chrono::ceil<std::chrono::milliseconds>(bodyAt_ + server_.limits_.bodyWithin + earned -
                                                   Clock::now()));
}

void ClientServer::Connection::begin() {
  if (phase_ == idle) {
    moveTo(unfinished);
    arm(server_.limits_.wholeWithin);
  }
  parser_.emplace();
  parser_->body_limit(server_.limits_.maxBody);
  parser_->header_limit(static_cast<std::uint32_t>(server_.limits_.maxHeader));
}

bool ClientServer::Connection::acceptHead() {
  const auto& head = parser_->get();
  closeAfterResponse_ = !head.keep_alive();
  version_ = head.version();
  bodyAt_ = Clock::now();
  bodyFrom_ = received_;
  if (!isHealth(head) && !call(head)) return false;
  const auto length = parser_->content_length();
  if (!fits(length ? static_cast<std::size_t>(*length) : 0)) return false;
  if (beast::iequals(head[http::field::expect], "100-continue") && !parser_->is_done()) sendContinue();
  return true;
}

bool ClientServer::Connection::isHealth(const ClientMessage& message) const {
  return server_.handler_.isReadinessCheck(message) && plainFraming(message);
}

bool ClientServer::Connection::call(const ClientMessage& message) {
  const auto read = server_.handler_.read(message);
  if (const auto* wrong = std::get_if<Rejection>(&read)) return reject(*wrong), false;
  call_ = std::get<Call>(read);
  return true;
}

bool ClientServer::Connection::fits(std::size_t body) {
  if (bytes_.growTo(in_.capacity() + body)) return true;
  closeAfterResponse_ = true;
  say(http::status::service_unavailable, "out of room", kFullRetryAfter);
  return false;
}

void ClientServer::Connection::handle(ClientMessage&& message) {
  if (!call_) return sayReady(message.method());
  // With the body, trailers may have brought more headers, and the same id may have come elsewhere. One in
  // chunks may be empty and still have come later than the head.
  const bool atOnce = message.body().empty() && !message.chunked();
  if (!atOnce && !call(message)) return;
  timer_.cancel();
  moveTo(busy);
  const auto at = arrivals_.of(received_ - in_.size(), readAt_);
  call_->patience -= std::chrono::duration<double, std::milli>(Clock::now() - at).count();
  state_ = State::pending;
  id_ = server_.handler_.nextId();
  server_.handler_.take(id_, *call_, std::move(message), shared_from_this());
  lookAhead();
}

void ClientServer::Connection::lookAhead() {
  const bool held = state_ == State::pending || state_ == State::streaming || state_ == State::responding;
  while (held && pipelined_.size() < server_.limits_.maxPipelined && !closeAfterResponse_ && !ending() &&
         in_.size() > 0) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(server_.limits_.maxHeader));
    parser.body_limit(0);
    Error error;
    const std::size_t used = parser.put(in_.data(), error);
    if (error || !parser.is_done()) return;  // it waits for its turn, where what is wrong is told
    const ClientMessage& message = parser.get();
    if (!message.keep_alive() || message.version() < 11 || message.method() != http::verb::get) return;
    const auto read = server_.handler_.read(message);
    const auto* call = std::get_if<Call>(&read);
    if (!call || !call->repeatable || isHealth(message)) return;
    in_.consume(used);
    Call mine = *call;
    const auto came = arrivals_.of(received_ - in_.size(), readAt_);
    mine.patience -= std::chrono::duration<double, std::milli>(Clock::now() - came).count();
    const auto next = std::make_shared<PipelinedRequest>(shared_from_this(), server_.handler_.nextId(), mine);
    pipelined_.push_back(next);
    server_.handler_.take(next->id, mine, parser.release(), next);
  }
}

void ClientServer::Connection::becomeCurrent() {
  const auto next = std::move(pipelined_.front());
  pipelined_.pop_front();
  id_ = next->id;
  call_ = next->call;
  version_ = 11;
  state_ = State::pending;
  timer_.cancel();
  next->becomeCurrent();
  lookAhead();
  if (!readPending_ && wantsMore()) read();
}

}  // namespace lilacmux
