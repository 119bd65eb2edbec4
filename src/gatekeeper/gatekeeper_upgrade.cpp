// How two processes of one gatekeeper share the machine while one takes over from the other.
#include <cstddef>

#include "gatekeeper/gatekeeper.hpp"
#include "gatekeeper/learned_state_file.hpp"
#include "gatekeeper/spared_sockets.hpp"

namespace lilacmux {
namespace {

constexpr std::size_t kOwnBytesOfOther = 3 << 20;  // of an upgrade's other process, in bytes of messages
constexpr std::size_t kLeastBytes = 2 << 20;
constexpr std::size_t kLeastConnections = 8;
constexpr std::size_t kSparedAttempts = 4;

}  // namespace

void Gatekeeper::limit(const ResourceLimits& most) {
  clientServer_.limit(most.clients);
  pool_.limit(most.servers);
  budget_.limit(most.bytes);
}

// Until the successor serves each may grow by half of what is left; then this one holds no more connections,
// but for further attempts, and still needs room for the responses that come to what it holds.
ResourceLimits Gatekeeper::resourceLimits() {
  const auto half = [](std::size_t held, std::size_t most) {
    return held > most ? held : held + (most - held) / 2;
  };
  const std::size_t clients = clientServer_.connections(), servers = pool_.connections();
  ResourceLimits out{retired_ ? clients : half(clients, ownLimits_.clients),
                     retired_ ? servers : half(servers, ownLimits_.servers),
                     half(budget_.held(), ownLimits_.bytes)};
  if (retired_) out.servers += kSparedAttempts;
  limit(out);
  return out;
}

void Gatekeeper::successorStarts() {
  if (!writeLearnedState(config_.folder, engine_.exportLearnedState(clock_.now())))
    log("what this process has learned is not handed on");
}

void Gatekeeper::successorServes() {
  log("a successor serves: this process ends with what it holds");
  retired_ = true;
  clientServer_.retire();
  clientServer_.whenEmpty(onLeft_);
}

void Gatekeeper::successorLost() {
  log("the successor is gone before it served");
  limit(ownLimits_);
}

void Gatekeeper::predecessorHolds(const ResourceLimits& other) {
  const auto rest = [](std::size_t most, std::size_t taken, std::size_t least) {
    return most > taken + least ? most - taken : least;
  };
  limit({rest(ownLimits_.clients, other.clients + kSparedSockets + kManagementSockets, kLeastConnections),
         rest(ownLimits_.servers, other.servers, kLeastConnections),
         rest(ownLimits_.bytes, other.bytes + kOwnBytesOfOther, kLeastBytes)});
}

void Gatekeeper::predecessorLeft() {
  log("the predecessor has left");
  limit(ownLimits_);
  serve();
}

}  // namespace lilacmux
