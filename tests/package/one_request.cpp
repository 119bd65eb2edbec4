// A program outside the tree: drives one request through the installed library.
#include <cstdio>
#include <lilacmux/decision_engine.hpp>

namespace {

struct Printer : lilacmux::EngineActions {
  lilacmux::ServerId sentTo = 0;
  void send(lilacmux::RequestId id, lilacmux::ServerId server, lilacmux::Time) override {
    std::printf("request %u goes to server %llu\n", id, static_cast<unsigned long long>(server));
    sentTo = server;
  }
  void reject(lilacmux::RequestId, lilacmux::Time) override {}
  void fail(lilacmux::RequestId) override {}
  void setTimer(lilacmux::Time, std::uint64_t) override {}
  void subscribe() override {}
  void log(const std::string&) override {}
};

}  // namespace

int main() {
  lilacmux::EngineSettings settings;
  lilacmux::ClassSettings requestClass;
  requestClass.latencyTarget = 500, requestClass.deadline = 2000,
  requestClass.idempotency = lilacmux::Idempotency::safe;
  lilacmux::PlanSettings plan;
  plan.rate = 5, plan.burst = 10;
  settings.classes = {requestClass};
  settings.plans = {plan};
  Printer actions;
  lilacmux::DecisionEngine gateway(settings, 1, 0, actions);
  lilacmux::ListedServer server;
  server.id = 42;
  gateway.updateServers(0, lilacmux::ListUpdateKind::full, {server});
  gateway.handleRequest(1, {7, 0, 0, 99, 2001, 1, 1});
  lilacmux::AttemptOutcome outcome;
  outcome.id = 7, outcome.server = 42, outcome.elapsed = 20, outcome.isRequestFinished = true;
  gateway.handleOutcome(21, outcome);
  return actions.sentTo == 42 && gateway.pendingRequestCount() == 0 ? 0 : 1;
}
