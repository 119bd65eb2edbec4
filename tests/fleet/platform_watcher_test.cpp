// PlatformWatcher: the age of the list it has read, and its destruction at any time, as when a primary loses
// its lease.
#include "fleet/platform_watcher.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <thread>

#include "http/call_server.hpp"
#include "net/steady.hpp"

namespace lilacmux::test {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// Returns an address on which no process listens.
tcp::endpoint closedPort(boost::asio::io_context& io) {
  tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint();
}

// If the event loop is delayed, the timer may expire before the watcher is destroyed, but its handler runs
// afterwards. The handler then receives no error code and must not use the watcher.
TEST(PlatformWatcher, IsNotUsedAfterItsDestructionIfThePauseHasAlreadyExpired) {
  boost::asio::io_context io(1);
  unsigned lines = 0;
  auto watcher = std::make_unique<PlatformWatcher>(
      io, closedPort(io), 1000, [](const std::vector<Instance>&) {}, [&](const std::string&) { ++lines; });
  while (lines == 0)
    io.run_one();  // until the first request has failed and the pause before the next has begun
  std::this_thread::sleep_for(700ms);
  boost::asio::post(io, [destroyed = std::shared_ptr<PlatformWatcher>(std::move(watcher))]() mutable {
    destroyed.reset();
  });
  io.restart();
  io.run();  // returns when no work remains
  EXPECT_EQ(lines, 1u);
}

TEST(PlatformWatcher, ListAsOfIsTheStartOfTheLastCompleteScan) {
  boost::asio::io_context io(1);
  bool isFailing = false;
  std::vector<double> scanStartedAt;
  CallServer platform(
      io, {boost::asio::ip::address_v4::loopback(), 0}, {}, [&](auto&& request, const auto& respond) {
        const bool isFirst = request.target() == "/instances";
        if (isFirst) scanStartedAt.push_back(steadyMs());
        const nlohmann::json page = {{"instances", nlohmann::json::array()},
                                     {"nextPageToken", isFirst ? nlohmann::json("2") : nlohmann::json()}};
        const auto bytes = nlohmann::json::to_msgpack(page);
        using http::status;
        respond(callReply(isFailing ? status::service_unavailable : status::ok,
                          std::string(bytes.begin(), bytes.end()), "application/msgpack"));
      });
  unsigned scans = 0, lines = 0;
  const PlatformWatcher watcher(
      io, platform.address(), 100, [&](const std::vector<Instance>&) { ++scans; },
      [&](const std::string&) { ++lines; });
  EXPECT_EQ(watcher.listAsOf(), std::nullopt);
  while (scans == 0) io.run_one();
  ASSERT_EQ(scanStartedAt.size(), 1u);
  EXPECT_LE(*watcher.listAsOf(), scanStartedAt[0]) << "the first page may be older than the last one";
  EXPECT_GE(*watcher.listAsOf(), scanStartedAt[0] - 500);
  const double before = *watcher.listAsOf();
  isFailing = true;
  while (lines == 0) io.run_one();
  EXPECT_GE(*watcher.listAsOf(), before);
  EXPECT_LT(*watcher.listAsOf(), scanStartedAt[1]) << "time before the first failure counts towards the age";
}

}  // namespace
}  // namespace lilacmux::test
