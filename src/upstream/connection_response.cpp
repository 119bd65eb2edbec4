// How a connection reads a response: its head, a body that is buffered or streamed, and its end.
#include <algorithm>
#include <cstdint>
#include <limits>
#include <string_view>
#include <utility>

#include "upstream/connection.hpp"

namespace lilacmux {
namespace {

using asio::ip::tcp;

constexpr std::uint64_t kUnknown = std::numeric_limits<std::uint64_t>::max();  // a response's length
constexpr std::size_t kMaxOpenIds = 16;  // of requests that were answered on one connection and not for good
// What a server sends in one go follows within this time.
constexpr auto kBytesBehindWithin = std::chrono::milliseconds(10);

}  // namespace

void UpstreamConnectionPool::Connection::more() {
  if (!streaming_ || !busy_ || (reading_ && !parser_->is_done())) return;
  if (peerClosed_ && !parser_->is_done()) return end(AttemptResult::reset);
  forward();
}

void UpstreamConnectionPool::Connection::await() {
  responseBegun_ = awaitsBytesBehind_ = false;
  examined_ = 0;
  head_.reset();
  requestedBytes_ = 0;
  parser_.emplace();
  // What is buffered is bounded as it comes; without a limit Beast 1.74 takes no announced length at all.
  parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  parser_->header_limit(kMaxHeader);
}

std::size_t UpstreamConnectionPool::Connection::stepOfBody() const {
  const LinkGate* link = pool_.limits_.link;
  return link ? link->pace().step() : kReadStepOfBody;
}

bool UpstreamConnectionPool::Connection::isBulk() const {
  if (!pool_.limits_.link || !busy_ || !parser_->is_header_done()) return false;
  const auto length = parser_->content_length();
  return streaming_ || (length ? *length : parser_->get().body().size()) > stepOfBody();
}

void UpstreamConnectionPool::Connection::read() {
  if (!isBulk() || requestedBytes_ >= parser_->content_length().value_or(kUnknown)) return readNow();
  reading_ = true;
  timer_.cancel();
  pool_.limits_.link->enter([self = shared_from_this(), this] {
    if (closed_) return;
    if (busy_) awaitMore();
    readNow();
  });
}

void UpstreamConnectionPool::Connection::count(std::size_t n) {
  LinkGate* link = pool_.limits_.link;
  if (!link) return;
  const auto length = isBulk() ? parser_->content_length() : boost::none;
  if (!length) return link->passed(n);
  const std::uint64_t before = requestedBytes_;
  requestedBytes_ =
      std::min<std::uint64_t>(*length, std::max<std::uint64_t>(requestedBytes_, LinkPace::kAhead) + n);
  link->passed(requestedBytes_ - before);
}

void UpstreamConnectionPool::Connection::readNow() {
  const bool body = busy_ && parser_->is_header_done();
  if (!body && in_.size() == 0 && in_.capacity() > 2 * kReadStep) in_.shrink_to_fit();
  reading_ = true;
  socket_.async_read_some(in_.prepare(body ? stepOfBody() : kReadStep),
                          guard([this](const Error& error, std::size_t n) {
                            reading_ = false;
                            in_.commit(n);
                            if (!busy_) return pool_.drop(*this);
                            if (error) return readFailed(error);
                            take(n);
                          }));
}

void UpstreamConnectionPool::Connection::watchIdle() {
  reading_ = true;
  socket_.async_wait(tcp::socket::wait_read, guard([this](const Error& error, std::size_t) {
                       reading_ = false;
                       if (!busy_) return pool_.drop(*this);
                       if (error) return readFailed(error);
                       readNow();
                     }));
}

bool UpstreamConnectionPool::Connection::endsResponse(const Error& error) {
  return error == asio::error::eof && !writeFailed_ && parser_->is_header_done() && parser_->need_eof() &&
         attribution_.examineEnd({}, true) == ResponseAttribution::EndVerdict::whole;
}

void UpstreamConnectionPool::Connection::readFailed(const Error& error) {
  peerClosed_ = true;
  if (awaitsBytesBehind_) return decideEnd(true);
  if (parser_->is_done()) return;  // its last bytes are on their way to the client
  Error failed = error;
  if (endsResponse(error)) {
    failed = {};
    parser_->put_eof(failed);
  }
  if (failed) return end(AttemptResult::reset);
  streaming_ ? forward() : responseComplete();
}

void UpstreamConnectionPool::Connection::awaitMore() {
  if (streaming_) return arm(Clock::now() + pool_.limits_.streamsOnWithin);
  arm(out_.repeatable ? std::min(giveUpAt_, Clock::now() + pool_.limits_.goesOnWithin) : giveUpAt_);
}

void UpstreamConnectionPool::Connection::take(std::size_t n) {
  if (!responseBegun_) firstByteAt_ = Clock::now();
  responseBegun_ = true;
  if (awaitsBytesBehind_) return decideEnd(false);
  if (parser_->is_done()) return;
  awaitMore();
  Error error;
  if (!parser_->is_header_done()) {
    const bool head = feed(*parser_, in_, error, Feed::head);
    if (error) return end(AttemptResult::malformed);
    if (head && !takeHead()) return;
  }
  count(n);
  const bool done = feed(*parser_, in_, error);
  if (error) return end(streaming_ ? AttemptResult::reset : AttemptResult::malformed);
  if (parser_->is_header_done()) {
    if (!examineBody()) return end(streaming_ ? AttemptResult::reset : AttemptResult::malformed);
    if (attribution_.isSurplus()) return discardSurplus(done);
  }
  if (streaming_) return forward();
  auto& body = parser_->get().body();
  // Nobody reads what stands in a response that does not go on.
  if (parser_->is_header_done() && !pool_.reader_.isForwardable(result_)) {
    body.consume(body.size());
    examined_ = 0;
  }
  if (!bytes_.growTo(body.capacity() + in_.capacity())) return end(AttemptResult::malformed);
  if (isLarge()) return result_ == AttemptResult::ok ? stream() : end(AttemptResult::malformed);
  if (done) return completeResponse();
  read();
}

bool UpstreamConnectionPool::Connection::takeHead() {
  using Verdict = ResponseAttribution::HeadVerdict;
  const auto& head = parser_->get();
  const Verdict verdict = attribution_.examineHead(head, parser_->need_eof());
  if (verdict == Verdict::untrusted) end(AttemptResult::malformed);
  if (verdict == Verdict::interim) awaitNextResponse();
  if (verdict == Verdict::untrusted || verdict == Verdict::interim) return false;
  if (verdict == Verdict::surplus) return true;
  result_ = pool_.reader_.read(head, outcome_);
  if (pool_.reader_.isForwardable(result_)) head_ = headOf();
  return true;
}

bool UpstreamConnectionPool::Connection::examineBody() {
  const auto bytes = parser_->get().body().data();
  const std::string_view body(static_cast<const char*>(bytes.data()), bytes.size());
  const std::string_view unseen = body.substr(examined_);
  examined_ = body.size();
  return attribution_.examineBody(unseen);
}

bool UpstreamConnectionPool::Connection::isLarge() const {
  if (!parser_->is_header_done() || !pool_.reader_.isForwardable(result_)) return false;
  const auto length = parser_->content_length();
  return parser_->get().body().size() > kMaxBufferedResponse || (length && *length > kMaxBufferedResponse);
}

void UpstreamConnectionPool::Connection::stream() {
  streaming_ = true;
  giveUpAt_ = Clock::time_point::max();
  if (!pool_.sink_.begun(outcome_.id, *head_)) return end(AttemptResult::cancelled);
  forward();
}

ResponseHead UpstreamConnectionPool::Connection::headOf() const {
  ResponseHead out;
  out.status = static_cast<http::status>(parser_->get().result_int());  // also one that has no name
  out.fields = pool_.reader_.forwardedFields(parser_->get());
  if (const auto length = parser_->content_length()) out.length = *length;
  return out;
}

void UpstreamConnectionPool::Connection::forward() {
  auto& body = parser_->get().body();
  const std::size_t ready = body.size() - std::min(body.size(), attribution_.heldBack());
  if (ready == 0 && parser_->is_done()) return completeResponse();
  if (ready == 0) {
    arm(Clock::now() + pool_.limits_.streamsOnWithin);
    return read();
  }
  timer_.cancel();
  std::string bytes(static_cast<const char*>(body.data().data()), ready);
  body.consume(ready);
  examined_ -= std::min(examined_, ready);
  pool_.sink_.piece(outcome_.id, std::move(bytes));
}

void UpstreamConnectionPool::Connection::discardSurplus(bool done) {
  auto& body = parser_->get().body();
  body.consume(body.size());
  examined_ = 0;
  done ? awaitNextResponse() : read();
}

void UpstreamConnectionPool::Connection::awaitNextResponse() {
  await();
  arm(giveUpAt_);
  if (in_.size() > 0) return take();
  read();
}

void UpstreamConnectionPool::Connection::completeResponse() { decideEnd(peerClosed_); }

void UpstreamConnectionPool::Connection::decideEnd(bool isLast) {
  using Verdict = ResponseAttribution::EndVerdict;
  const auto bytes = in_.data();
  const std::string_view behind(static_cast<const char*>(bytes.data()), bytes.size());
  const Verdict verdict = attribution_.examineEnd(behind, isLast);
  if (verdict == Verdict::undecided) return awaitBytesBehind();
  if (verdict == Verdict::joined) return end(streaming_ ? AttemptResult::reset : AttemptResult::malformed);
  awaitsBytesBehind_ = false;
  attribution_.releaseHeldBack();
  streaming_ && parser_->get().body().size() > 0 ? forward() : responseComplete();
}

void UpstreamConnectionPool::Connection::awaitBytesBehind() {
  awaitsBytesBehind_ = true;
  arm(Clock::now() + kBytesBehindWithin);
  if (!reading_) readNow();
}

void UpstreamConnectionPool::Connection::responseComplete() {
  const auto& answer = parser_->get();
  AttemptEnd whole;
  outcome_.result = result_;
  stamp();
  if (streaming_)  // what is timed is its begin; how long the rest took was the client's part too
    outcome_.elapsed = std::chrono::duration<double, std::milli>(firstByteAt_ - startedAt_).count();
  whole.outcome = outcome_;
  whole.head = std::exchange(head_, std::nullopt);
  whole.body.assign(static_cast<const char*>(answer.body().data().data()), answer.body().size());
  busy_ = false;
  const auto self = shared_from_this();
  if (isReusable()) {
    pool_.keep(self);
    if (!closed_) watchIdle();
  } else {
    pool_.drop(*this);
  }
  pool_.finish(*this, std::move(whole));
}

bool UpstreamConnectionPool::Connection::isReusable() const {
  return headWritten_ && !writing_ && !writeFailed_ && !reading_ && !peerClosed_ && attribution_.isClean() &&
         in_.size() == 0 && parser_->get().keep_alive() && openIds_.size() < kMaxOpenIds;
}

}  // namespace lilacmux
