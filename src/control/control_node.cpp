#include "control/control_node.hpp"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "net/steady.hpp"

namespace lilacmux {
namespace {

using namespace std::chrono_literals;

constexpr auto kTickInterval = 100ms;
// Leaves time to send the pending messages, and for each gateway to send one more request.
constexpr auto kDrainDelay = 350ms;

// Returns `settings`. Throws SettingsError if they lack what the control role requires.
const NodeSettings& requireControlSettings(const NodeSettings& settings) {
  if (!settings.controlPlane)
    throw SettingsError("listeners.controlPlane", "is missing; the control role requires it");
  if (settings.seeds.empty()) throw SettingsError("seedNodes", "is empty");
  return settings;
}

NodeId internalAddress(const NodeSettings& settings) {
  return settings.address + ":" + std::to_string(controlPort(settings));
}

}  // namespace

ControlNode::ControlNode(boost::asio::io_context& io, const NodeSettings& settings, Log log)
    : io_(io),
      settings_(requireControlSettings(settings)),
      log_(std::move(log)),
      self_(internalAddress(settings_)),
      discovery_(io, self_, settings_),
      relay_(io, self_, settings_, log_),
      member_(io, self_, settings_, discovery_, *this, log_),
      primary_(
          io, settings_, [this] { postProcessProposals(); },
          [this] { return member_.replica() && member_.replica()->hasLease(steadyMs()); }, log_),
      follows_(self_, settings_.networkMbps, discovery_, primary_, relay_),
      internalApi_(discovery_, member_, follows_),
      operatorApi_(self_, settings_, {member_, configuration_, primary_, relay_, discovery_, internalApi_}),
      tickTimer_(io),
      drainTimer_(io) {
  if (!settings_.dataDirectory)
    log_("no data directory: this node stores no state and redirects operators to other control nodes");
  log_(seedsText(settings_));
  member_.start();
  internalApi_.listen(io_, Endpoint(boost::asio::ip::make_address(settings_.address), controlPort(settings_)),
                      log_);
  operatorApi_.listen(io_);
  startFollowing();
  tick();
}

ControlNode::~ControlNode() = default;

void ControlNode::startFollowing() {
  relay_.follow(member_.replica() ? RelayService::Mode::relay : RelayService::Mode::locator);
}

void ControlNode::reload(const NodeSettings& settings) {
  settings_.seeds = settings.seeds;
  discovery_.setSeeds(seedNodes(settings_));
  member_.setSeeds(seedNodes(settings_));
  relay_.setSeeds(controlSeeds(settings_));
  const bool addressChanged = primary_.setPlatform({settings.platform, settings.platformRatePerS});
  log_("settings reloaded; " + seedsText(settings_) +
       (addressChanged ? "; the address of the platform API has changed" : ""));
}

void ControlNode::drain(std::function<void()> done) {
  isDraining_ = true;
  member_.resign();
  relay_.beginDrain();
  drainTimer_.expires_after(kDrainDelay);
  drainTimer_.async_wait([this, done = std::move(done)](const boost::system::error_code&) {
    if (!member_.replica()) return done();
    relay_.finishDrain(done);
  });
}

void ControlNode::tick() {
  member_.tick(isDraining_);
  if (member_.replica()) processProposals();
  relay_.updateCore(discovery_.core());
  if (!isDraining_) discovery_.announce();
  discovery_.savePeers();
  tickTimer_.expires_after(kTickInterval);
  tickTimer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) tick();
  });
}

void ControlNode::onCommitted(const ReplicatedState& state) {
  primary_.apply(steadyMs(), member_.replica()->epoch(), relay_.changeLog(), state);
  configuration_.onCommitted();
  postProcessProposals();
}

void ControlNode::onPrimacyLost() {
  primary_.end();
  configuration_.onPrimacyLost();
}

void ControlNode::onReplicaAvailable() { startFollowing(); }

// Only one proposal can be pending. Operators' changes take precedence over names of grant holders.
void ControlNode::processProposals() {
  Replica& replica = *member_.replica();
  configuration_.processQueue(steadyMs(), replica);
  primary_.propose(steadyMs(), replica);
}

// Defers the proposals, as they must not be made from within a call of the replica.
void ControlNode::postProcessProposals() {
  boost::asio::post(io_, [this] { processProposals(); });
}

}  // namespace lilacmux
