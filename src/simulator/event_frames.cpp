#include "simulator/event_frames.hpp"

#include <bit>
#include <stdexcept>

namespace lilacmux::wire {
namespace {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian");

// Codes of the records of a batch, as the bench documents them.
enum class EventCode : std::uint8_t {
  start = 10,
  members = 20,
  request = 30,
  streamStarted = 40,
  outcome = 50,
  clientLeft = 60,
  timer = 70,
  healthCheckResult = 80,
  peerMessage = 90,
  stop = 100,
  counterAnswer = 110,
  instance = 120,
};

// Codes of the records of a reply.
enum class ActionCode : std::uint8_t {
  send = 10,
  reject = 20,
  fail = 30,
  setTimer = 50,
  log = 90,
  subscribe = 110,
  instance = 140,
};

// How an attempt ended; most are numbers of Linux errors.
enum class OutcomeCode : std::uint8_t {
  ok = 0,
  error = 5,
  full = 11,
  reset = 104,
  timeout = 110,
  connectFailed = 111,
  abandoned = 114,
  cancelled = 125,
};

enum class PhaseCode : std::uint8_t { gone = 0, ready = 1, draining = 2 };

// Sizes in bytes of a server's entry in a list, and of records that the engine has no use for.
constexpr std::size_t kListEntry = 23;
constexpr std::size_t kStreamStarted = 4 + 8 + 6 + 2;
constexpr std::size_t kHealthCheckResult = 1 + 6 + 8;  // a load report follows
constexpr std::size_t kCounterAnswer = 4 + 8 + 8 + 1;

// Reads the fields of records one after the other; throws std::runtime_error at the end of the frame.
class RecordReader {
 public:
  explicit RecordReader(std::string_view bytes) : rest_(bytes) {}

  template <class T>
  T get() {
    T value;
    std::memcpy(&value, bytes(sizeof(T)).data(), sizeof(T));
    return value;
  }
  std::string_view bytes(std::size_t n) {
    if (n > rest_.size()) throw std::runtime_error("wire: a record runs past the end of its frame");
    const auto out = rest_.substr(0, n);
    rest_.remove_prefix(n);
    return out;
  }
  ServerId server() {
    const ServerId address = get<std::uint32_t>();
    return address | ServerId{get<std::uint16_t>()} << 32;
  }
  bool empty() const { return rest_.empty(); }
  std::size_t left() const { return rest_.size(); }

