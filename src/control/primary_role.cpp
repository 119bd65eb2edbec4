#include "control/primary_role.hpp"

#include <boost/asio/post.hpp>
#include <map>
#include <utility>
#include <variant>

#include "settings/configuration.hpp"

namespace lilacmux {
namespace {

QuotaRule quotaRule(const ServiceBounds& bounds) {
  return {bounds.quotaWindowS, bounds.quotaOverage, bounds.quotaSlack};
}

RetryRule retryRule(const ServiceBounds& bounds) {
  return {bounds.retryBudgetRatio, bounds.retryBudgetSlack};
}

// Returns the committed configuration; an empty one if there is none that can be read.
Configuration configurationOf(const ReplicatedState& state) {
  if (!state.body) return {};
  auto parsed = parseAcceptedConfiguration(*state.body);
  auto* const configuration = std::get_if<Configuration>(&parsed);
  return configuration ? std::move(*configuration) : Configuration{};
}

std::map<std::string, Quota> quotasOf(const Configuration& configuration) {
  std::map<std::string, Quota> out;
  for (const Tenant& tenant : configuration.tenants)
    if (tenant.ratePerS > 0) out[tenant.name] = {tenant.ratePerS, tenant.burst};
  return out;
}

std::set<std::string> shardedServicesOf(const Configuration& configuration) {
  std::set<std::string> out;
  for (const Service& service : configuration.services)
    if (service.isSharded) out.insert(service.name);
  return out;
}

}  // namespace

PrimaryRole::PrimaryRole(boost::asio::io_context& io, const NodeSettings& settings,
                         std::function<void()> onProposalDue, std::function<bool()> mayAct, Log log)
    : io_(io),
      bounds_(settings.bounds),
      platform_{settings.platform, settings.platformRatePerS},
      onProposalDue_(std::move(onProposalDue)),
      mayAct_(std::move(mayAct)),
      log_(std::move(log)) {}

void PrimaryRole::apply(Millis now, std::uint64_t epoch, const ChangeLog& followed,
                        const ReplicatedState& committed) {
  if (!primary_) begin(now, epoch, followed, committed);
  proposedForRemoval_.clear();
  ownership_->onCommitted(committed);
  if (primary_->revision() == committed.revision && configured_) return;
  configured_ = true;
  const Configuration configuration = configurationOf(committed);
  primary_->setConfiguration(now, committed.revision, committed.body, quotasOf(configuration));
  ownership_->setShardedServices(shardedServicesOf(configuration));
  ownership_->setServers(primary_->servers());
}

void PrimaryRole::begin(Millis now, std::uint64_t epoch, const ChangeLog& followed,
                        const ReplicatedState& committed) {
  ++activationCount_;
  primary_ = std::make_unique<PrimaryService>(now, epoch, followed, committed.grantHolders,
                                              quotaRule(bounds_), retryRule(bounds_));
  ownership_ =
      std::make_unique<OwnershipRole>(io_, bounds_.maxHoldMs, committed, mayAct_, onProposalDue_, log_);
  configured_ = false;
  watchPlatform();
}

void PrimaryRole::end() {
  primary_.reset();
  unreplicatedGrantHolders_.clear();
  proposedForRemoval_.clear();
  // Destroys both later, as this may run inside one of their handlers.
  boost::asio::post(io_, [ownership = std::shared_ptr<OwnershipRole>(std::move(ownership_))] {});
  boost::asio::post(io_, [watcher = std::shared_ptr<PlatformWatcher>(std::move(watcher_))] {});
}

bool PrimaryRole::setPlatform(const PlatformEndpoint& platform) {
  const bool addressChanged = platform.address != platform_.address;
  platform_ = platform;
  if (addressChanged && watcher_) watchPlatform();
  return addressChanged;
}

void PrimaryRole::watchPlatform() {
  watcher_.reset();
  if (!platform_.address) return log_("platformApi.address is not set; no server list is read");
  watcher_ = std::make_unique<PlatformWatcher>(
      io_, *platform_.address, platform_.maxRequestsPerS,
      [this](const std::vector<Instance>& list) {
        if (!primary_) return;
        primary_->updateServers(list);
        ownership_->setServers(primary_->servers());
      },
      log_);
}

void PrimaryRole::fillResponse(Millis now, const FollowRequest& request, const ReplicatedState& committed,
                               FollowResponse& response) {
  const std::string grantHolder = nameWithoutIncarnation(request.name);
  const bool isReplicated =
      committed.grantHolders.contains(grantHolder) && !proposedForRemoval_.contains(grantHolder);
  if (!isReplicated) {
    unreplicatedGrantHolders_.insert(grantHolder);
    onProposalDue_();
  }
  primary_->fillResponse(now, request, isReplicated, response);
  ownership_->fillResponse(now, request, response);
  if (watcher_) response.listAgeMs = excessListAge(now, watcher_->listAsOf(), bounds_);
}

void PrimaryRole::propose(Millis now, Replica& replica) {
  if (!primary_) return;
  proposeGrantHolders(now, replica);
  ownership_->propose(now, replica);
}

void PrimaryRole::proposeGrantHolders(Millis now, Replica& replica) {
  if (unreplicatedGrantHolders_.empty() || !replica.canPropose(now)) return;
  ReplicatedState next = replica.committed();
  ++next.sequence;
  std::erase_if(next.grantHolders, [&](const std::string& grantHolder) {
    const bool isRemoved = primary_->hasExpired(now, grantHolder);
    if (isRemoved) proposedForRemoval_.insert(grantHolder);
    return isRemoved;
  });
  next.grantHolders.merge(unreplicatedGrantHolders_);
  unreplicatedGrantHolders_.clear();
  replica.propose(now, next);
}

std::optional<PrimaryRole::Status> PrimaryRole::status(Millis now) const {
  if (!primary_) return std::nullopt;
  return Status{primary_->listIndex(), primary_->revision(), primary_->relayCount(now), ownership_->status()};
}

}  // namespace lilacmux
