#include "http/client_server.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>
#include <deque>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "net/acceptor.hpp"

namespace lilacmux {
namespace {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr std::size_t kMostAhead = 4 * 1024;  // read of what follows a request that is held
constexpr std::size_t kMostMarks = 16;        // of when that came
constexpr unsigned kAcceptedAtOnce = 16;      // connections taken in one turn of the loop
constexpr auto kAcceptPause = 50ms;           // after an accept that failed for want of descriptors
constexpr auto kHalfSentAtStop = 500ms;       // what is left to a half-sent request at the end of a drain
constexpr Time kFullRetryAfter = 1000;

std::string seconds(Time ms) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, ms / 1000, std::chars_format::fixed, 3).ptr;
  return std::string(text, end);
}

http::status statusOf(const Error& error) {
  if (error == http::error::body_limit) return http::status::payload_too_large;
  if (error == http::error::header_limit) return http::status::request_header_fields_too_large;
  return http::status::bad_request;
}

std::string hexOf(std::size_t value) {
  char text[17];
  return {text, std::to_chars(text, text + sizeof text, value, 16).ptr};
}

// When bytes came that were read ahead. A request's time counts from its last byte, also while it waits
// behind another one.
class Arrivals {
 public:
  void note(std::size_t upTo, Clock::time_point at) {
    if (marks_.size() < kMostMarks)
      marks_.push_back({upTo, at});
    else
      marks_.back().upTo = upTo;  // held to have come earlier than it did
  }
  // The time of the byte that ends at `upTo`; `latest` if it was not read ahead. Forgets what came before it.
  Clock::time_point of(std::size_t upTo, Clock::time_point latest) {
    std::erase_if(marks_, [&](const Mark& mark) { return mark.upTo < upTo; });
    return marks_.empty() ? latest : marks_.front().at;
  }

 private:
  struct Mark {
    std::size_t upTo;
    Clock::time_point at;
  };
  std::vector<Mark> marks_;
};

}  // namespace

// A request read ahead of its turn. What comes of it stands here until then.
class ClientServer::Ahead : public ResponseWriter {
 public:
  Ahead(std::shared_ptr<Connection> connection, RequestId number, const Call& what)
      : id(number), call(what), connection_(std::move(connection)) {}

  void answer(Answer&& answer) override;
  void begin(const AnswerHead& head) override;
  void piece(std::string&& bytes) override;
  void finish() override;
  void breakOff() override;

  // Its turn has come: hands on what is there, and from here on all that comes.
  void turn();
  bool ended() const { return answer_ || finished_ || broken_; }
  void forget() { connection_.reset(); }

  const RequestId id;
  const Call call;

 private:
  std::shared_ptr<Connection> connection_;  // until it has ended
  bool its_ = false;                        // its turn
  std::optional<Answer> answer_;
  std::optional<AnswerHead> begun_;
  std::optional<std::string> piece_;
  bool finished_ = false, broken_ = false;
};

