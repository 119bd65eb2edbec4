// The watch over the platform's list: it may be taken away at any moment, as it is when the primary's part is
// lost.
#include "fleet/platform.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <thread>

namespace lilacmux::test {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// An address where nobody listens.
tcp::endpoint closedPort(boost::asio::io_context& io) {
  tcp::acceptor taken(io, {boost::asio::ip::address_v4::loopback(), 0});
  return taken.local_endpoint();
}

// A loop that was held up may have the pause's end and the removal of the watch before it at the same time:
// the pause then ends without an error, behind the removal.
TEST(PlatformWatch, IsNotUsedOnceItIsTakenAwayInAPauseThatHasEnded) {
  boost::asio::io_context io(1);
  unsigned lines = 0;
  auto watch = std::make_unique<PlatformWatch>(
      io, closedPort(io), 1000, [](const std::vector<Instance>&) {}, [&](const std::string&) { ++lines; });
  while (lines == 0) io.run_one();  // the first call has failed, and the pause before the next has begun
  std::this_thread::sleep_for(700ms);
  boost::asio::post(io,
                    [gone = std::shared_ptr<PlatformWatch>(std::move(watch))]() mutable { gone.reset(); });
  io.restart();
  io.run();  // ends: nothing is left to do
  EXPECT_EQ(lines, 1u);
}

}  // namespace
}  // namespace lilacmux::test
