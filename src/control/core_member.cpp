#include "control/core_member.hpp"

#include <exception>
#include <utility>

#include "net/steady.hpp"

namespace lilacmux {
namespace {

constexpr Millis kReopenInterval = 1000;

std::optional<std::filesystem::path> storeFolder(const NodeSettings& settings) {
  if (!settings.dataDirectory) return std::nullopt;
  return *settings.dataDirectory / "control";
}

Replica::Timing timingOf(const NodeSettings& settings) {
  Replica::Timing out;
  out.toleratedLosses = settings.machineFailures;
  return out;
}

}  // namespace

CoreMember::CoreMember(boost::asio::io_context& io, NodeId self, const NodeSettings& settings,
                       PeerDiscovery& discovery, Observer& observer, Log log)
    : self_(std::move(self)),
      storeFolder_(storeFolder(settings)),
      seeds_(seedNodes(settings)),
      timing_(timingOf(settings)),
      discovery_(discovery),
      observer_(observer),
      log_(std::move(log)),
      bootstrap_(settings.bootstrap),
      links_(io) {}

void CoreMember::start() {
  if (storeFolder_) tryOpen();
}

void CoreMember::tick(bool isDraining) {
  if (storeFolder_ && (!replica_ || replica_->hasFailed())) retryOpen();
  if (!replica_) return;
  publishLocalView();
  updateContacts();
  if (!isDraining) replica_->tick(steadyMs());
}

void CoreMember::resign() {
  if (replica_) replica_->resign();
}

// A disk that failed may be writable again: the member starts anew from what is stored, as after a restart of
// the process. LevelDB writes nothing more through an instance that has failed once.
void CoreMember::retryOpen() {
  if (steadyMs() < nextOpenAt_) return;
  const bool isFirst = !replica_;
  if (!tryOpen()) return;
  log_("the disk is in use again");
  if (isFirst) observer_.onReplicaAvailable();
}

bool CoreMember::tryOpen() {
  nextOpenAt_ = steadyMs() + kReopenInterval;
  try {
    open();
    return true;
  } catch (const std::exception& error) {
    log_(std::string("the disk is still out of use: ") + error.what());
    return false;
  }
}

void CoreMember::open() {
  store_.reset();
  store_.emplace(Disk{*storeFolder_, nullptr, nullptr}, log_);
  const bool isFirstStart = bootstrap_ && !store_->wasMovedAside();
  replica_ = std::make_unique<Replica>(self_, seeds_, isFirstStart, store_->read(), timing_, steadyMs(),
                                       static_cast<ReplicaHost&>(*this));
  bootstrap_ = false;
  contacts_.clear();
}

bool CoreMember::store(const DurableState& durable) {
  if (store_->write(durable)) return true;
  nextOpenAt_ = steadyMs() + kReopenInterval;
  return false;
}

void CoreMember::publishLocalView() {
  discovery_.setLocalView({replica_->epoch(), replica_->members()}, replica_->isMember());
}

void CoreMember::updateContacts() {
  auto contacts = discovery_.joinContacts();
  if (contacts == contacts_) return;
  contacts_ = contacts;
  replica_->setContacts(std::move(contacts));
}

}  // namespace lilacmux
