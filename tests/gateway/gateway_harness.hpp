// A real gateway on loopback sockets between a stand-in for the control plane and stand-ins for servers whose
// every byte the test decides. Everything runs in the test's own thread.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/write.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/follow_codec.hpp"
#include "gateway/gateway.hpp"
#include "net/frame_server.hpp"
#include "own_address.hpp"

namespace lilacmux::test {

namespace asio = boost::asio;
using asio::ip::tcp;

// The value of a header in the text of a message's head; empty where it is not there.
inline std::string headerOf(const std::string& head, const std::string& name) {
  const std::string start = "\r\n" + name + ": ";
  const auto at = head.find(start);
  if (at == std::string::npos) return {};
  const auto from = at + start.size();
  return head.substr(from, head.find("\r\n", from) - from);
}

inline std::size_t countIn(const std::string& text, const std::string& what) {
  std::size_t count = 0;
  for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) ++count;
  return count;
}

// An answer with a told length.
inline std::string answerText(unsigned status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Told\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// What a server puts on an answer to this attempt.
inline std::string sealedFields(const std::string& id) {
  return "X-Server-Seal: seal-" + id + "\r\nX-Attempt-Id: " + id + "\r\n";
}

// One connection that a server has accepted.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  struct Request {
    std::string head, body;
    std::string id() const { return headerOf(head, "X-Attempt-Id"); }
  };
  struct Handler {
    std::function<void(const std::shared_ptr<ServerConnection>&, const Request&)> onHead;  // may be empty
    std::function<void(const std::shared_ptr<ServerConnection>&, const Request&)> onRequest;
  };

  ServerConnection(tcp::socket socket, const Handler& handler, std::string instance)
      : server(std::move(instance)), socket_(std::move(socket)), handler_(handler) {}

  void start() { read(); }
  void pauseReading() { paused_ = true; }
  void send(const std::string& text) {
    if (closed_) return;
    outgoing_ += text;
    if (!writing_) write();
  }
  // Ends its side in order once all is sent.
  void finish() {
    finishing_ = true;
    if (!writing_) shutDown();
  }
  void reset() {
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }
  void close() {
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
  }
  bool closed() const { return closed_; }

  const std::string server;          // the instance's id
  std::string owed;                  // sent ahead of the next answer on this connection
  std::vector<std::string> answers;  // that were sent here, for a server that repeats itself

 private:
  void read() {
    socket_.async_read_some(asio::buffer(piece_), [self = shared_from_this(), this](
                                                      const boost::system::error_code& error, std::size_t n) {
      if (closed_) return;
      if (error) return close();
      incoming_.append(piece_.data(), n);
      take();
      if (!closed_ && !paused_) read();
    });
  }
  void take() {
    while (!closed_) {
      const auto end = incoming_.find("\r\n\r\n");
      if (end == std::string::npos) return;
      Request request;
      request.head = incoming_.substr(0, end + 4);
      if (!std::exchange(headTold_, true) && handler_.onHead) handler_.onHead(shared_from_this(), request);
      const std::string length = headerOf(request.head, "Content-Length");
      const std::size_t size = length.empty() ? 0 : std::stoul(length);
      if (closed_ || incoming_.size() < end + 4 + size) return;
      request.body = incoming_.substr(end + 4, size);
      incoming_.erase(0, end + 4 + size);
      headTold_ = false;
      handler_.onRequest(shared_from_this(), request);
    }
  }
  void write() {
    writing_ = true;
    sending_ = std::exchange(outgoing_, {});
    asio::async_write(socket_, asio::buffer(sending_),
                      [self = shared_from_this(), this](const boost::system::error_code& error, std::size_t) {
                        writing_ = false;
                        if (closed_) return;
                        if (error) return close();
                        if (!outgoing_.empty()) return write();
                        if (finishing_) shutDown();
                      });
  }
  void shutDown() {
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }

  tcp::socket socket_;
  const Handler& handler_;
  std::array<char, 16384> piece_{};
  std::string incoming_, outgoing_, sending_;
  bool headTold_ = false, writing_ = false, finishing_ = false, paused_ = false, closed_ = false;
};

// A server as the platform lists it.
class StandInServer {
 public:
  StandInServer(asio::io_context& io, std::string instance, const ServerConnection::Handler& handler)
      : instance_(std::move(instance)),
        handler_(handler),
        acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    accept();
  }
  Instance listed() const {
    const auto at = acceptor_.local_endpoint();
    return {instance_, "service", at.address().to_string() + ":" + std::to_string(at.port()), "zone", 8};
  }
  const std::vector<std::shared_ptr<ServerConnection>>& connections() const { return connections_; }
  void closeAll() {
    for (const auto& connection : connections_) connection->close();
  }

 private:
  void accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error) return;
      connections_.push_back(std::make_shared<ServerConnection>(std::move(socket), handler_, instance_));
      connections_.back()->start();
      accept();
    });
  }
  const std::string instance_;
  const ServerConnection::Handler& handler_;
  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<ServerConnection>> connections_;
};

