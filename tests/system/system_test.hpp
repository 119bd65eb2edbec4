// A whole system over loopback sockets: three control nodes, a gateway, a fake platform API and a fake
// server, all in the thread of the test.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "control/control_node.hpp"
#include "gateway/gateway.hpp"
#include "own_address.hpp"

namespace lilacmux::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;
using namespace std::chrono_literals;

inline std::string pack(const json& value) {
  const auto bytes = json::to_msgpack(value);
  return {bytes.begin(), bytes.end()};
}

class SystemTest : public testing::Test {
 protected:
  SystemTest()
      : folder(std::filesystem::temp_directory_path() / ("lilacmux-core-" + std::to_string(getpid()))) {
    std::filesystem::remove_all(folder);
    port_ = ports_.take(2);
    controlPort_ = ports_.take();
    platform_.emplace(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0), CallServer::Limits{},
                      [this](CallServer::Call&&, const CallServer::Respond& respond) {
                        respond(callReply(http::status::ok, pack(serverList()), "application/msgpack"));
                      });
    server_.emplace(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0), CallServer::Limits{},
                    [this](CallServer::Call&& call, const CallServer::Respond& respond) {
                      lastRequest = std::move(call);
                      ++requestCount;
                      auto response = callReply(http::status(serverStatus), "the server's bytes");
                      if (serverStatus == 200) response.set("X-Server-Seal", "seal");
                      response.set("X-Attempt-Id", lastRequest["X-Attempt-Id"]);
                      respond(std::move(response));
                    });
    for (std::size_t i = 0; i < addresses_.size(); ++i)
      nodes.push_back(std::make_unique<ControlNode>(io, settings(i, true), discardLog));
    gateway = std::make_unique<Gateway>(io, settings(0, true), discardLog);
  }
  ~SystemTest() override {
    gateway.reset();
    nodes.clear();
    std::filesystem::remove_all(folder);
  }

  NodeSettings settings(std::size_t i, bool bootstrap) {
    NodeSettings out;
    out.name = "n" + std::to_string(i);
    out.address = addresses_[i];
    out.zone = "z";
    out.firstPort = port_;
    out.lastPort = static_cast<unsigned short>(port_ + 1);
    out.bootstrap = bootstrap;
    for (const std::string& address : addresses_)
      out.seeds.emplace_back(asio::ip::make_address(address), controlPort_);
    out.controlPlane = out.seeds[i];
    out.frontend = tcp::endpoint(asio::ip::make_address(addresses_[0]), frontendPort());
    out.readiness = tcp::endpoint(asio::ip::make_address(addresses_[1]), frontendPort());
    out.dataDirectory = folder / std::to_string(i);
    out.bounds.revocationGlobal = true;
    out.platform = platform_->address();
    out.platformRatePerS = 100;
    return out;
  }
  // Returns the settings of a fourth control process, which has no data directory.
  NodeSettings disklessSettings() {
    NodeSettings out = settings(0, false);
    out.name = "without";
    out.address = ownAddress(14);
    out.controlPlane = tcp::endpoint(asio::ip::make_address(out.address), controlPort_);
    out.dataDirectory.reset();
    return out;
  }
  unsigned short frontendPort() {
    if (frontendPort_ == 0) frontendPort_ = ports_.take();
    return frontendPort_;
  }

  // Runs the io_context until `condition` holds; fails after `timeout`.
  void runUntil(const std::function<bool()>& condition, const char* description,
                std::chrono::seconds timeout = 30s) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    io.restart();
    while (!condition()) {
      ASSERT_LT(std::chrono::steady_clock::now(), end) << "timed out waiting until " << description;
      io.run_one_for(100ms);
    }
  }
  // Sends `request` on a new connection and returns all bytes received until the connection is closed. Empty
  // if the connection cannot be opened.
  std::string exchange(const tcp::endpoint& endpoint, const std::string& request) {
    tcp::socket socket(io);
    boost::system::error_code connectError;
    socket.connect(endpoint, connectError);
    if (connectError) return {};
    asio::write(socket, asio::buffer(request));
    std::string received;
    std::array<char, 4096> buffer;
    bool isClosed = false;
    std::function<void()> read = [&] {
      socket.async_read_some(asio::buffer(buffer),
                             [&](const boost::system::error_code& error, std::size_t n) {
                               received.append(buffer.data(), n);
                               error ? (void)(isClosed = true) : read();
                             });
    };
    read();
    runUntil([&] { return isClosed; }, "the response is complete");
    return received;
  }
  // Sends a request to the gateway and returns the response.
  std::string get(const std::string& target, const std::string& key, const std::string& fields = {}) {
    return exchange(*settings(0, true).frontend,
                    "GET " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\nX-Api-Key: " + key +
                        "\r\nX-Tenant-Name: mallory\r\n" + fields + "Connection: close\r\n\r\n");
  }
  std::string readiness() {
    return exchange(*settings(0, true).readiness, "GET /api/readiness HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  // Submits a configuration as operators do: retries at the next node until the outcome is known. Returns the
  // HTTP status, or 0 after 20 s.
  unsigned replace(const json& configuration, std::uint64_t base) {
    const std::string body = pack(configuration);
    std::size_t node = 0;
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (std::chrono::steady_clock::now() < end) {
      const std::string response = exchange(
          settings(node, true).controlPlane.value(),
          "POST /api/Configuration.Replace HTTP/1.1\r\nHost: a\r\nX-Base-Revision: " + std::to_string(base) +
              "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
      const unsigned status =
          response.size() > 12 ? static_cast<unsigned>(std::stoi(response.substr(9, 3))) : 0;
      if (status != 307 && status != 503 && status != 0) return status;
      node = (node + 1) % addresses_.size();
      io.restart();
      io.run_for(10ms);
    }
    return 0;
  }
  json configuration(std::uint64_t revision, const char* key) {
    return {{"revision", revision},
            {"routeRules",
             {{{"name", "r"},
               {"hostname", "a.example"},
               {"pathPrefix", "/a/"},
               {"routeType", "non_idempotent"},
               {"timeoutMs", 5000},
               {"targetLatencyMs", 300},
               {"targetService", "s"},
               {"maxAttempts", 2}}}},
            {"backendServices", {{{"name", "s"}}}},
            {"tenants", {{{"name", "reader"}, {"apiKeys", {key}}, {"ratePerS", 100}, {"burstSize", 100}}}}};
  }
  virtual json serverList() const {
    const auto endpoint = server_->address();
    return {{"instances",
             {{{"instanceId", "i-1"},
               {"targetService", "s"},
               {"address", endpoint.address().to_string() + ":" + std::to_string(endpoint.port())},
               {"zone", "z"},
               {"capacity", 3},
               {"state", "available"},
               {"warmupRemainingMs", 0}}}},
            {"nextPageToken", nullptr}};
  }

  asio::io_context io;
  std::vector<std::unique_ptr<ControlNode>> nodes;
  std::unique_ptr<Gateway> gateway;
  CallServer::Call lastRequest;  // newest request that the server has received
  unsigned requestCount = 0;     // requests that the server has received
  unsigned serverStatus = 200;   // status of the server's responses

  static void discardLog(const std::string&) {}
  const std::filesystem::path folder;

 private:
  const std::vector<std::string> addresses_{ownAddress(11), ownAddress(12), ownAddress(13)};
  FreePorts ports_{io, {ownAddress(11), ownAddress(12), ownAddress(13), ownAddress(14)}};
  unsigned short port_ = 0, controlPort_ = 0, frontendPort_ = 0;
  std::optional<CallServer> platform_, server_;
};

inline bool containsText(const std::string& text, const char* part) {
  return text.find(part) != std::string::npos;
}

}  // namespace lilacmux::test
