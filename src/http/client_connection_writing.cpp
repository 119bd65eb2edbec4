// How a client connection writes responses: whole ones, streams, and those of its own.
#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "http/client_connection.hpp"

namespace lilacmux {
namespace {

using asio::ip::tcp;

std::string seconds(Time ms) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, ms / 1000, std::chars_format::fixed, 3).ptr;
  return std::string(text, end);
}

std::string hexOf(std::size_t value) {
  char text[17];
  return {text, std::to_chars(text, text + sizeof text, value, 16).ptr};
}

}  // namespace

void ClientServer::Connection::answer(Response&& answer) {
  if (state_ != State::pending) return;
  http::response<http::empty_body> head(answer.status, 11);
  take(head, answer.fields);
  if (answer.retryAfter > 0) head.set(http::field::retry_after, seconds(answer.retryAfter));
  closeAfterResponse_ = closeAfterResponse_ || (ending() && pipelined_.empty());
  head.keep_alive(!closeAfterResponse_);
  head.content_length(answer.body.size());
  state_ = State::responding;
  status_ = answer.status;
  append(out_, head);
  body_ = std::move(answer.body);
  bytes_.shrinkTo(in_.capacity() + body_.size());
  write();
}

void ClientServer::Connection::begin(const ResponseHead& begun) {
  if (state_ != State::pending) return;
  http::response<http::empty_body> head(begun.status, 11);
  take(head, begun.fields);
  const auto length = begun.length;
  chunked_ = !length && version_ >= 11;
  closeAfterResponse_ = closeAfterResponse_ || (ending() && pipelined_.empty()) || (!length && !chunked_);
  head.keep_alive(!closeAfterResponse_);
  if (length) head.content_length(*length);
  if (chunked_) head.chunked(true);
  endsByClose_ = !length && !chunked_;
  if (endsByClose_) resetAtEnd(true);
  state_ = State::streaming;
  status_ = begun.status;
  append(out_, head, Written::head);
  bytes_.shrinkTo(in_.capacity());
}

void ClientServer::Connection::piece(std::string&& bytes) {
  if (state_ != State::streaming) return;
  body_ = std::move(bytes);
  if (chunked_) out_ += hexOf(body_.size()) + "\r\n", body_ += "\r\n";
  write();
}

void ClientServer::Connection::finish() {
  if (state_ != State::streaming) return;
  state_ = State::responding;
  if (chunked_) out_ += "0\r\n\r\n";
  out_.empty() ? written() : write();
}

void ClientServer::Connection::abortStream() {
  if (state_ != State::streaming) return;
  if (call_) server_.counters_.failed(call_->klass);
  resetAtEnd(true);
  state_ = State::responding;  // the handler knows
  close();
}

void ClientServer::Connection::resetAtEnd(bool yes) {
  Error ignored;
  socket_.set_option(asio::socket_base::linger(yes, 0), ignored);
}

void ClientServer::Connection::take(http::response<http::empty_body>& head, const http::fields& fields) {
  for (const auto& field : fields) head.insert(field.name_string(), field.value());
}

void ClientServer::Connection::sendContinue() {
  append(out_, http::response<http::empty_body>(http::status::continue_, 11));
  write();
}

void ClientServer::Connection::sayReady(http::verb method) {
  if (method != http::verb::get) return reject({http::status::method_not_allowed, "only GET"});
  const bool leaving = server_.draining_ && !server_.retired_;  // retired, its address is served
  const bool ready = server_.handler_.ready() && !leaving && !server_.away_;
  say(ready ? http::status::ok : http::status::service_unavailable, ready ? "ready" : "not ready");
}

void ClientServer::Connection::reject(const Rejection& why) {
  closeAfterResponse_ = true;
  say(why.status, why.why);
}

void ClientServer::Connection::say(http::status status, std::string_view what, Time retryAfter) {
  state_ = State::pending;
  Response text;
  text.status = status;
  text.body = std::string(what) + "\n";
  text.fields = plainText();
  text.retryAfter = retryAfter;
  answer(std::move(text));
}

void ClientServer::Connection::write() {
  if (writePending_) return;
  writePending_ = true;
  writing_.swap(out_);
  bodyWritten_ = 0;
  writeStep();
}

std::size_t ClientServer::Connection::mostAtOnce() const {
  return server_.limits_.link ? server_.limits_.link->pace().step() : body_.size();
}

void ClientServer::Connection::writeStep() {
  const bool bulk = (state_ == State::responding || state_ == State::streaming) && !body_.empty();
  if (!bulk || !server_.limits_.link || body_.size() < mostAtOnce() / 2) return writeNow();
  timer_.cancel();
  server_.limits_.link->enter([self = shared_from_this(), this] {
    if (state_ != State::closed) writeNow();
  });
}

void ClientServer::Connection::writeNow() {
  const bool whole = state_ == State::responding, part = state_ == State::streaming;
  if (whole || part) arm(server_.limits_.writeWithin);
  const std::size_t left = whole || part ? body_.size() - bodyWritten_ : 0;
  const std::array<asio::const_buffer, 2> all{
      asio::buffer(writing_), asio::buffer(body_.data() + bodyWritten_, std::min(left, mostAtOnce()))};
  asio::async_write(socket_, all, guard([this, whole, part](const Error& error, std::size_t n) {
                      if (error) return close();
                      if (server_.limits_.link) server_.limits_.link->passed(n);
                      bodyWritten_ += n - writing_.size();
                      writing_.clear();
                      if ((whole || part) && bodyWritten_ < body_.size()) return writeStep();
                      writePending_ = false;
                      if (whole) return written();
                      if (part) return partWritten();
                      if (!out_.empty()) write();
                    }));
}

void ClientServer::Connection::partWritten() {
  timer_.cancel();
  body_ = {};
  server_.handler_.wantsMore(id_);
}

void ClientServer::Connection::written() {
  if (call_) server_.counters_.responded(call_->klass, status_);
  if (std::exchange(endsByClose_, false)) resetAtEnd(false);
  body_ = {};
  if (closeAfterResponse_) return linger();
  if (!pipelined_.empty()) return becomeCurrent();
  listen();
  if (in_.size() > 0) parse();
  if (!readPending_ && wantsMore()) read();
}

void ClientServer::Connection::linger() {
  state_ = State::lingering;
  moveTo(unfinished);
  Error ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  in_.clear();
  arm(server_.limits_.lingerFor);
  if (!readPending_) read();
}

}  // namespace lilacmux
