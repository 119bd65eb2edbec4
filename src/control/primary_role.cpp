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

// Each tenant's quota by the configuration; none where there is no configuration that can be read.
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
                         std::function<void()> onHolderAdded, Log log)
    : io_(io),
      bounds_(settings.bounds),
      platform_{settings.platform, settings.platformRatePerS},
      onHolderAdded_(std::move(onHolderAdded)),
      log_(std::move(log)) {}

void PrimaryRole::apply(Millis now, std::uint64_t epoch, const ChangeLog& followed,
                        const ReplicatedState& committed) {
  if (!primary_) begin(now, epoch, followed, committed);
  if (primary_->revision() == committed.revision) return;  // only names of holders have changed
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
  unreplicatedHolders_.clear();
  // This may be called from one of the watch's own handlers.
  boost::asio::post(io_, [watch = std::shared_ptr<PlatformWatcher>(std::move(watch_))] {});
}

bool PrimaryRole::setPlatform(const PlatformEndpoint& platform) {
  const bool hasMoved = platform.address != platform_.address;
  platform_ = platform;
  if (hasMoved && watch_) watchPlatform();
  return hasMoved;
}

void PrimaryRole::watchPlatform() {
  watch_.reset();
  if (!platform_.address) return log_("platformApi.address is missing: no list of servers");
  watch_ = std::make_unique<PlatformWatcher>(
      io_, *platform_.address, platform_.maxRequestsPerS,
      [this](const std::vector<Instance>& list) {
        if (primary_) primary_->updateServers(list);
      },
      log_);
}

void PrimaryRole::fillResponse(Millis now, const FollowRequest& request, const ReplicatedState& committed,
                               FollowResponse& response) {
  const std::string holder = nameWithoutIncarnation(request.name);
  const bool isReplicated = committed.grantHolders.contains(holder);
  if (!isReplicated) {
    unreplicatedHolders_.insert(holder);
    onHolderAdded_();
  }
  primary_->fillResponse(now, request, isReplicated, response);
  if (watch_) response.listAgeMs = excessListAge(now, watch_->listAsOf(), bounds_);
}

void PrimaryRole::proposeHolders(Millis now, Replica& replica) {
  if (unreplicatedHolders_.empty() || !replica.canPropose(now)) return;
  ReplicatedState next = replica.committed();
  ++next.sequence;
  std::erase_if(next.grantHolders,
                [&](const std::string& holder) { return primary_->hasExpired(now, holder); });
  next.grantHolders.merge(unreplicatedHolders_);
  unreplicatedHolders_.clear();
  replica.propose(now, next);
}

std::optional<PrimaryRole::Status> PrimaryRole::status(Millis now) const {
  if (!primary_) return std::nullopt;
  return Status{primary_->listIndex(), primary_->revision(), primary_->relayCount(now)};
}

}  // namespace lilacmux
