// Runs decision engines under a simulator, which sends events on standard input and gets actions on standard
// output. One engine per gateway instance; they share nothing but the reply that their actions are written
// to. Exit code 1, with one line on standard error: the input is malformed or the reply could not be written.
#include <cstdio>
#include <exception>
#include <map>
#include <stdexcept>
#include <string>

#include "decision/engine_settings.hpp"
#include "simulator/event_frames.hpp"

namespace {

using namespace lilacmux;

class EngineHost : public wire::EventHandler {
 public:
  // Handles all events of a batch; `reply` then holds the answer.
  void batch(const wire::Header& header, std::string_view body) {
    clock_ = header.clock;
    current_ = nullptr;
    number_ = 0;
    reply.begin(header.number);
    wire::readRecords(header, body, *this);
  }
  void instance(unsigned number) override {
    number_ = number;
    const auto found = engines_.find(number);
    current_ = found == engines_.end() ? nullptr : &found->second;
    reply.by(number);
  }
  void start(std::uint64_t salt, std::string_view settings) override {
    engines_.erase(number_);
    current_ = &engines_.emplace(number_, DecisionEngine(parseEngineSettings(settings), salt, clock_, reply))
                    .first->second;
  }
  void members(ListUpdateKind kind, const std::vector<ListedServer>& list) override {
    live().updateServers(clock_, kind, list);
  }
  void request(const EngineRequest& request) override { live().handleRequest(clock_, request); }
  void outcome(const AttemptOutcome& outcome) override { live().handleOutcome(clock_, outcome); }
  void clientLeft(RequestId id) override { live().handleClientDisconnect(clock_, id); }
  void timer(std::uint64_t tag) override { live().handleTimer(clock_, tag); }
  void stop() override {
    engines_.erase(number_);
    current_ = nullptr;
  }

  wire::ReplyWriter reply;

 private:
  DecisionEngine& live() {
    if (!current_) throw std::runtime_error("wire: an event for an instance that was not started");
    return *current_;
  }

  std::map<unsigned, DecisionEngine> engines_;
  DecisionEngine* current_ = nullptr;
  unsigned number_ = 0;
  Time clock_ = 0;
};

// The next batch's header; false: the input has ended in order.
bool readHeader(std::string& bytes, wire::Header& header) {
  bytes.resize(wire::kBatchHeader);
  const std::size_t got = std::fread(bytes.data(), 1, bytes.size(), stdin);
  if (got == 0) return false;
  if (got < bytes.size()) throw std::runtime_error("wire: the input ends inside a frame's header");
  header = wire::readHeader(bytes);
  return true;
}

// Grown in steps, so that a damaged length cannot claim a huge block at once.
void readBody(std::string& bytes, const wire::Header& header) {
  constexpr std::size_t kStep = std::size_t{1} << 22;
  bytes.clear();
  for (std::size_t left = header.size - wire::kBatchHeader; left > 0;) {
    const std::size_t part = left < kStep ? left : kStep;
    const std::size_t at = bytes.size();
    bytes.resize(at + part);
    if (std::fread(bytes.data() + at, 1, part, stdin) < part)
      throw std::runtime_error("wire: the input ends inside a frame");
    left -= part;
  }
}

void write(const std::string& frame) {
  if (std::fwrite(frame.data(), 1, frame.size(), stdout) < frame.size() || std::fflush(stdout) != 0)
    throw std::runtime_error("wire: the reply could not be written");
}

void serve() {
  EngineHost host;
  std::string bytes;
  wire::Header header;
  while (readHeader(bytes, header)) {
    readBody(bytes, header);
    host.batch(header, bytes);
    write(host.reply.finish());
  }
}

}  // namespace

int main() {
  try {
    serve();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "decision_simulator: %s\n", error.what());
    return 1;
  }
}
