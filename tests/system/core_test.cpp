// End-to-end tests over loopback sockets (system_test.hpp).
#include <fstream>
#include <set>

#include "system_test.hpp"

namespace lilacmux::test {
namespace {

TEST_F(SystemTest, AcceptsAConfigurationAndServesARequest) {
  EXPECT_TRUE(containsText(readiness(), "503")) << "not ready without a configuration";
  ASSERT_EQ(replace(configuration(2, "k"), 0), 200u);
  EXPECT_EQ(replace(configuration(2, "k"), 0), 200u) << "a repeat gets the same response";
  EXPECT_EQ(replace(configuration(3, "k"), 0), 412u);
  EXPECT_EQ(replace(configuration(1, "k"), 2), 400u);
  runUntil([&] { return gateway->ready(); }, "the gateway is ready");
  EXPECT_TRUE(containsText(readiness(), "200"));
  // A new tenant gets a share of its quota after its demand has been reported.
  std::string response;
  runUntil([&] { return containsText(response = get("/a/x?y=1", "k"), "HTTP/1.1 200"); },
           "the request is served");
  EXPECT_TRUE(containsText(response, "X-Server-Seal: seal")) << response;
  EXPECT_TRUE(containsText(response, "the server's bytes"));
  EXPECT_EQ(lastRequest.target(), "/a/x?y=1");
  EXPECT_EQ(lastRequest["X-Tenant-Name"], "reader");
  EXPECT_EQ(lastRequest["X-Expected-Instance"], "i-1");
  EXPECT_EQ(lastRequest.count("X-Api-Key"), 0u);
  EXPECT_TRUE(containsText(get("/a/x", "other"), "HTTP/1.1 401"));
  EXPECT_TRUE(containsText(get("/b/x", "k"), "HTTP/1.1 404"));
  // A response with status 500 shows that the server has executed the request: the response is forwarded
  // unchanged and the request is not retried.
  serverStatus = 500;
  const unsigned requestsBefore = requestCount;
  EXPECT_TRUE(containsText(get("/a/x", "k"), "HTTP/1.1 500"));
  EXPECT_EQ(requestCount, requestsBefore + 1);
}

TEST_F(SystemTest, MetricsCountRequestsAndContainNoKey) {
  ASSERT_EQ(replace(configuration(2, "secret-key"), 0), 200u);
  runUntil([&] { return gateway->ready(); }, "the gateway is ready");
  EXPECT_TRUE(containsText(get("/a/x", "secret-key"), "HTTP/1.1 200"));
  const auto metricsOf = [&](const tcp::endpoint& endpoint) {
    return exchange(endpoint, "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  };
  const std::string metrics = metricsOf(*settings(0, true).readiness);
  EXPECT_FALSE(containsText(metrics, "secret-key"));
  EXPECT_TRUE(containsText(metrics, "# TYPE lilacmux_requests_total counter"));
  EXPECT_TRUE(containsText(metrics, "lilacmux_revision 2"));
  EXPECT_TRUE(containsText(metrics, "lilacmux_ready 1"));
  EXPECT_TRUE(containsText(metrics, "lilacmux_servers{service=\"s\"} 1"));
  double requests = 0, attempts = 0;
  const auto sum = [&](const std::string& name) {
    double out = 0;
    for (auto position = metrics.find(name); position != std::string::npos;
         position = metrics.find(name, position + 1))
      out += std::stod(metrics.substr(metrics.find('}', position) + 1));
    return out;
  };
  requests = sum("lilacmux_requests_total{kind=");
  attempts = sum("lilacmux_tries_total{kind=");
  EXPECT_EQ(requests, 1);
  EXPECT_EQ(attempts, 1);
  double primaries = 0;
  for (std::size_t i = 0; i < 3; ++i)
    primaries += containsText(metricsOf(*settings(i, true).controlPlane), "lilacmux_primary 1") ? 1 : 0;
  EXPECT_EQ(primaries, 1);
}

TEST_F(SystemTest, StatusReportsTheStateOfEachProcessAndContainsNoKey) {
  ASSERT_EQ(replace(configuration(2, "secret-key"), 0), 200u);
  runUntil([&] { return gateway->ready(); }, "the gateway is ready");
  const auto statusOf = [&](const tcp::endpoint& endpoint) {
    const std::string response =
        exchange(endpoint, "GET /api/status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    EXPECT_FALSE(containsText(response, "secret-key"));
    return json::parse(response.substr(response.find("\r\n\r\n") + 4), nullptr, false);
  };
  const json gatewayStatus = statusOf(*settings(0, true).readiness);
  EXPECT_EQ(gatewayStatus.value("revision", 0), 2);
  EXPECT_TRUE(gatewayStatus.value("ready", false));
  EXPECT_EQ(gatewayStatus["services"]["s"].value("listed", 0), 1);
  std::multiset<std::string> roles;
  for (std::size_t i = 0; i < 3; ++i)
    roles.insert(statusOf(*settings(i, true).controlPlane).value("part", ""));
  EXPECT_EQ(roles, (std::multiset<std::string>{"backup", "primary", "witness"}));
}

TEST_F(SystemTest, RejectsARemovedKeyAndTheNextPrimaryHasTheChange) {
  ASSERT_EQ(replace(configuration(2, "old"), 0), 200u);
  runUntil([&] { return gateway->ready(); }, "the gateway is ready");
  runUntil([&] { return containsText(get("/a/x", "old"), "HTTP/1.1 200"); }, "the request is served");
  ASSERT_EQ(replace(configuration(4, "new"), 2), 200u);
  runUntil([&] { return containsText(get("/a/x", "old"), "HTTP/1.1 401"); }, "the key is rejected");
  nodes.front().reset();  // the first candidate, most likely the primary
  EXPECT_EQ(replace(configuration(4, "new"), 2), 200u) << "the next primary has the acknowledged change";
  EXPECT_EQ(replace(configuration(6, "new"), 4), 200u) << "the remaining members accept changes";
}

// The head of the request arrives while the key is valid, the end of the body after a revision that removes
// the key.
TEST_F(SystemTest, RejectsAKeyThatIsRemovedWhileTheBodyIsReceived) {
  ASSERT_EQ(replace(configuration(2, "old"), 0), 200u);
  runUntil([&] { return gateway->ready(); }, "the gateway is ready");
  runUntil([&] { return containsText(get("/a/x", "old"), "HTTP/1.1 200"); }, "the request is served");
  tcp::socket socket(io);
  socket.connect(*settings(0, true).frontend);
  asio::write(socket,
              asio::buffer(std::string("POST /a/late HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 2\r\n"
                                       "X-Api-Key: old\r\nTransfer-Encoding: chunked\r\n\r\n")));
  const auto headReadBy = std::chrono::steady_clock::now() + 100ms;
  runUntil([&] { return std::chrono::steady_clock::now() > headReadBy; }, "the head has been read");
  ASSERT_EQ(replace(configuration(4, "new"), 2), 200u);
  runUntil([&] { return containsText(get("/a/x", "old"), "HTTP/1.1 401"); }, "the key is rejected");
  const unsigned requestsBefore = requestCount;
  asio::write(socket, asio::buffer(std::string("0\r\n\r\n")));
  std::array<char, 4096> buffer;
  std::string response;
  socket.async_read_some(asio::buffer(buffer), [&](const boost::system::error_code&, std::size_t n) {
    response.assign(buffer.data(), n);
  });
  runUntil([&] { return !response.empty(); }, "the response arrives");
  EXPECT_TRUE(containsText(response, "HTTP/1.1 401")) << response;
  EXPECT_EQ(requestCount, requestsBefore) << "the request reached a server without a tenant";
}

// A primary that loses contact with all other members commits no change from then on. Once its lease of a
// second has expired it also answers no reads and rejects no changes.
TEST_F(SystemTest, AnIsolatedPrimaryIsUnavailableToOperatorsAfterItsLease) {
  ASSERT_EQ(replace(configuration(2, "k"), 0), 200u);
  const auto statusAt = [&](std::size_t i, const std::string& request) {
    const std::string response =
        exchange(*settings(i, true).controlPlane, request + "Connection: close\r\n\r\n");
    return response.size() > 12 ? std::stoi(response.substr(9, 3)) : 0;
  };
  const std::string describe = "GET /api/Configuration.Describe HTTP/1.1\r\nHost: a\r\n";
  std::size_t primary = 0;
  for (std::size_t i = 0; i < nodes.size(); ++i)
    if (statusAt(i, describe) == 200) primary = i;
  for (std::size_t i = 0; i < nodes.size(); ++i)
    if (i != primary) nodes[i].reset();
  const auto isolatedAt = std::chrono::steady_clock::now();
  std::vector<int> statusesAfterLease;
  const std::string body = pack(configuration(4, "k"));
  while (std::chrono::steady_clock::now() < isolatedAt + 4s) {
    const std::string changeResponse = exchange(
        *settings(primary, true).controlPlane,
        "POST /api/Configuration.Replace HTTP/1.1\r\nHost: a\r\nX-Base-Revision: 9\r\nConnection: close\r\n"
        "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto readAt = std::chrono::steady_clock::now();
    const int readStatus = statusAt(primary, describe);
    if (readAt < isolatedAt + 1100ms) continue;
    statusesAfterLease.push_back(readStatus);
    statusesAfterLease.push_back(changeResponse.size() > 12 ? std::stoi(changeResponse.substr(9, 3)) : 0);
  }
  ASSERT_GT(statusesAfterLease.size(), 2u);
  for (const int status : statusesAfterLease) EXPECT_EQ(status, 503);
}

// After a power loss all settings, including its own, name a single diskless process as the only seed. The
// members announce themselves to it, and it redirects the gateway to them.
TEST_F(SystemTest, AllFindTheCoreThroughADisklessProcessAsTheOnlySeed) {
  ASSERT_EQ(replace(configuration(2, "k"), 0), 200u);
  gateway.reset();
  nodes.clear();
  const auto withDisklessSeed = [&](NodeSettings settings) {
    settings.seeds = {disklessSettings().controlPlane.value()};
    return settings;
  };
  auto diskless = std::make_unique<ControlNode>(io, withDisklessSeed(disklessSettings()), discardLog);
  gateway = std::make_unique<Gateway>(io, withDisklessSeed(settings(0, false)), discardLog);
  for (std::size_t i = 0; i < 3; ++i)
    nodes.push_back(std::make_unique<ControlNode>(io, withDisklessSeed(settings(i, false)), discardLog));
  runUntil([&] { return gateway->ready(); }, "the gateway is ready");
  const std::string response = exchange(disklessSettings().controlPlane.value(),
                                        "GET /api/Configuration.Describe HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(containsText(response, "HTTP/1.1 307")) << response;
}

TEST_F(SystemTest, AGatewayAppliesNewSeedsWithoutARestart) {
  ASSERT_EQ(replace(configuration(2, "k"), 0), 200u);
  gateway.reset();
  NodeSettings deadSeed = settings(0, false), validSeeds = deadSeed;
  deadSeed.seeds = {disklessSettings().controlPlane.value()};  // no process listens there
  gateway = std::make_unique<Gateway>(io, deadSeed, discardLog);
  io.restart();
  io.run_for(300ms);
  EXPECT_FALSE(gateway->ready());
  gateway->reload(validSeeds);
  runUntil([&] { return gateway->ready(); }, "the gateway is ready");
}

// A node whose disk fails at its start keeps running.
TEST_F(SystemTest, ANodeWhoseDiskFailsAtItsStartRunsDisklessUntilTheDiskWorks) {
  NodeSettings settings = disklessSettings();
  settings.dataDirectory = folder / "late";
  std::ofstream(*settings.dataDirectory) << "a file in place of the data directory";
  const ControlNode node(io, settings, discardLog);
  const auto status = [&] {
    return exchange(*settings.controlPlane, "GET /api/status HTTP/1.1\r\nHost: a\r\n\r\n");
  };
  EXPECT_TRUE(containsText(status(), "without a disk"));
  std::filesystem::remove(*settings.dataDirectory);
  runUntil([&] { return containsText(status(), "observer"); }, "the store is open");
}

}  // namespace
}  // namespace lilacmux::test