// One client connection: requests are answered in the order in which they come. A request is checked by its
// head, so that what is wrong is turned away before its body has come; the connection ends with that.
class ClientServer::Connection : public ResponseWriter, public std::enable_shared_from_this<Connection> {
 public:
  Connection(ClientServer& server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)), timer_(socket_.get_executor()), bytes_(server.budget_) {}

  void start(Connections::iterator at) {
    at_ = at;
    Error ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    arm(server_.limits_.wholeWithin);
    read();
    server_.accept();
  }

  void answer(Answer&& answer) override {
    if (state_ != State::held) return;
    http::response<http::empty_body> head(answer.status, 11);
    take(head, answer.fields);
    if (answer.retryAfter > 0) head.set(http::field::retry_after, seconds(answer.retryAfter));
    last_ = last_ || (ending() && ahead_.empty());
    head.keep_alive(!last_);
    head.content_length(answer.body.size());
    state_ = State::answering;
    status_ = answer.status;
    append(out_, head);
    body_ = std::move(answer.body);
    bytes_.shrinkTo(in_.capacity() + body_.size());
    write();
  }

  void begin(const AnswerHead& begun) override {
    if (state_ != State::held) return;
    http::response<http::empty_body> head(begun.status, 11);
    take(head, begun.fields);
    const auto length = begun.length;
    chunked_ = !length && version_ >= 11;
    last_ = last_ || (ending() && ahead_.empty()) || (!length && !chunked_);
    head.keep_alive(!last_);
    if (length) head.content_length(*length);
    if (chunked_) head.chunked(true);
    endsByClose_ = !length && !chunked_;
    if (endsByClose_) resetAtEnd(true);
    state_ = State::streaming;
    status_ = begun.status;
    append(out_, head, Written::head);
    bytes_.shrinkTo(in_.capacity());
  }

  void piece(std::string&& bytes) override {
    if (state_ != State::streaming) return;
    body_ = std::move(bytes);
    if (chunked_) out_ += hexOf(body_.size()) + "\r\n", body_ += "\r\n";
    write();
  }

  void finish() override {
    if (state_ != State::streaming) return;
    state_ = State::answering;
    if (chunked_) out_ += "0\r\n\r\n";
    out_.empty() ? written() : write();
  }

  // Where only the connection's end would tell that the answer was whole, it must not look like one.
  void breakOff() override {
    if (state_ != State::streaming) return;
    if (call_) server_.figures_.broken(call_->klass);
    resetAtEnd(true);
    state_ = State::answering;  // the handler knows
    close();
  }

  void close() {
    if (state_ == State::closed) return;
    const bool held = state_ == State::held || state_ == State::streaming;
    const auto self = shared_from_this();
    const auto ahead = std::move(ahead_);
    abandon();
    server_.remove(standing_, at_);
    if (held) server_.handler_.left(id_);
    for (const auto& each : ahead) {
      const bool open = !each->ended();
      each->forget();
      if (open) server_.handler_.left(each->id);
    }
  }

  // Ends it and tells nobody.
  void abandon() {
    state_ = State::closed;
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
    bytes_.shrinkTo(0);
    for (const auto& each : ahead_) each->forget();
    ahead_.clear();
  }

  // The end of a drain: ends a connection without a request, unless one has come unread.
  void finishUp() {
    Error error;
    if (state_ == State::reading && !begun() && socket_.available(error) == 0) return close();
    if (state_ == State::reading && server_.draining_) arm(kHalfSentAtStop);
  }

 private:
  enum class State { reading, held, streaming, answering, lingering, closed };

  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t n = 0) {
      if (state_ != State::closed) handler(error, n);
    };
  }

  // Whether the connection is reset where it ends now, whoever ends it: a timer, the client's own silence, or
  // the end of this process. Where nothing but an orderly end tells that an answer is whole, it is until
  // then.
  void resetAtEnd(bool yes) {
    Error ignored;
    socket_.set_option(asio::socket_base::linger(yes, 0), ignored);
  }

  static void take(http::response<http::empty_body>& head, const http::fields& fields) {
    for (const auto& field : fields) head.insert(field.name_string(), field.value());
  }

  bool begun() const { return parser_ || in_.size() > 0; }

  void stand(Standing standing) {
    auto& to = server_.connections_[standing];
    to.splice(to.end(), server_.connections_[standing_], at_);
    standing_ = standing;
  }

  void arm(std::chrono::milliseconds span) {
    timer_.expires_after(span);
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error && timer_.expiry() <= Clock::now()) expire();
    }));
  }

  void expire() {
    if (state_ == State::reading && begun()) return reject({http::status::request_timeout, "too slow"});
    if ((state_ == State::answering || state_ == State::streaming) && call_)
      server_.figures_.broken(call_->klass);
    if (state_ != State::held) close();
  }

  // Ready for the next request.
  void listen() {
    state_ = State::reading;
    parser_.reset();
    call_.reset();
    bytes_.shrinkTo(in_.capacity());
    stand(idle);
    arm(server_.limits_.idleFor);
    server_.accept();
  }

  // One wait for bytes is pending in every state, so that the end of a client is seen while its request is
  // held. Only a wait: bytes that were read ahead are parsed meanwhile, which moves the buffer.
  void read() {
    reading_ = true;
    if (in_.size() == 0 && in_.capacity() > 2 * kReadStep) in_.shrink_to_fit();
    socket_.async_wait(tcp::socket::wait_read, guard([this](const Error& failed, std::size_t) {
                         reading_ = false;
                         if (failed) return close();
                         Error error;
                         const std::size_t n = socket_.read_some(in_.prepare(kReadStep), error);
                         if (error == asio::error::would_block) return read();
                         if (error) return close();
                         in_.commit(n);
                         received_ += n;
                         readAt_ = Clock::now();
                         came(n);
                         if (!reading_ && wantsMore()) read();
                       }));
  }

  bool wantsMore() const {
    return state_ == State::reading || (state_ != State::closed && in_.size() < kMostAhead);
  }

  void came(std::size_t n) {
    if (state_ == State::reading) return parse();
    if (state_ != State::lingering) {
      arrivals_.note(received_, readAt_);
      return lookAhead();
    }
    in_.clear();
    lingered_ += n;
    if (lingered_ > server_.limits_.lingerBytes) close();
  }

  void parse() {
    if (!parser_) begin();
    Error error;
    if (!parser_->is_header_done()) {
      const bool head = feed(*parser_, in_, error, Feed::head);
      if (error) return reject({statusOf(error), "malformed request"});
      if (!head || !welcome()) return;
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

  // A request's first byte.
  void begin() {
    if (standing_ == idle) {
      stand(unfinished);
      arm(server_.limits_.wholeWithin);
    }
    parser_.emplace();
    parser_->body_limit(server_.limits_.mostBody);
    parser_->header_limit(static_cast<std::uint32_t>(server_.limits_.mostHeader));
  }

  // The head is whole. Whether the request may go on.
  bool welcome() {
    const auto& head = parser_->get();
    last_ = !head.keep_alive();
    version_ = head.version();
    bodyAt_ = Clock::now();
    bodyFrom_ = received_;
    if (!isHealth(head) && !call(head)) return false;
    const auto length = parser_->content_length();
    if (!fits(length ? static_cast<std::size_t>(*length) : 0)) return false;
    if (beast::iequals(head[http::field::expect], "100-continue") && !parser_->is_done()) sendContinue();
    return true;
  }

  bool ending() const { return server_.draining_ || server_.away_ || server_.retired_; }

  bool isHealth(const ClientMessage& message) const {
    return server_.handler_.asksReadiness(message) && plainFraming(message);
  }

  // Reads the head as one of the service, or rejects it.
  bool call(const ClientMessage& message) {
    const auto read = server_.handler_.read(message);
    if (const auto* wrong = std::get_if<Rejection>(&read)) return reject(*wrong), false;
    call_ = std::get<Call>(read);
    return true;
  }

  // Whether there is room for a body of this size; else the client may come back.
  bool fits(std::size_t body) {
    if (bytes_.growTo(in_.capacity() + body)) return true;
    last_ = true;
    say(http::status::service_unavailable, "out of room", kFullRetryAfter);
    return false;
  }

  void sendContinue() {
    append(out_, http::response<http::empty_body>(http::status::continue_, 11));
    write();
  }

  void handle(ClientMessage&& message) {
    if (!call_) return sayReady(message.method());
    // With the body, trailers may have brought more headers, and the same id may have come elsewhere. One in
    // chunks may be empty and still have come later than the head.
    const bool atOnce = message.body().empty() && !message.chunked();
    if (!atOnce && !call(message)) return;
    timer_.cancel();
    stand(busy);
    const auto at = arrivals_.of(received_ - in_.size(), readAt_);
    call_->patience -= std::chrono::duration<double, std::milli>(Clock::now() - at).count();
    state_ = State::held;
    id_ = server_.handler_.nextId();
    server_.handler_.take(id_, *call_, std::move(message), shared_from_this());
    lookAhead();
  }

  // Hands over what has come whole behind the request whose turn it is, as long as that needs nothing of the
  // connection but its answer's place.
  void lookAhead() {
    const bool held = state_ == State::held || state_ == State::streaming || state_ == State::answering;
    while (held && ahead_.size() < server_.limits_.ahead && !last_ && !ending() && in_.size() > 0) {
      http::request_parser<http::string_body> parser;
      parser.header_limit(static_cast<std::uint32_t>(server_.limits_.mostHeader));
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
      const auto next = std::make_shared<Ahead>(shared_from_this(), server_.handler_.nextId(), mine);
      ahead_.push_back(next);
      server_.handler_.take(next->id, mine, parser.release(), next);
    }
  }

  // The next of those that were read ahead.
  void turn() {
    const auto next = std::move(ahead_.front());
    ahead_.pop_front();
    id_ = next->id;
    call_ = next->call;
    version_ = 11;
    state_ = State::held;
    timer_.cancel();
    next->turn();
    lookAhead();
    if (!reading_ && wantsMore()) read();
  }

  void sayReady(http::verb method) {
    if (method != http::verb::get) return reject({http::status::method_not_allowed, "only GET"});
    const bool leaving = server_.draining_ && !server_.retired_;  // retired, its address is served
    const bool ready = server_.handler_.ready() && !leaving && !server_.away_;
    say(ready ? http::status::ok : http::status::service_unavailable, ready ? "ready" : "not ready");
  }

  void reject(const Rejection& why) {
    last_ = true;
    say(why.status, why.why);
  }

  // An answer from here: the request never reaches the handler.
  void say(http::status status, std::string_view what, Time retryAfter = 0) {
    state_ = State::held;
    Answer text;
    text.status = status;
    text.body = std::string(what) + "\n";
    text.fields = plainText();
    text.retryAfter = retryAfter;
    answer(std::move(text));
  }

  void write() {
    if (writes_) return;
    writes_ = true;
    writing_.swap(out_);
    bodyWritten_ = 0;
    writeStep();
  }

  std::size_t mostAtOnce() const {
    return server_.limits_.link ? server_.limits_.link->pace().step() : body_.size();
  }

  // The head, and what there is of the body; of a large one as much as goes through the link in one step.
  void writeStep() {
    const bool bulk = (state_ == State::answering || state_ == State::streaming) && body_.size() > 0;
    if (!bulk || !server_.limits_.link || body_.size() < mostAtOnce() / 2) return writeNow();
    timer_.cancel();
    server_.limits_.link->enter([self = shared_from_this(), this] {
      if (state_ != State::closed) writeNow();
    });
  }

  void writeNow() {
    const bool whole = state_ == State::answering, part = state_ == State::streaming;
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
                        writes_ = false;
                        if (whole) return written();
                        if (part) return partWritten();
                        if (!out_.empty()) write();
                      }));
  }

  void partWritten() {
    timer_.cancel();
    body_ = {};
    server_.handler_.wantsMore(id_);
  }

  void written() {
    if (call_) server_.figures_.ended(call_->klass, status_);
    if (std::exchange(endsByClose_, false)) resetAtEnd(false);
    body_ = {};
    if (last_) return linger();
    if (!ahead_.empty()) return turn();
    listen();
    if (in_.size() > 0) parse();
    if (!reading_ && wantsMore()) read();
  }

  // The answer's end is told at once; the connection goes when the client has seen it, so that bytes that it
  // was still sending do not reset what it has not read yet. A client that just goes on sending is cut off.
  void linger() {
    state_ = State::lingering;
    stand(unfinished);
    Error ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    in_.clear();
    arm(server_.limits_.lingerFor);
    if (!reading_) read();
  }

  ClientServer& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  MemoryBudget::Share bytes_;
  beast::flat_buffer in_;
  std::optional<http::request_parser<http::string_body>> parser_;  // from a request's first byte on
  std::optional<Call> call_;                                       // once its head is read
  std::deque<std::shared_ptr<Ahead>> ahead_;                       // in the order of their turns
  std::string out_, writing_, body_;
  std::size_t bodyWritten_ = 0;
  State state_ = State::reading;
  http::status status_ = http::status::ok;  // of the answer under way
  Standing standing_ = unfinished;
  Connections::iterator at_;
  Arrivals arrivals_;
  std::size_t received_ = 0;  // bytes, ever
  std::size_t lingered_ = 0;
  Clock::time_point readAt_;
  RequestId id_ = 0;
  bool last_ = false;  // the connection ends with the next answer
  bool reading_ = false;
  bool writes_ = false;
  bool chunked_ = false;      // the large answer under way
  bool endsByClose_ = false;  // the same: nothing else tells its end
  unsigned version_ = 11;     // of the request's HTTP
  Clock::time_point bodyAt_;  // its head was whole
  std::size_t bodyFrom_ = 0;
};

