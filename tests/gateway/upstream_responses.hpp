// A pool of connections that reads responses as the gateway does, before one server whose every byte the test
// decides.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "gatekeeper/sides.hpp"
#include "gateway/upstream_response_reader.hpp"

namespace lilacmux::test {

class UpstreamResponses : public Pool {
 protected:
  UpstreamResponses() {
    byId.emplace(io, UpstreamConnectionPool::Limits{}, budget, figures, reader,
                 static_cast<ResponseSink&>(*this), [this](AttemptEnd&& end) {
                   ends.push_back(std::move(end));
                   if (onEnd) onEnd();
                 });
    byId->place(1, {worker.address(), 0});
  }
  // Starts an attempt that gave this id.
  void begin(RequestId id, const std::string& carried) {
    byId->start(id, 0, 1, {"GET / HTTP/1.1\r\nX-Attempt-Id: " + carried + "\r\n\r\n", nullptr, 0, carried},
                std::nullopt);
  }
  // The same, until it is at the server.
  void ask(RequestId id, const std::string& carried) {
    const std::size_t before = worker.count("\r\n\r\n");
    begin(id, carried);
    untilSeen(before + 1);
  }
  static std::string seal(const std::string& id, const std::string& body) {
    return reply("200 OK", body, "X-Server-Seal: s\r\nX-Attempt-Id: " + id + "\r\n");
  }

  void settle() {
    do io.restart();
    while (io.poll() > 0);
  }
  // Nothing more of a request can be written, since the server reads no further.
  void untilStuck() {
    until([&] { return !worker.peers.empty(); }, "a connection");
    worker.peers[0]->pause();
    settle();
  }
  // Takes all pieces of a stream until the attempt ends.
  std::string streamUntilEnd(RequestId id) {
    std::string got;
    until(
        [&] {
          for (std::string& each : std::exchange(pieces, {})) {
            got += each;
            byId->more(id);
          }
          return !ends.empty();
        },
        "its end");
    return got;
  }

  const UpstreamResponseReader reader;
  std::function<void()> onEnd;
  std::optional<UpstreamConnectionPool> byId;
};

}  // namespace lilacmux::test
