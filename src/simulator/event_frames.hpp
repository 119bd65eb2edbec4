// The frames that a simulator and the decision engine exchange: batches of events and replies with actions.
// All numbers are little-endian.
#pragma once

#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "lilacmux/decision_engine.hpp"

namespace lilacmux::wire {

constexpr std::size_t kBatchHeader = 20;  // bytes
constexpr std::size_t kReplyHeader = 12;
// A longer frame is taken for a damaged one.
constexpr std::size_t kMaxFrame = std::size_t{1} << 30;

// The header of a batch.
struct Header {
  std::uint32_t number = 0;   // of the batch; its reply carries the same
  Time clock = 0;             // of all of its events, ms
  std::uint32_t size = 0;     // bytes of the frame, this header with it
  std::uint32_t records = 0;  // in the frame
};

// Gets what a batch holds, in order, for the gateway instance named last.
class EventHandler {
 public:
  virtual ~EventHandler() = default;
  virtual void instance(unsigned number) = 0;
  virtual void start(std::uint64_t salt, std::string_view settings) = 0;
  virtual void members(ListUpdateKind kind, const std::vector<ListedServer>& list) = 0;
  virtual void request(const EngineRequest& request) = 0;
  virtual void outcome(const AttemptOutcome& outcome) = 0;
  virtual void clientLeft(RequestId id) = 0;
  virtual void timer(std::uint64_t tag) = 0;
  virtual void stop() = 0;
};

// Both throw std::runtime_error with one line on malformed input; events before the malformed one have been
// handled.
Header readHeader(std::string_view bytes);
void readRecords(const Header& header, std::string_view body, EventHandler& events);

// Writes one reply at a time. Its actions are written for the instance named last with `by`.
class ReplyWriter : public EngineActions {
 public:
  // Starts the reply to the batch of this number.
  void begin(std::uint32_t number);
  void by(unsigned instance) { instance_ = instance; }
  // The whole frame; valid until the next reply begins.
  const std::string& finish();

  void send(RequestId id, ServerId server, Time timeout) override;
  void reject(RequestId id, Time retryAfter) override;
  void fail(RequestId id) override;
  void setTimer(Time wait, std::uint64_t tag) override;
  void subscribe() override;
  void log(const std::string& line) override;

 private:
  template <class T>
  void put(T value) {
    char raw[sizeof(T)];
    std::memcpy(raw, &value, sizeof(T));
    bytes_.append(raw, sizeof(T));
  }
  void open(std::uint8_t code);
  void putServer(ServerId server);

  std::string bytes_;
  std::uint32_t records_ = 0;
  long instance_ = -1;  // -1: none yet
  long written_ = -1;   // the instance that the last record was written for
};

}  // namespace lilacmux::wire
