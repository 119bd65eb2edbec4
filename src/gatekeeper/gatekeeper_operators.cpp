// The gatekeeper's side towards operators: suspensions, the front's drain, and the file that keeps them.
#include <chrono>
#include <string>

#include "gatekeeper/gatekeeper.hpp"
#include "gatekeeper/server_id.hpp"

namespace lilacmux {
namespace {

using namespace std::chrono_literals;

constexpr Time kKeepReturns = 600000;       // ms; a server is warm long before
constexpr auto kStateFileInterval = 100ms;  // an operator's call at the other process binds here 1 s later

}  // namespace

bool Gatekeeper::takesClients() const {
  return serving_ && ready_ && !retired_ && !ending_ && !clientServer_.frontDrained();
}

std::string Gatekeeper::figures() const {
  return counters_.text(clientServer_.active(), engine_.poolView(clock_.now()));
}

bool Gatekeeper::suspend(const std::string& instanceId) {
  if (!knownServers_.contains(serverIdOf(instanceId))) return false;
  change([&](OperatorsState& state) {
    auto& suspension = state.suspensions[instanceId];
    if (!suspension.isSuspended()) suspension.suspended = clock_.now();
  });
  return true;
}

bool Gatekeeper::resume(const std::string& instanceId) {
  if (!knownServers_.contains(serverIdOf(instanceId))) return false;
  change([&](OperatorsState& state) {
    const auto found = state.suspensions.find(instanceId);
    if (found != state.suspensions.end() && found->second.isSuspended()) found->second.resumed = clock_.now();
  });
  return true;
}

void Gatekeeper::startFrontDrain() {
  change([&](OperatorsState& state) { state.front = {clock_.now(), true}; });
}

void Gatekeeper::endFrontDrain() {
  change([&](OperatorsState& state) { state.front = {clock_.now(), false}; });
}

void Gatekeeper::change(const std::function<void(OperatorsState&)>& how) {
  OperatorsState next = state_;
  if (stateFile_.changed()) next.merge(stateFile_.read());
  how(next);
  std::erase_if(next.suspensions, [&](const auto& entry) {
    return !entry.second.isSuspended() && entry.second.changed() < clock_.now() - kKeepReturns;
  });
  adopt(next);
  stateFile_.write(next);
}

// Carries out what differs from what this process knows.
void Gatekeeper::adopt(const OperatorsState& state) {
  for (const auto& [id, suspension] : state.suspensions) {
    if (state_.suspensions[id] == suspension) continue;
    const ServerId server = serverIdOf(id);
    knownServers_.insert(server);
    engine_.suspend(suspension.suspended, server);
    if (suspension.isSuspended())
      pool_.closeIdle(server);
    else
      engine_.resume(suspension.resumed, server);
    log((suspension.isSuspended() ? "suspended: " : "resumed: ") + id);
  }
  if (state.front.away != clientServer_.frontDrained()) {
    state.front.away ? clientServer_.startFrontDrain() : clientServer_.endFrontDrain();
    log(state.front.away ? "front drain: clients are sent away" : "front drain is over");
  }
  state_ = state;
}

// The other process of an upgrade may be the one that is called.
void Gatekeeper::watchStateFile() {
  if (stateFile_.changed()) {
    OperatorsState next = state_;
    next.merge(stateFile_.read());
    adopt(next);
  }
  stateTimer_.expires_after(kStateFileInterval);
  stateTimer_.async_wait([this](const Error& error) {
    if (!error) watchStateFile();
  });
}

}  // namespace lilacmux
