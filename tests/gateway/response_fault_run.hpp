// A gateway between clients that check every answer and servers that stutter: they answer late, twice, in
// pieces, for another request, or not at all, and cut, reset or forget their connections. What a server does
// is drawn from the seed, the attempt's id and the run, so that a seed means the same at every play; what is
// broken is told by what clients and servers have seen, whatever the machine's pace.
#pragma once

#include <map>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "gateway/gateway_harness.hpp"

namespace lilacmux::test {

// What servers did with one attempt.
struct ServerRecord {
  unsigned runs = 0;
  std::set<std::string> ranAt;
  std::set<unsigned> statuses;  // that servers gave, under their seal
};

// What became of one attempt at its client.
struct ClientRecord {
  std::string kind;  // the path's first part
  bool ended = false;
  unsigned status = 0;  // 0: the connection ended without a whole answer
  std::string head, body;
};

class ResponseFaultRun {
 public:
  static constexpr unsigned kMaxAttempts = 2;
  static constexpr double kTimeoutMs = 60;

  explicit ResponseFaultRun(unsigned seed) : seed_(seed), random_(seed) {}

  // One line on each rule that was broken; empty: none was.
  std::vector<std::string> play();
  std::size_t answered() const { return answered_; }

 private:
  using Connection = std::shared_ptr<ServerConnection>;
  using Request = ServerConnection::Request;
  enum class Act {
    whole,
    pieces,
    chunked,
    doubledAtOnce,
    doubledLate,
    doubledNext,
    earlierOnesAgain,
    bytesBehind,
    bytesBehindLate,
    failure,
    failureDoubledNext,
    unnamedStatus,
    notExecuted,
    notExecutedDoubledNext,
    misdirected,
    refusalThatRan,
    silent,
    resetAfterRun,
    resetUnread,
    resetMidway,
    endMidway,
    resetSoonAfter,
    endSoonAfter,
    noId,
    twoIds,
    anothersId,
    noise,
    interim,
    twoLengths,
    noSeal,
    encoded,
    large,
    largeCut,
    largeReset,
    saysClose,
    endDelimited,
    endDelimitedDoubled,
    endDelimitedDoubledLate,
    endDelimitedDoubledInPart,
    endDelimitedReset,
    endDelimitedLargeDoubled,
    endDelimitedLargeReset,
    doubledLateInPart,
    doubledNextInPart,
    cutAndRepeated,
    largeCutAndRepeated,
    last = largeCutAndRepeated
  };
  struct Client {
    std::shared_ptr<ClientConnection> connection;
    std::vector<std::string> left;   // ids that are still to be sent
    std::vector<std::string> waits;  // that were sent on this connection, in order
    std::size_t parsed = 0;          // bytes of what has been received
  };

  // --- servers
  void serve(const Connection& connection, const Request& request);
  void act(Act what, const Connection& connection, const std::string& id, std::mt19937& draw);
  void later(unsigned turns, std::function<void()> what) { deferred_.emplace_back(turns, std::move(what)); }
  void inPieces(const Connection& connection, const std::string& text, std::mt19937& draw);
  std::string sealed(const std::string& id, unsigned status, const std::string& body) {
    servers_[id].statuses.insert(status);
    return answerText(status, sealedFields(id), body);
  }
  void run(const Connection& connection, const std::string& id) {
    ++servers_[id].runs;
    servers_[id].ranAt.insert(connection->server);
  }
  // The marked body of an attempt; of uneven sizes.
  static std::string bodyOf(const std::string& id) {
    std::string out = "mark of " + id + ".";
    const std::size_t size = std::hash<std::string>{}(id) % 3 == 0 ? 3000 : 40;
    while (out.size() < size) out += " " + id;
    return out;
  }
  static std::string largeBodyOf(const std::string& id) {
    std::string out = bodyOf(id);
    while (out.size() < 90000) out += " " + id;
    return out;
  }

  // Without a length: its connection's end is its end.
  std::string endDelimited(const std::string& id, const std::string& body) {
    servers_[id].statuses.insert(200);
    return "HTTP/1.1 200 OK\r\n" + sealedFields(id) + "\r\n" + body;
  }
  void actCutAndRepeated(Act what, const Connection& connection, const std::string& good, std::mt19937& draw);
  void actEndDelimited(Act what, const Connection& connection, const std::string& id, std::mt19937& draw);

  // --- clients
  void plan(std::size_t clients, std::size_t requests);
  void send(Client& client);
  void receive(Client& client);
  bool parseOne(Client& client);
  bool done() const;

  void check(std::vector<std::string>& broken) const;

  const unsigned seed_;
  std::mt19937 random_;
  std::optional<GatewayHarness> world_;
  std::vector<std::pair<unsigned, std::function<void()>>> deferred_;
  std::map<std::string, ServerRecord> servers_;
  std::map<std::string, ClientRecord> clients_;
  std::vector<Client> connections_;
  std::vector<std::string> surplus_;  // what no request asked for
  std::size_t answered_ = 0;
};

}  // namespace lilacmux::test
