#include "gatekeeper/gatekeeper.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

#include "gatekeeper/learned_state_file.hpp"
#include "gatekeeper/spared_sockets.hpp"

namespace lilacmux {
namespace {
using namespace std::chrono_literals;

constexpr unsigned kOwnMegabytes =
    12;  // the program, the decision engine's customers, connections without messages
constexpr unsigned kLeastMegabytes = 4;
constexpr double kIdleShare = 0.8;         // of the time that a server keeps an idle connection
constexpr auto kAcceptAfterTerm = 500ms;   // connections go on coming for up to 400 ms after SIGTERM
constexpr auto kAnswerAfterTerm = 3400ms;  // a request held so long is failed: the end may come at 3.7 s

// A request has one attempt at most, and requests hold a third of the descriptors at most.
std::size_t serverSockets(const Config& config) { return std::max<std::size_t>(8, config.sockets / 3); }

// All others: clients keep many connections without a request, and each that must make room costs one later.
std::size_t clientSockets(const Config& config) {
  const std::size_t taken =
      serverSockets(config) + kSparedSockets + (config.management ? kManagementSockets : 0);
  return std::max<std::size_t>(8, config.sockets - std::min<std::size_t>(config.sockets, taken));
}

// Half of what the program itself does not need, since what is pending is not all that it takes to hold it.
std::size_t bytesOfMessages(const Config& config) {
  return (config.memoryMb - std::min(config.memoryMb - kLeastMegabytes, kOwnMegabytes)) *
         (std::size_t{1} << 20) / 2;
}

UpstreamConnectionPool::Limits poolLimits(const Config& config) {
  UpstreamConnectionPool::Limits out;
  out.connectTimeout = std::chrono::milliseconds(std::lround(std::max(1.0, config.host.connectTimeout)));
  out.idleFor = std::chrono::milliseconds(std::lround(kIdleShare * config.host.idleTimeout));
  out.total = serverSockets(config);
  return out;
}

ClientServer::Limits serverLimits(const Config& config) {
  ClientServer::Limits out;
  out.connections = clientSockets(config);
  return out;
}

}  // namespace

Gatekeeper::Gatekeeper(asio::io_context& io, const Config& config)
    : io_(io),
      config_(config),
      budget_(bytesOfMessages(config)),
      counters_(config.host.classes),
      answers_(config.settings.loadReportFields),
      pool_(io, poolLimits(config), budget_, counters_, answers_, *this,
            [this](AttemptEnd&& end) { ended(std::move(end)); }),
      clientServer_(io, config_.listen, serverLimits(config), budget_, counters_, *this),
      engine_(config.settings, config.seed, clock_.now(), *this),
      ownLimits_{clientSockets(config), serverSockets(config), bytesOfMessages(config)},
      handover_(io, config.folder, *this, [this](const std::string& line) { log(line); }),
      stateFile_(config.folder, [this](const std::string& line) { log(line); }),
      stateTimer_(io),
      drainTimer_(io) {
  long long from = -1;
  if (!config_.known.empty()) {
    const ServerListUpdate known = parseServerListUpdate(config_.known);
    from = known.generation;
    serverListChanged(known, ListUpdateKind::cached);
  }
  watch(config_.discovery, from);
}

Gatekeeper::~Gatekeeper() = default;

void Gatekeeper::start(std::function<void()> left) {
  onLeft_ = std::move(left);
  OperatorsState state = stateFile_.read();
  adopt(state);
  const int inherited = handover_.take();
  if (handover_.hasPredecessor())
    limit({ownLimits_.clients / 2, ownLimits_.servers / 2, ownLimits_.bytes / 2});
  const auto learnedState = takeLearnedState(config_.folder);
  if (handover_.hasPredecessor() && engine_.importLearnedState(clock_.now(), learnedState))
    log("goes on with what its predecessor has learned");
  clientServer_.listen(inherited);
  handover_.offer();
  if (config_.management)
    management_.emplace(io_, *config_.management, ManagementServer::Limits{},
                        static_cast<OperatorCommands&>(*this));
  discovery_->start();
  watchStateFile();
  started_ = true;
  serve();
}

// With a predecessor it waits until it has a list: until then that one does better.
void Gatekeeper::serve() {
  if (!started_ || serving_ || (!ready_ && handover_.hasPredecessor())) return;
  serving_ = true;
  clientServer_.start();
  handover_.reportServing();
  std::ostringstream line;
  line << "serves clients at " << clientServer_.address();
  if (management_) line << ", operators at " << management_->address();
  log(line.str());
}

// Versions of one discovery say nothing at another, so the new one is asked for the whole list; until it
// comes the list that is had stays in force.
void Gatekeeper::reload(const Config& config) {
  if (config.discovery == config_.discovery) return log("reloaded: discovery is where it was");
  config_.discovery = config.discovery;
  watch(config_.discovery, -1);
  discovery_->start();
  log("reloaded: discovery has moved");
}

void Gatekeeper::drain(std::function<void()> done) {
  ending_ = true;
  clientServer_.beginDrain();
  drainTimer_.expires_after(kAcceptAfterTerm);
  drainTimer_.async_wait([this, done = std::move(done)](const Error& error) {
    if (error) return;
    clientServer_.stopAccepting();
    drainTimer_.expires_after(kAnswerAfterTerm - kAcceptAfterTerm);
    drainTimer_.async_wait([this](const Error& late) {
      if (!late) giveUpAll();
    });
    clientServer_.whenEmpty(done);
  });
}

void Gatekeeper::log(const std::string& line) { std::fprintf(stderr, "gatekeeper: %s\n", line.c_str()); }

}  // namespace lilacmux
