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

// Returns each tenant's quota by the configuration; empty if there is no readable configuration.
std::map<std::string, Quota> quotasOf(const ReplicatedState& state) {
  std::map<std::string, Quota> out;
  if (!state.body) return out;
  const auto parsed = parseConfiguration(*state.body);
  const auto* configuration = std::get_if<Configuration>(&parsed);
  if (!configuration) return out;
  for (const Tenant& tenant : configuration->tenants)
    if (tenant.ratePerS > 0) out[tenant.name] = {tenant.ratePerS, tenant.burst};
  return out;
}

}  // namespace

PrimaryRole::PrimaryRole(boost::asio::io_context& io, const NodeSettings& settings,
                         std::function<void()> onGrantHolderAdded, Log log)
    : io_(io),
      bounds_(settings.bounds),
      platform_{settings.platform, settings.platformRatePerS},
      onGrantHolderAdded_(std::move(onGrantHolderAdded)),
      log_(std::move(log)) {}

void PrimaryRole::apply(Millis now, std::uint64_t epoch, const ChangeLog& followed,
                        const ReplicatedState& committed) {
  if (!primary_) begin(now, epoch, followed, committed);
  if (primary_->revision() == committed.revision) return;  // only names of grant holders have changed
  primary_->setConfiguration(now, committed.revision, committed.body, quotasOf(committed));
}

void PrimaryRole::begin(Millis now, std::uint64_t epoch, const ChangeLog& followed,
                        const ReplicatedState& committed) {
  ++activationCount_;
  primary_ = std::make_unique<PrimaryService>(now, epoch, followed, committed.grantHolders,
                                              quotaRule(bounds_), retryRule(bounds_));
  watchPlatform();
}

void PrimaryRole::end() {
  primary_.reset();
  unreplicatedGrantHolders_.clear();
  // Destroys the watcher later, as this may run inside one of its handlers.
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
        if (primary_) primary_->updateServers(list);
      },
      log_);
}

void PrimaryRole::fillResponse(Millis now, const FollowRequest& request, const ReplicatedState& committed,
                               FollowResponse& response) {
  const std::string grantHolder = nameWithoutIncarnation(request.name);
  const bool isReplicated = committed.grantHolders.contains(grantHolder);
  if (!isReplicated) {
    unreplicatedGrantHolders_.insert(grantHolder);
    onGrantHolderAdded_();
  }
  primary_->fillResponse(now, request, isReplicated, response);
  if (watcher_) response.listAgeMs = excessListAge(now, watcher_->listAsOf(), bounds_);
}

void PrimaryRole::proposeGrantHolders(Millis now, Replica& replica) {
  if (unreplicatedGrantHolders_.empty() || !replica.canPropose(now)) return;
  ReplicatedState next = replica.committed();
  ++next.sequence;
  std::erase_if(next.grantHolders,
                [&](const std::string& grantHolder) { return primary_->hasExpired(now, grantHolder); });
  next.grantHolders.merge(unreplicatedGrantHolders_);
  unreplicatedGrantHolders_.clear();
  replica.propose(now, next);
}

std::optional<PrimaryRole::Status> PrimaryRole::status(Millis now) const {
  if (!primary_) return std::nullopt;
  return Status{primary_->listIndex(), primary_->revision(), primary_->relayCount(now)};
}

}  // namespace lilacmux
