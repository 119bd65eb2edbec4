#include "upstream/connection.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <string_view>
#include <utility>

namespace lilacmux {
namespace {

using asio::ip::tcp;

// A want of this machine's own, which says nothing of the server.
bool isLocal(const Error& error) {
  using namespace boost::system;
  return error == asio::error::no_descriptors || error == errc::too_many_files_open_in_system ||
         error == asio::error::no_buffer_space || error == asio::error::no_memory ||
         error == errc::address_not_available;
}

double unixNow() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

UpstreamConnectionPool::Connection::Connection(UpstreamConnectionPool& pool, ServerId to,
                                               const tcp::endpoint& at)
    : server(to),
      address(at),
      openedAtMs(unixNow()),
      pool_(pool),
      socket_(pool.io_),
      timer_(pool.io_),
      bytes_(pool.budget_),
      attribution_(pool.reader_) {}

void UpstreamConnectionPool::Connection::begin(RequestId id, unsigned attempt, UpstreamRequest message,
                                               std::optional<Clock::duration> timeout) {
  outcome_ = AttemptOutcome{};
  outcome_.id = id;
  outcome_.attemptIndex = attempt;
  outcome_.server = server;
  startedAt_ = Clock::now();
  giveUpAt_ = timeout ? startedAt_ + *timeout : Clock::time_point::max();
  out_ = std::move(message);
  headWritten_ = writeFailed_ = false;
  busy_ = true;
  streaming_ = false;
  attribution_.begin(out_.id);
  await();
  if (connected_)
    write();
  else
    connect();
}

AttemptOutcome UpstreamConnectionPool::Connection::stop(AttemptResult result) {
  const bool sent = headWritten_ || responseBegun_ || result == AttemptResult::cancelled ||
                    result == AttemptResult::abandoned;
  busy_ = false;
  outcome_.result = sent ? result : AttemptResult::connectFailed;
  stamp();
  return outcome_;
}

bool UpstreamConnectionPool::Connection::isStale() {
  char byte;
  Error error;
  socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

bool UpstreamConnectionPool::Connection::mayRepeat(const std::string& id) const {
  return !id.empty() && std::find(openIds_.begin(), openIds_.end(), id) != openIds_.end();
}

void UpstreamConnectionPool::Connection::rest() {
  // A response that goes to the client is the last of its id; after any other the same request may come
  // again.
  if (result_ != AttemptResult::ok && !out_.id.empty()) openIds_.push_back(out_.id);
  parser_.reset();
  out_ = {};
  bytes_.shrinkTo(0);
  giveUpAt_ = Clock::now() + pool_.limits_.idleFor;
  arm(giveUpAt_);
}

void UpstreamConnectionPool::Connection::close() {
  closed_ = true;
  timer_.cancel();
  Error ignored;
  socket_.close(ignored);
  bytes_.shrinkTo(0);
}

void UpstreamConnectionPool::Connection::stamp() {
  outcome_.elapsed = std::chrono::duration<double, std::milli>(Clock::now() - startedAt_).count();
}

void UpstreamConnectionPool::Connection::arm(Clock::time_point at) {
  if (at == Clock::time_point::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(at);
  timer_.async_wait(guard([this](const Error& error, std::size_t) {
    if (!error && timer_.expiry() <= Clock::now()) expire();
  }));
}

void UpstreamConnectionPool::Connection::expire() {
  if (!busy_) return pool_.drop(*this);
  if (!connected_) return end(AttemptResult::connectFailed);
  if (awaitsBytesBehind_) return isStale() ? awaitBytesBehind() : decideEnd(true);
  if (streaming_) return end(AttemptResult::reset);
  end(responseBegun_ && Clock::now() < giveUpAt_ ? AttemptResult::malformed : AttemptResult::timeout);
}

void UpstreamConnectionPool::Connection::connect() {
  Error error;
  socket_.open(address.protocol(), error);
  if (!error) socket_.set_option(tcp::socket::receive_buffer_size(kReceiveBuffer), error);
  if (error)
    return asio::post(pool_.io_, [self = shared_from_this(), this, error] {
      if (!closed_) connectFailed(error);
    });
  arm(std::min(giveUpAt_, startedAt_ + pool_.limits_.connectTimeout));
  socket_.async_connect(address, guard([this](const Error& failed, std::size_t) {
                          if (failed) return connectFailed(failed);
                          Error ignored;
                          socket_.set_option(tcp::no_delay(true), ignored);
                          socket_.non_blocking(true, ignored);
                          connected_ = true;
                          if (isSuperseded()) return end(AttemptResult::abandoned);
                          if (!pool_.leadsTo(*this)) return end(AttemptResult::connectFailed);
                          if (Clock::now() >= giveUpAt_) return end(AttemptResult::connectFailed);
                          read();
                          write();
                        }));
}

void UpstreamConnectionPool::Connection::connectFailed(const Error& error) {
  end(isLocal(error) ? AttemptResult::abandoned : AttemptResult::connectFailed);
}

void UpstreamConnectionPool::Connection::endHead() {
  if (out_.deadlineField.empty()) return;
  const auto left = std::chrono::floor<std::chrono::milliseconds>(out_.notAfter - Clock::now()).count();
  out_.head.append(out_.deadlineField)
      .append(": ")
      .append(std::to_string(std::max<std::int64_t>(1, left)))
      .append("\r\n\r\n");
}

void UpstreamConnectionPool::Connection::write() {
  arm(giveUpAt_);
  endHead();
  headWritten_ = writing_ = true;
  const std::string_view body = out_.body ? std::string_view(*out_.body) : std::string_view{};
  const std::array<asio::const_buffer, 2> all{asio::buffer(out_.head),
                                              asio::buffer(body.data(), body.size())};
  asio::async_write(socket_, all, guard([this](const Error& error, std::size_t written) {
                      writing_ = false;
                      if (!error) pool_.counters_.attempted(out_.klass);
                      if (!error || !busy_) return;
                      headWritten_ = written >= out_.head.size();
                      writeFailed_ = true;
                      Error ignored;  // the pending read tells the rest, and that ends soon
                      socket_.shutdown(tcp::socket::shutdown_both, ignored);
                    }));
}

void UpstreamConnectionPool::Connection::end(AttemptResult result) {
  AttemptEnd whole;
  whole.outcome = stop(result);
  const auto self = shared_from_this();
  pool_.drop(*this);
  pool_.finish(*this, std::move(whole));
}

}  // namespace lilacmux