 private:
  std::string_view rest_;
};

AttemptResult result(std::uint8_t code) {
  switch (OutcomeCode{code}) {
    case OutcomeCode::ok:
      return AttemptResult::ok;
    case OutcomeCode::error:
      return AttemptResult::error;
    case OutcomeCode::full:
      return AttemptResult::full;
    case OutcomeCode::timeout:
      return AttemptResult::timeout;
    case OutcomeCode::connectFailed:
      return AttemptResult::connectFailed;
    case OutcomeCode::reset:
      return AttemptResult::reset;
    case OutcomeCode::cancelled:
      return AttemptResult::cancelled;
    case OutcomeCode::abandoned:
      return AttemptResult::abandoned;
    default:
      throw std::runtime_error("wire: unknown outcome " + std::to_string(code));
  }
}

ServerPhase phase(std::uint8_t code) {
  switch (PhaseCode{code}) {
    case PhaseCode::gone:
      return ServerPhase::gone;
    case PhaseCode::ready:
      return ServerPhase::ready;
    case PhaseCode::draining:
      return ServerPhase::draining;
    default:
      throw std::runtime_error("wire: unknown phase " + std::to_string(code));
  }
}

std::vector<double> readReport(RecordReader& in) {
  std::vector<double> out(in.get<std::uint8_t>());
  for (double& value : out) value = in.get<float>();
  return out;
}

void readMembers(RecordReader& in, EventHandler& events) {
  const auto how = in.get<std::uint8_t>();
  if (how > 3) throw std::runtime_error("wire: unknown kind of list " + std::to_string(how));
  in.get<std::uint32_t>();  // the list's version
  const auto rows = in.get<std::uint32_t>();
  if (rows > in.left() / kListEntry) throw std::runtime_error("wire: a list runs past the end of its frame");
  std::vector<ListedServer> list(rows);
  for (ListedServer& entry : list) {
    entry.phase = phase(in.get<std::uint8_t>());
    entry.id = in.server();
    in.get<float>();  // a weight against the others, which nothing here goes by
    entry.zone = in.get<std::uint8_t>();
    entry.kind = in.get<std::uint8_t>();
    entry.startedAt = in.get<double>();
    entry.cell = in.get<std::uint16_t>();
  }
  constexpr ListUpdateKind kKinds[] = {ListUpdateKind::failed, ListUpdateKind::delta, ListUpdateKind::cached,
                                       ListUpdateKind::full};
  events.members(kKinds[how], list);
}

void readRequest(RecordReader& in, EventHandler& events) {
  EngineRequest out;
  out.id = in.get<std::uint32_t>();
  out.classIndex = in.get<std::uint8_t>();
  out.plan = in.get<std::uint32_t>();
  out.tenant = in.get<std::uint64_t>();
  out.expiresAt = in.get<double>();
  out.units = in.get<float>();
  const float set = in.get<float>();
  out.gatewaySetSize = set >= 1 && set < 65536 ? static_cast<unsigned>(set) : 1;
  const float first = in.get<float>();
  out.firstGateway = first >= 0 && first < 65536 ? static_cast<unsigned>(first) : 0;
  in.get<std::uint16_t>();  // state bits
  events.request(out);
}

void readOutcome(RecordReader& in, EventHandler& events) {
  AttemptOutcome out;
  out.id = in.get<std::uint32_t>();
  out.result = result(in.get<std::uint8_t>());
  out.attemptIndex = in.get<std::uint16_t>();
  out.actualUnits = in.get<std::uint16_t>();
  out.server = in.server();
  out.quotaUsePercent = static_cast<int>(in.get<std::uint16_t>()) - 1;
  out.elapsed = in.get<double>();
  out.isRequestFinished = in.get<std::uint8_t>() != 0;
  out.loadReport = readReport(in);
  events.outcome(out);
}

void readRecord(RecordReader& in, EventHandler& events) {
  const auto code = in.get<std::uint8_t>();
  switch (EventCode{code}) {
    case EventCode::instance:
      return events.instance(in.get<std::uint16_t>());
    case EventCode::start: {
      const auto salt = in.get<std::uint64_t>();
      return events.start(salt, in.bytes(in.get<std::uint32_t>()));
    }
    case EventCode::members:
      return readMembers(in, events);
    case EventCode::request:
      return readRequest(in, events);
    case EventCode::timer:
      return events.timer(in.get<std::uint64_t>());
    case EventCode::clientLeft:
      return events.clientLeft(in.get<std::uint32_t>());
    case EventCode::streamStarted:
      in.bytes(kStreamStarted);  // the client owns that attempt now
      return;
    case EventCode::outcome:
      return readOutcome(in, events);
    case EventCode::healthCheckResult:
      in.bytes(kHealthCheckResult);  // the engine sends no health checks
      readReport(in);
      return;
    case EventCode::stop:
      return events.stop();
    case EventCode::counterAnswer:
      in.bytes(kCounterAnswer);  // the engine does not call the counter
      return;
    case EventCode::peerMessage:
      in.get<std::uint32_t>();  // the engine sends no messages to its peers
      in.bytes(in.get<std::uint16_t>());
      return;
    default:
      throw std::runtime_error("wire: unknown record code " + std::to_string(code));
  }
}

}  // namespace

Header readHeader(std::string_view bytes) {
  RecordReader in(bytes);
  Header out;
  out.number = in.get<std::uint32_t>();
  out.clock = in.get<double>();
  out.size = in.get<std::uint32_t>();
  out.records = in.get<std::uint32_t>();
  if (out.size < kBatchHeader || out.size > kMaxFrame)
    throw std::runtime_error("wire: a frame of " + std::to_string(out.size) + " bytes");
  return out;
}

void readRecords(const Header& header, std::string_view body, EventHandler& events) {
  RecordReader in(body);
  for (std::uint32_t i = 0; i < header.records; ++i) readRecord(in, events);
  if (!in.empty()) throw std::runtime_error("wire: bytes left over after the last record");
}

void ReplyWriter::begin(std::uint32_t number) {
  bytes_.clear();
  put(number);
  put(std::uint32_t{0});
  put(std::uint32_t{0});
  records_ = 0;
  instance_ = written_ = -1;
}

const std::string& ReplyWriter::finish() {
  const auto size = static_cast<std::uint32_t>(bytes_.size());
  std::memcpy(bytes_.data() + 4, &size, sizeof size);
  std::memcpy(bytes_.data() + 8, &records_, sizeof records_);
  return bytes_;
}

void ReplyWriter::open(std::uint8_t code) {
  if (instance_ != written_) {
    put(static_cast<std::uint8_t>(ActionCode::instance));
    put(static_cast<std::uint16_t>(instance_));
    written_ = instance_;
    ++records_;
  }
  put(code);
  ++records_;
}

void ReplyWriter::putServer(ServerId server) {
  put(static_cast<std::uint32_t>(server));
  put(static_cast<std::uint16_t>(server >> 32));
}

void ReplyWriter::send(RequestId id, ServerId server, Time timeout) {
  open(static_cast<std::uint8_t>(ActionCode::send));
  put(id);
  putServer(server);
  put(timeout);
}

void ReplyWriter::reject(RequestId id, Time retryAfter) {
  open(static_cast<std::uint8_t>(ActionCode::reject));
  put(id);
  put(retryAfter);
}

void ReplyWriter::fail(RequestId id) {
  open(static_cast<std::uint8_t>(ActionCode::fail));
  put(id);
}

void ReplyWriter::setTimer(Time wait, std::uint64_t tag) {
  open(static_cast<std::uint8_t>(ActionCode::setTimer));
  put(wait);
  put(tag);
}

void ReplyWriter::subscribe() {
  open(static_cast<std::uint8_t>(ActionCode::subscribe));
  put(std::uint8_t{1});
}

void ReplyWriter::log(const std::string& line) {
  open(static_cast<std::uint8_t>(ActionCode::log));
  const auto n = static_cast<std::uint16_t>(line.size() < 65535 ? line.size() : 65535);
  put(n);
  bytes_.append(line, 0, n);
}

}  // namespace lilacmux::wire