void ClientServer::Ahead::answer(Answer&& answer) {
  if (its_ && connection_) return std::exchange(connection_, nullptr)->answer(std::move(answer));
  answer_ = std::move(answer);
}

void ClientServer::Ahead::begin(const AnswerHead& head) {
  if (its_ && connection_) return connection_->begin(head);
  begun_ = head;
}

void ClientServer::Ahead::piece(std::string&& bytes) {
  if (its_ && connection_) return connection_->piece(std::move(bytes));
  piece_ = std::move(bytes);
}

void ClientServer::Ahead::finish() {
  if (its_ && connection_) return std::exchange(connection_, nullptr)->finish();
  finished_ = true;
}

void ClientServer::Ahead::breakOff() {
  if (its_ && connection_) return std::exchange(connection_, nullptr)->breakOff();
  broken_ = true;
}

void ClientServer::Ahead::turn() {
  its_ = true;
  const auto connection = connection_;
  if (ended()) connection_.reset();
  if (answer_) return connection->answer(std::move(*answer_));
  if (!begun_) return;
  connection->begin(*begun_);
  if (broken_) return connection->breakOff();
  if (piece_) return connection->piece(std::move(*piece_));  // one at most: the next is asked for
  if (finished_) connection->finish();
}

ClientServer::ClientServer(asio::io_context& io, const tcp::endpoint& address, const Limits& limits,
                           MemoryBudget& budget, Figures& figures, RequestHandler& handler)
    : address_(address),
      limits_(limits),
      budget_(budget),
      figures_(figures),
      handler_(handler),
      acceptor_(io),
      pause_(io),
      sweep_(io),
      most_(limits.connections) {}

