// Whatever a server sends, an answer goes to the try whose id it carries, each try ends once, and what is
// left over never reaches the next one. An input is a number of cuts, the bytes between them, and all that
// the server writes; it is written in those pieces to a connection on which two tries follow each other.
//
// Built with LILACMUX_FUZZ (clang) libFuzzer draws the inputs; else the program plays the files and folders
// that it is given, and as many seeded changes of each as its first argument says.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "gateway/upstream_response_reader.hpp"
#include "http/appended_response.hpp"
#include "upstream/connection_pool.hpp"

namespace {

using namespace lilacmux;
using asio::ip::tcp;

void require(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "broken: %s\n", what);
  std::abort();
}

class World : private ResponseSink {
 public:
  void play(const std::string& input) {
    ended_ = 0;
    pool_.emplace(io_, UpstreamConnectionPool::Limits{}, budget_, figures_, reader_,
                  static_cast<ResponseSink&>(*this), [this](AttemptEnd&& end) { came(std::move(end)); });
    pool_->place(1, {acceptor_.local_endpoint(), 0});
    attempt(1, "a");
    tcp::socket peer(io_);
    acceptor_.accept(peer);
    settle();
    write(peer, input);
    second();
    settle();
    reset(peer);
    for (int i = 0; i < 1000 && pool_->connections() > 0; ++i) {
      settle();
      resetOthers();
    }
    require(pool_->connections() == 0, "a connection outlives its server's end");
    require(ended_ == started_, "a try has not ended");
    pool_.reset();
    settle();
    started_ = 0;
  }

 private:
  void attempt(lilacmux::RequestId id, const char* carried) {
    ++started_;
    carried_ = carried;
    pool_->start(id, 0, 1, {"GET / HTTP/1.1\r\n\r\n", nullptr, 0, carried}, std::nullopt);
    settle();
  }
  // On the same connection, if that is kept.
  void second() {
    if (started_ == 1 && ended_ == 1 && pool_->connections() == 1) attempt(2, "b");
  }
  void came(AttemptEnd&& end) {
    ++ended_;
    require(end.outcome.id == started_, "an end of a try that is not out");
    if (end.outcome.result != lilacmux::AttemptResult::ok || !end.head) return;
    require(countOf(end.head->fields, "X-Attempt-Id") == 1, "an answer without one id");
    require(view(end.head->fields["X-Attempt-Id"]) == carried_, "another's answer");
    const auto status = static_cast<unsigned>(end.head->status);
    require(status >= 300 || countOf(end.head->fields, "X-Server-Seal") == 1, "a success without a stamp");
    AppendedResponseScanner scanner("X-Attempt-Id");
    scanner.feed(end.body);
    require(!scanner.found(), "another answer within a body");
  }
  // The first byte tells how many cuts there are, the next ones how long each piece is.
  void write(tcp::socket& peer, const std::string& input) {
    if (input.empty()) return;
    const std::size_t cuts =
        std::min<std::size_t>(static_cast<unsigned char>(input[0]) % 8, input.size() - 1);
    std::size_t at = 1 + cuts;
    for (std::size_t i = 0; i <= cuts && at < input.size(); ++i) {
      const std::size_t left = input.size() - at;
      const std::size_t size =
          i == cuts ? left : std::min<std::size_t>(static_cast<unsigned char>(input[1 + i]), left);
      Error gone;
      asio::write(peer, asio::buffer(input.data() + at, size), gone);
      at += size;
      settle();
      // The next try goes out between two pieces, as it would between two answers.
      second();
    }
  }
  // At once, so that no port is kept for it.
  static void reset(tcp::socket& peer) {
    Error ignored;
    peer.set_option(asio::socket_base::linger(true, 0), ignored);
    peer.close(ignored);
  }
  // A second connection, where the first was of no more use.
  void resetOthers() {
    acceptor_.non_blocking(true);
    Error none;
    for (;;) {
      tcp::socket other(io_);
      acceptor_.accept(other, none);
      if (none) break;
      reset(other);
    }
    acceptor_.non_blocking(false);
  }
  void settle() {
    for (int i = 0; i < 8; ++i) {
      io_.restart();
      io_.poll();
    }
  }
  bool begun(lilacmux::RequestId, const ResponseHead& head) override {
    require(view(head.fields["X-Attempt-Id"]) == carried_, "another's large answer");
    return true;
  }
  void piece(lilacmux::RequestId id, std::string&&) override {
    asio::post(io_, [this, id] {
      if (pool_) pool_->more(id);
    });
  }

  asio::io_context io_{1};
  tcp::acceptor acceptor_{io_, {asio::ip::address_v4::loopback(), 0}};
  MemoryBudget budget_{1 << 22};
  RequestCounters figures_{{"look"}};
  const lilacmux::UpstreamResponseReader reader_{};
  std::optional<UpstreamConnectionPool> pool_;
  std::string carried_;
  unsigned started_ = 0, ended_ = 0;
};

World& world() {
  static World one;
  return one;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  world().play({reinterpret_cast<const char*>(data), size});
  return 0;
}

#ifndef LILACMUX_FUZZ
namespace {

std::string changed(std::string text, std::mt19937_64& random) {
  for (std::size_t i = random() % 4 + 1; i > 0 && !text.empty(); --i) {
    const std::size_t at = random() % text.size(), span = random() % 40;
    switch (random() % 4) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, span);
        break;
      case 2:
        text.insert(at, text.substr(random() % text.size(), span));
        break;
      default:
        text.resize(at);
    }
  }
  return text;
}

std::vector<std::filesystem::path> filesOf(const char* name) {
  if (!std::filesystem::is_directory(name)) return {name};
  std::vector<std::filesystem::path> out;
  for (const auto& entry : std::filesystem::directory_iterator(name)) out.push_back(entry.path());
  std::sort(out.begin(), out.end());
  return out;
}

}  // namespace

int main(int count, char** words) {
  if (count < 3) {
    std::fprintf(stderr, "usage: %s CHANGES FILE|FOLDER...\n", words[0]);
    return 2;
  }
  std::mt19937_64 random(1);
  unsigned played = 0;
  for (int i = 2; i < count; ++i)
    for (const auto& file : filesOf(words[i])) {
      std::ifstream in(file, std::ios::binary);
      std::ostringstream all;
      all << in.rdbuf();
      world().play(all.str());
      for (int change = std::atoi(words[1]); change > 0; --change, ++played)
        world().play(changed(all.str(), random));
      ++played;
    }
  std::printf("%u inputs played\n", played);
  return played > 0 ? 0 : 1;
}
#endif
