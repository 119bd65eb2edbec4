#include "control/ownership_role.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "net/steady.hpp"
#include "ownership/assignment_planner.hpp"

namespace lilacmux {
namespace {

using namespace std::chrono_literals;

constexpr auto kTickInterval = 20ms;
constexpr Millis kPlanInterval = 400;
constexpr Millis kMaxHold = 4000;       // bounds how long the keys of a crashed server have no owner
constexpr double kRenewalsPerHold = 4;  // so that a hold outlasts a failover of the control plane

LeaseManager::Rule ruleFor(double maxHoldMs) {
  LeaseManager::Rule out;
  out.hold = std::min(kMaxHold, maxHoldMs);
  out.renewInterval = out.hold / kRenewalsPerHold;
  return out;
}

std::optional<OwnershipTable> decodeTable(const std::shared_ptr<const std::string>& encoded) {
  return encoded ? OwnershipTable::decode(*encoded) : OwnershipTable();
}

}  // namespace

OwnershipRole::OwnershipRole(boost::asio::io_context& io, double maxHoldMs, const ReplicatedState& committed,
                             std::function<bool()> mayAct, std::function<void()> onPlanDue, Log log)
    : mayAct_(std::move(mayAct)),
      onPlanDue_(std::move(onPlanDue)),
      log_(std::move(log)),
      rule_(ruleFor(maxHoldMs)),
      encoded_(committed.ownership),
      table_(decodeTable(encoded_).value_or(OwnershipTable())),
      client_(io, mayAct_,
              [this](std::uint64_t call, const LeaseCallResult& result) {
                leases_.callEnded(steadyMs(), call, result);
              }),
      leases_(steadyMs(), rule_, client_, table_),
      timer_(io) {
  setTable(committed);
  tick();
}

OwnershipRole::~OwnershipRole() { *alive_ = false; }

// A table that cannot be decoded must not be taken for an empty one, which would allocate fences anew.
void OwnershipRole::setTable(const ReplicatedState& committed) {
  encoded_ = committed.ownership;
  auto table = decodeTable(encoded_);
  isReadable_ = table.has_value();
  if (!isReadable_) return log_("the ownership table cannot be decoded; no keys are granted");
  table_ = *std::move(table);
  directory_.apply(table_);
}

void OwnershipRole::tick() {
  if (isReadable_ && mayAct_()) {
    leases_.tick(steadyMs());
    if (steadyMs() >= nextPlanAt_ && !shardedServices_.empty()) {
      nextPlanAt_ = steadyMs() + kPlanInterval;
      onPlanDue_();
    }
  }
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this, alive = alive_](const boost::system::error_code& error) {
    if (!error && *alive) tick();
  });
}

void OwnershipRole::onCommitted(const ReplicatedState& committed) {
  if (committed.ownership == encoded_) return;
  setTable(committed);
  if (isReadable_) leases_.setTable(steadyMs(), table_);
}

void OwnershipRole::setShardedServices(std::set<std::string> services) {
  shardedServices_ = std::move(services);
}

void OwnershipRole::setServers(const Instances& servers) {
  Instances sharded;
  std::set<std::string> ids;
  for (const auto& [id, instance] : servers) {
    if (!shardedServices_.contains(instance.service)) continue;
    sharded[id] = instance;
    ids.insert(id);
  }
  servers_ = std::move(sharded);
  client_.setServers(servers_);
  leases_.setServers(std::move(ids));
}

// The servers that may be given keys. Where most of them do not respond, the fault is more likely on this
// side, and moving their keys would help nobody.
std::vector<std::string> OwnershipRole::serversFor(Millis now, const std::string& service) const {
  std::vector<std::string> out;
  std::size_t listed = 0;
  for (const auto& [id, instance] : servers_) {
    if (instance.service != service || instance.draining) continue;
    ++listed;
    if (!leases_.isUnresponsive(now, id)) out.push_back(id);
  }
  if (out.size() * 2 >= listed) return out;
  out.clear();
  return out;
}

bool OwnershipRole::clearHandovers(const std::string& service, OwnershipTable& table) const {
  std::vector<Fence> done;
  for (const Assignment& each : table.assignments(service))
    if (each.hasPrevious() && leases_.isHandedOver(each.fence)) done.push_back(each.fence);
  for (const Fence fence : done) table.clearPrevious(service, fence);
  return !done.empty();
}

bool OwnershipRole::plan(Millis now, const std::string& service, OwnershipTable& table) const {
  const auto load = loads_.find(service);
  PlacementInput input;
  input.service = service;
  input.servers = serversFor(now, service);
  input.load = load == loads_.end() ? nullptr : &load->second;
  input.isHandedOver = [this](Fence fence) { return leases_.isHandedOver(fence); };
  input.isRejected = [this](Fence fence) { return leases_.isRejected(fence); };
  const bool moved = planAssignments(input, table);
  return clearHandovers(service, table) || moved;
}

void OwnershipRole::propose(Millis now, Replica& replica) {
  if (!isReadable_ || !replica.canPropose(now) || replica.committed().ownership != encoded_) return;
  OwnershipTable next = table_;
  next.beginChange();
  next.setMaxHoldMs(rule_.hold);
  bool changed = false;
  for (const std::string& service : shardedServices_) changed = plan(now, service, next) || changed;
  if (!changed) return;
  ReplicatedState state = replica.committed();
  ++state.sequence;
  state.ownership = std::make_shared<const std::string>(next.encode());
  replica.propose(now, state);
}

void OwnershipRole::fillResponse(Millis now, const FollowRequest& request, FollowResponse& response) {
  for (const auto& [service, buckets] : request.keyCounts.services())
    if (shardedServices_.contains(service)) loads_[service].add(now, buckets);
  response.ownership = directory_.deltaSince(request.ownershipVersion);
}

OwnershipRole::Status OwnershipRole::status() const {
  Status out;
  for (const auto& [service, assignments] : table_.services()) {
    out.ranges += assignments.size();
    out.pendingHandovers += static_cast<std::size_t>(
        std::count_if(assignments.begin(), assignments.end(),
                      [&](const Assignment& each) { return !leases_.isHandedOver(each.fence); }));
  }
  out.counts = leases_.counts();
  return out;
}

}  // namespace lilacmux