ClientServer::~ClientServer() {
  for (const auto& list : connections_)
    for (const auto& connection : list) connection->abandon();
}

void ClientServer::listen(int inherited) {
  try {
    if (inherited >= 0) {
      acceptor_.assign(address_.protocol(), inherited);
    } else {
      acceptor_.open(address_.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      // Where the link to a predecessor fails, the next process still gets its place.
      acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
      acceptor_.set_option(tcp::acceptor::receive_buffer_size(kReceiveBuffer));  // connections inherit it
      acceptor_.set_option(tcp::acceptor::send_buffer_size(kSendBuffer));
      acceptor_.bind(address_);
      acceptor_.listen();
    }
    acceptor_.non_blocking(true);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(std::string("cannot listen: ") + error.what());
  }
}

void ClientServer::start() {
  started_ = true;
  accept();
}

std::size_t ClientServer::connections() const {
  std::size_t sum = 0;
  for (const auto& list : connections_) sum += list.size();
  return sum;
}

// At the limit an unfinished or idle connection makes room for one that comes, but not before it does; where
// there is none, the next one to turn idle or end does.
bool ClientServer::hasRoom() const { return connections() < most_ || oldestToSpare(); }

void ClientServer::accept() {
  if (!started_ || accepting_ || !hasRoom()) return;
  if (waiting_) return add(*std::exchange(waiting_, std::nullopt));
  if (!acceptor_.is_open()) return;
  accepting_ = true;
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    accepting_ = false;
    if (error == asio::error::no_descriptors || error == boost::system::errc::too_many_files_open_in_system ||
        error == asio::error::no_buffer_space || error == asio::error::no_memory)
      return acceptLater();
    if (!error) waiting_ = std::move(socket);
    accept();
    if (!error) acceptWaiting();
  });
}