// A client's connection: all that has come, and whether the gateway has ended it.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(asio::io_context& io, const tcp::endpoint& gateway) : socket_(io) {
    socket_.connect(gateway);
  }
  void start() {
    socket_.async_read_some(asio::buffer(piece_), [self = shared_from_this(), this](
                                                      const boost::system::error_code& error, std::size_t n) {
      received.append(piece_.data(), n);
      if (!error) return start();
      ended = true;
      wasReset = error != asio::error::eof;
    });
  }
  void send(std::string text) {
    const auto kept = std::make_shared<const std::string>(std::move(text));
    asio::async_write(socket_, asio::buffer(*kept), [kept](const boost::system::error_code&, std::size_t) {});
  }
  void close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

  std::string received;
  bool ended = false, wasReset = false;

 private:
  tcp::socket socket_;
  std::array<char, 16384> piece_{};
};

// Gateway, control plane and servers.
class GatewayHarness {
 public:
  GatewayHarness(std::size_t count, ServerConnection::Handler handler, const ServiceBounds& bounds = {})
      : handler_(std::move(handler)) {
    const auto address = asio::ip::make_address(ownAddress(21));
    FreePorts ports(io, {address.to_string()});
    control_.emplace(
        io, tcp::endpoint(address, ports.take()), 8,
        [this](Frame&& frame, const FrameServer::Reply& reply) { follow(frame, reply); },
        [](const std::string&) {});
    std::vector<Instance> list;
    for (std::size_t i = 0; i < count; ++i) {
      servers.push_back(std::make_unique<StandInServer>(io, "i-" + std::to_string(i), handler_));
      list.push_back(servers.back()->listed());
    }
    log_.updateServers(list);
    NodeSettings settings;
    settings.name = "gateway";
    settings.address = address.to_string();
    settings.zone = "zone";
    settings.bounds = bounds;
    settings.firstPort = settings.lastPort = control_->address().port();
    settings.seeds = {control_->address()};
    settings.frontend = tcp::endpoint(address, ports.take());
    settings.readiness = tcp::endpoint(address, ports.take());
    front = *settings.frontend;
    gateway.emplace(io, settings, [](const std::string&) {});
  }
  ~GatewayHarness() {
    gateway.reset();
    for (const auto& server : servers) server->closeAll();
  }

  // Brings a configuration, which is in force once the gateway has asked for it.
  void configure(const nlohmann::json& configuration) {
    const auto bytes = nlohmann::json::to_msgpack(configuration);
    log_.setConfiguration(configuration.at("revision"),
                          std::make_shared<const std::string>(bytes.begin(), bytes.end()));
  }
  void until(const std::function<bool()>& holds, const char* what) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!holds()) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
      ASSERT_LT(std::chrono::steady_clock::now(), limit) << "never: " << what;
    }
  }
  void untilReady() {
    until([&] { return gateway->ready(); }, "the gateway is ready");
  }
  std::shared_ptr<ClientConnection> connect() {
    const auto out = std::make_shared<ClientConnection>(io, front);
    out->start();
    return out;
  }
  // From here on the control plane answers nothing.
  void silenceControl() { silent_ = true; }
  // The revision that the gateway says it goes by.
  std::uint64_t revisionInForce() const { return revision_; }

  asio::io_context io{1};
  std::vector<std::unique_ptr<StandInServer>> servers;
  std::optional<Gateway> gateway;
  tcp::endpoint front;

 private:
  void follow(const Frame& frame, const FrameServer::Reply& reply) {
    const auto call = parseFollowRequest(frame);
    if (!call || silent_) return;
    revision_ = call->revision;
    FollowResponse answer;
    answer.epoch = log_.epoch();
    answer.delta = log_.deltaSince(call->position, call->revision);
    answer.gatewayCount = 1;
    reply(toFrame(answer));
  }

  const ServerConnection::Handler handler_;
  ChangeLog log_{1};
  std::optional<FrameServer> control_;
  std::uint64_t revision_ = 0;
  bool silent_ = false;
};

// Routes of each kind under /once/, /again/ and /large/.
inline nlohmann::json configurationOf(std::uint64_t revision, double timeoutMs, unsigned maxAttempts) {
  nlohmann::json routes = nlohmann::json::array();
  for (const auto& [prefix, type] : {std::pair{"/once/", "non_idempotent"},
                                     std::pair{"/again/", "idempotent"}, std::pair{"/large/", "download"}})
    routes.push_back({{"name", prefix},
                      {"hostname", "a.example"},
                      {"pathPrefix", prefix},
                      {"routeType", type},
                      {"timeoutMs", timeoutMs},
                      {"targetLatencyMs", timeoutMs},
                      {"targetService", "service"},
                      {"maxAttempts", maxAttempts}});
  return {{"revision", revision}, {"routeRules", routes}, {"backendServices", {{{"name", "service"}}}}};
}

}  // namespace lilacmux::test
