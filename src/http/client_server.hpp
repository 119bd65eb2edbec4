// The clients' side: the listener, client connections, readiness, and the writing of responses.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "http/http.hpp"
#include "http/memory_budget.hpp"
#include "http/request_counters.hpp"
#include "http/request_handler.hpp"
#include "net/link_gate.hpp"

namespace lilacmux {

// The listener and its connections. All calls and callbacks run on the io_context's one thread.
class ClientServer {
 public:
  struct Limits {
    std::size_t connections = 480;
    std::chrono::milliseconds idleFor{8000};  // between requests
    // A request, from its first byte; the first one from the connection's begin. What is not whole by then is
    // owed a response or an end within 3 s.
    std::chrono::milliseconds wholeWithin{2500};
    // And its body: so long, and a second for each so many bytes that have come.
    std::chrono::milliseconds bodyWithin{1000};
    std::size_t bodyBytesPerSecond = std::size_t{32} * 1024;
    std::chrono::milliseconds writeWithin{10000};  // a response, or a piece of a large one
    // Requests that may be held beside the one whose answer is next; their answers wait for their turn. Only
    // such as have no body. 0: one request at a time.
    std::size_t maxPipelined = 0;
    std::size_t maxHeader = kMaxHeader;
    std::size_t maxBody = kMaxBody;
    std::chrono::milliseconds lingerFor{400};
    std::size_t lingerBytes = std::size_t{64} * 1024;
    // From the front's drain on new connections come until it has asked for readiness and 0.2 s more.
    std::chrono::milliseconds awayAfter{1000};
    // Of a predecessor's idle connections, so long unused that hardly any closes just as its client uses it.
    std::chrono::milliseconds retireAfter{1500};
    LinkGate* link = nullptr;  // the machine's, outwards: large responses are written in their turn
  };

  ClientServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
               const Limits& limits, MemoryBudget& budget, RequestCounters& counters,
               RequestHandler& handler);
  ~ClientServer();
  ClientServer(const ClientServer&) = delete;
  ClientServer& operator=(const ClientServer&) = delete;

  // Has its place, inherited or its own, but accepts nothing yet. Throws std::runtime_error if it cannot
  // listen.
  void listen(int inherited = -1);
  void start();
  int listener() { return acceptor_.is_open() ? acceptor_.native_handle() : -1; }
  // Other limits from now on, for requests that begin.
  void limits(const Limits& limits);
  // The most connections from now on, instead of the limits'.
  void limit(std::size_t connections);
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // The front's drain, a state that comes back: readiness is denied, every answer ends its connection, and
  // what then still stands idle is closed. Whoever comes all the same is served.
  void startFrontDrain();
  void endFrontDrain();
  bool frontDrained() const { return away_; }

  // A successor accepts in this one's place: every answer ends its connection, and readiness is the same.
  void retire();

  // From here on every answer ends its connection.
  void beginDrain() { draining_ = true; }
  // Takes what the machine has accepted already, then no more; connections without a request are closed.
  void stopAccepting();
  // Called as soon as no connection is left.
  void whenEmpty(std::function<void()> done);

  std::size_t connections() const;
  std::size_t active() const { return connections_[busy].size(); }  // requests that have not ended

 private:
  class PipelinedRequest;
  class Connection;
  using Connections = std::list<std::shared_ptr<Connection>>;
  // What a connection is at, in the order in which they make room: no whole request yet, or its end; between
  // two requests; a request held or answered.
  enum Phase : std::size_t { unfinished, idle, busy };

  std::shared_ptr<Connection> oldestToSpare() const;
  bool hasRoom() const;
  void accept();
  void acceptWaiting();
  void acceptLater();
  void add(boost::asio::ip::tcp::socket socket);
  void remove(Phase phase, Connections::iterator connection);
  void dropOldest();
  void endIfEmpty();
  void finishUpAll();
  void sweepAfter(std::chrono::milliseconds span);

  const boost::asio::ip::tcp::endpoint address_;
  Limits limits_;
  MemoryBudget& budget_;
  RequestCounters& counters_;
  RequestHandler& handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_, sweep_;
  std::array<Connections, 3> connections_;               // by phase; the longest so first
  std::optional<boost::asio::ip::tcp::socket> waiting_;  // accepted, and no room yet
  std::function<void()> done_;
  std::size_t maxConnections_;
  bool accepting_ = false;  // an accept is pending
  bool started_ = false;
  bool draining_ = false;
  bool away_ = false;
  bool retired_ = false;
};

}  // namespace lilacmux