// Those that are there already, as far as they need nobody else's place: one for each turn of a busy loop
// would leave a crowd waiting until it gives up, and comes again.
void ClientServer::acceptWaiting() {
  for (unsigned taken = 1; taken < kAcceptedAtOnce && connections() < most_; ++taken) {
    auto socket = acceptNow(acceptor_);
    if (!socket) return;  // the accept that is pending meets what failed
    add(std::move(*socket));
  }
}

// Out of descriptors: the connection stays in the machine's queue and would be reported again at once.
void ClientServer::acceptLater() {
  dropOldest();
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([this](const Error& error) {
    if (!error) accept();
  });
}

void ClientServer::add(tcp::socket socket) {
  const auto connection = std::make_shared<Connection>(*this, std::move(socket));
  if (connections() >= most_) dropOldest();
  auto& list = connections_[unfinished];
  connection->start(list.insert(list.end(), connection));  // goes on to accept
}

void ClientServer::remove(Standing standing, Connections::iterator connection) {
  connections_[standing].erase(connection);
  accept();
  endIfEmpty();
}

std::shared_ptr<ClientServer::Connection> ClientServer::oldestToSpare() const {
  for (const Standing standing : {unfinished, idle})
    if (!connections_[standing].empty()) return connections_[standing].front();
  return nullptr;
}

