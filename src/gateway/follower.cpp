#include "gateway/follower.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>

#include "net/steady.hpp"

namespace lilacmux {
namespace {

using namespace std::chrono_literals;

constexpr auto kEvery = 250ms;    // longer: changes and shares come later; shorter: more work for all
constexpr auto kLeastGap = 10ms;  // between two calls, however low a stock is
constexpr auto kAnswerWithin = 700ms;
constexpr auto kAfterFailure = 60ms;
constexpr auto kNobodyLeads = 120ms;
constexpr std::ptrdiff_t kMostCandidates = 12;  // the newest ones

}  // namespace

Follower::Follower(boost::asio::io_context& io, std::vector<Endpoint> candidates, Asks asks, News news,
                   Log log)
    : io_(io),
      candidates_(std::move(candidates)),
      timer_(io),
      asks_(std::move(asks)),
      news_(std::move(news)),
      log_(std::move(log)) {
  if (!candidates_.empty()) go(candidates_.front());
  again(0ms);
}

void Follower::add(const std::vector<Endpoint>& candidates) {
  for (const Endpoint& each : candidates)
    if (std::find(candidates_.begin(), candidates_.end(), each) == candidates_.end())
      candidates_.push_back(each);
  if (std::ssize(candidates_) > kMostCandidates)
    candidates_.erase(candidates_.begin(), candidates_.end() - kMostCandidates);
}

// The core's members change: who is asked when the primary falls silent must not be only those told first.
void Follower::learn(const std::vector<NodeId>& core) {
  try {
    std::vector<Endpoint> told;
    for (const NodeId& node : core) told.push_back(parseAddress(node, "core"));
    add(told);
  } catch (const SettingsError& why) {
    log_(std::string("a core member's address cannot be read: ") + why.what());
  }
}

void Follower::again(std::chrono::milliseconds wait) {
  timer_.expires_after(wait);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) poll();
  });
}

void Follower::hurry() {
  if (!waits_) return;
  waits_ = false;
  const auto due = askedAt_ + kLeastGap - std::chrono::steady_clock::now();
  again(std::max(0ms, std::chrono::ceil<std::chrono::milliseconds>(due)));
}

void Follower::go(const Endpoint& to) {
  if (client_ && client_->peer() == to) return;
  // The client's own handler may be what is running.
  if (client_) boost::asio::post(io_, [old = std::shared_ptr<FrameClient>(std::move(client_))] {});
  client_ = std::make_unique<FrameClient>(io_, to);
}

void Follower::next() {
  if (candidates_.empty()) return;
  at_ = (at_ + 1) % candidates_.size();
  go(candidates_[at_]);
}

void Follower::poll() {
  waits_ = false;
  if (!client_) return again(kEvery);
  askedAt_ = std::chrono::steady_clock::now();
  const Millis sentAt = steadyMs();
  client_->call(toFrame(asks_()), kAnswerWithin,
                [this, sentAt](std::optional<Frame> frame) { answered(std::move(frame), sentAt); });
}

void Follower::answered(std::optional<Frame> frame, Millis sentAt) {
  const auto answer = frame ? followAnswerOf(std::move(*frame)) : std::nullopt;
  if (!answer) {
    if (++failures_ == 3) log_("the control plane does not answer");
    next();
    return again(kAfterFailure);
  }
  learn(answer->core);
  if (answer->epoch == 0) {
    try {
      if (answer->leader.empty())
        next();
      else
        go(parseAddress(answer->leader, "leader"));
    } catch (const SettingsError&) {
      next();
    }
    return again(answer->leader.empty() ? kNobodyLeads : kAfterFailure);
  }
  if (failures_ >= 3) log_("the control plane answers again");
  failures_ = 0;
  add({client_->peer()});
  news_(*answer, sentAt);
  again(kEvery);
  waits_ = true;
}

}  // namespace lilacmux
