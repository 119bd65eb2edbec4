#include "control/lease_client.hpp"

#include <boost/asio/post.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/steady.hpp"
#include "settings/settings.hpp"

namespace lilacmux {
namespace {

using namespace std::chrono_literals;

// Together with the time in the queue below `LeaseManager::Rule::delayBound`.
constexpr auto kGrantTimeout = 1000ms;
constexpr auto kUserTimeout = 1000ms;
constexpr double kMaxQueueTime = 300;     // ms
constexpr auto kReleaseTimeout = 4000ms;  // the work that runs on the keys ends first

constexpr unsigned kOk = 200, kConflict = 409, kMisdirected = 421;

FetchRequest requestFor(const LeaseCall& call) {
  nlohmann::json body = {
      {"fromRevision", call.keys.first}, {"targetRevision", call.keys.last}, {"fence", call.fence}};
  FetchRequest out;
  out.method = boost::beast::http::verb::post;
  out.target = "/api/release";
  if (call.kind == LeaseCall::Kind::grant) {
    out.target = "/api/grant";
    body["holdDurationMs"] = static_cast<std::uint64_t>(call.holdMs);
    if (!call.handoff.empty()) body["handoff"] = call.handoff;
  }
  const auto bytes = nlohmann::json::to_msgpack(body);
  out.body.assign(bytes.begin(), bytes.end());
  out.fields = {{"Content-Type", "application/msgpack"}, {"X-Expected-Instance", call.server}};
  return out;
}

LeaseCallResult resultOf(const FetchOutcome& outcome) {
  using Outcome = LeaseCallResult::Outcome;
  LeaseCallResult out;
  if (!outcome.response) {
    out.outcome = outcome.wasSent ? Outcome::unknown : Outcome::notDelivered;
    return out;
  }
  const Fetched& response = *outcome.response;
  const auto token = response.fields["X-Handover-Token"];
  out.handoff.assign(token.data(), token.size());
  if (response.status == kOk) out.outcome = Outcome::done;
  if (response.status == kConflict) out.outcome = Outcome::fenceRejected;
  if (response.status == kMisdirected) out.outcome = Outcome::notDelivered;
  return out;
}

}  // namespace

LeaseClient::LeaseClient(boost::asio::io_context& io, std::function<bool()> mayAct, Ended ended)
    : io_(io), mayAct_(std::move(mayAct)), ended_(std::move(ended)) {}

LeaseClient::~LeaseClient() { *alive_ = false; }

void LeaseClient::setServers(const std::map<std::string, Instance>& servers) {
  std::erase_if(servers_, [&](const auto& entry) {
    const auto& [id, server] = entry;
    return !servers.contains(id) && !server.grants.isBusy && !server.releases.isBusy;
  });
  for (const auto& [id, instance] : servers) {
    if (servers_.contains(id)) continue;
    try {
      servers_[id].address = parseAddress(instance.address, "address");
    } catch (const SettingsError&) {
      servers_.erase(id);
    }
  }
}

LeaseClient::Channel* LeaseClient::channelOf(const std::string& server, LeaseCall::Kind kind) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return nullptr;
  Channel& out = kind == LeaseCall::Kind::grant ? found->second.grants : found->second.releases;
  if (!out.fetcher)
    out.fetcher = std::make_unique<Fetcher>(io_, found->second.address, Fetcher::Options{true, kUserTimeout});
  return &out;
}

void LeaseClient::send(const LeaseCall& call) {
  Channel* const channel = channelOf(call.server, call.kind);
  if (!channel) {
    boost::asio::post(io_, [this, alive = alive_, call] {
      if (*alive) end(call, {});
    });
    return;
  }
  channel->queue.push_back({call, steadyMs()});
  boost::asio::post(io_, [this, alive = alive_, server = call.server, kind = call.kind] {
    if (*alive) sendNext(server, kind);
  });
}

void LeaseClient::sendNext(const std::string& server, LeaseCall::Kind kind) {
  Channel* const channel = channelOf(server, kind);
  if (!channel || channel->isBusy || channel->queue.empty()) return;
  const QueuedCall next = std::move(channel->queue.front());
  channel->queue.pop_front();
  channel->isBusy = true;
  FetchRequest request = requestFor(next.call);
  request.mayBeSent = [this, queuedAt = next.queuedAt] {
    return mayAct_() && steadyMs() - queuedAt < kMaxQueueTime;
  };
  const auto timeout = kind == LeaseCall::Kind::grant ? kGrantTimeout : kReleaseTimeout;
  channel->fetcher->call(std::move(request), timeout,
                         [this, alive = alive_, call = next.call](const FetchOutcome& outcome) {
                           if (!*alive) return;
                           if (Channel* const used = channelOf(call.server, call.kind)) used->isBusy = false;
                           end(call, outcome);
                           sendNext(call.server, call.kind);
                         });
}

void LeaseClient::end(const LeaseCall& call, const FetchOutcome& outcome) {
  ended_(call.id, resultOf(outcome));
}

}  // namespace lilacmux