void ClientServer::dropOldest() {
  if (const auto oldest = oldestToSpare()) oldest->close();
}

void ClientServer::stopAccepting() {
  if (waiting_) add(*std::exchange(waiting_, std::nullopt));
  while (auto socket = acceptNow(acceptor_)) add(std::move(*socket));
  Error ignored;
  acceptor_.close(ignored);
  pause_.cancel();
  finishUpAll();
}

void ClientServer::finishUpAll() {
  std::vector<std::shared_ptr<Connection>> all;
  for (const auto& list : connections_) all.insert(all.end(), list.begin(), list.end());
  for (const auto& connection : all) connection->finishUp();
}

void ClientServer::sendAway() {
  if (!std::exchange(away_, true) && !retired_) sweepAfter(limits_.awayAfter);
}

void ClientServer::sweepAfter(std::chrono::milliseconds span) {
  sweep_.expires_after(span);
  sweep_.async_wait([this](const Error& error) {
    if (!error && (away_ || retired_)) finishUpAll();
  });
}

void ClientServer::retire() {
  retired_ = true;
  if (waiting_) add(*std::exchange(waiting_, std::nullopt));
  Error ignored;
  acceptor_.close(ignored);  // the queue goes on at the successor
  pause_.cancel();
  sweepAfter(limits_.retireAfter);
}

void ClientServer::limits(const Limits& limits) { limits_ = limits; }

void ClientServer::limit(std::size_t connections) {
  most_ = connections;
  accept();
}

void ClientServer::takeAgain() {
  away_ = false;
  if (!retired_) sweep_.cancel();
}

void ClientServer::whenEmpty(std::function<void()> done) {
  done_ = std::move(done);
  endIfEmpty();
}

void ClientServer::endIfEmpty() {
  if (connections() == 0 && !acceptor_.is_open() && done_) done_();
}

}  // namespace lilacmux
