// Connections to servers: one attempt at a time on each, its outcome, and what stands idle between attempts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "http/http.hpp"
#include "http/memory_budget.hpp"
#include "http/request_counters.hpp"
#include "lilacmux/decision_engine.hpp"
#include "net/link_gate.hpp"
#include "upstream/attempt.hpp"
#include "upstream/response_reader.hpp"

namespace lilacmux {

// Starts attempts, reports how each ended, and keeps connections for the next. All calls and callbacks run on
// the io_context's one thread.
class UpstreamConnectionPool {
 public:
  struct Limits {
    std::chrono::milliseconds connectTimeout{250};
    std::chrono::milliseconds idleFor{24000};  // shorter than a server keeps an idle connection
    // Without a further byte of a response that has begun and is buffered here: what stops half way seldom
    // goes on. Longer: a client waits in vain; shorter: one written in small pieces is given up. Only where
    // the request may be sent to another server.
    std::chrono::milliseconds goesOnWithin{300};
    std::chrono::milliseconds streamsOnWithin{5000};  // the same where the client has its begin
    std::size_t total = 480;                          // connections to all servers
    std::size_t idlePerServer = 64;
    LinkGate* link = nullptr;  // the machine's, inwards: large responses are read in their turn
  };
  struct Place {
    boost::asio::ip::tcp::endpoint address;
    double startedAtMs = 0;  // Unix time of the server's last start; 0: long ago
  };
  using Ended = std::function<void(AttemptEnd&&)>;

  UpstreamConnectionPool(boost::asio::io_context& io, const Limits& limits, MemoryBudget& budget,
                         RequestCounters& counters, const ResponseReader& reader, ResponseSink& sink,
                         Ended ended);
  ~UpstreamConnectionPool();
  UpstreamConnectionPool(const UpstreamConnectionPool&) = delete;
  UpstreamConnectionPool& operator=(const UpstreamConnectionPool&) = delete;

  // Where a server is. Connections to an earlier address or process are dropped.
  void place(ServerId server, const Place& place);
  // Nothing new goes there; its idle connections are closed and it is forgotten. Attempts that it has got go
  // on; one whose connection is still to come up fails.
  void retire(ServerId server);

  // The most connections from now on, instead of the limits' total.
  void limit(std::size_t total) { maxConnections_ = total; }
  // What stands idle there ends.
  void closeIdle(ServerId server);

  // Starts one attempt. `ended` is called once for it, never from within this call.
  void start(RequestId id, unsigned attempt, ServerId server, UpstreamRequest message,
             std::optional<std::chrono::steady_clock::duration> timeout);
  // The piece before has been passed on.
  void more(RequestId id);
  // Gives the attempt of this request up and closes its connection; `ended` is not called for it.
  std::optional<AttemptEnd> giveUp(RequestId id, AttemptResult result);

  std::size_t connections() const { return connectionCount_; }
  std::size_t servers() const { return servers_.size(); }

 private:
  class Connection;
  using Shared = std::shared_ptr<Connection>;
  struct Server {
    Place place;
    std::vector<Shared> idle;  // the most recent last
  };

  void endLost(ServerId id, const Place& place);
  Shared takeIdle(Server& server, const std::string& id);
  bool makeRoom();
  void report(AttemptOutcome outcome);
  void finish(Connection& connection, AttemptEnd&& end);
  void keep(const Shared& connection);
  void drop(Connection& connection);
  bool leadsTo(const Connection& connection) const;
  void closeIdle(Server& server);

  boost::asio::io_context& io_;
  const Limits limits_;
  MemoryBudget& budget_;
  RequestCounters& counters_;
  const ResponseReader& reader_;
  ResponseSink& sink_;
  const Ended ended_;
  std::unordered_map<ServerId, Server> servers_;  // those that may be sent to
  std::unordered_map<RequestId, Shared> busy_;
  std::size_t maxConnections_;
  std::size_t connectionCount_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lilacmux
