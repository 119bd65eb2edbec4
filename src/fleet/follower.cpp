#include "fleet/follower.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>

#include "net/steady.hpp"

namespace lilacmux {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto kEvery = 250ms;  // longer: changes and shares come later; shorter: more work for all
constexpr auto kAnswerWithin = 700ms;
constexpr auto kAfterFailure = 60ms;
constexpr auto kNobodyLeads = 120ms;
constexpr auto kBackAfter = 5s;             // whoever is best is tried again
constexpr std::ptrdiff_t kMostOthers = 12;  // the newest ones: where to go if no preferred one answers

std::chrono::milliseconds until(Clock::time_point at) {
  return std::max(0ms, std::chrono::ceil<std::chrono::milliseconds>(at - Clock::now()));
}

}  // namespace

Follower::Follower(boost::asio::io_context& io, std::vector<Endpoint> candidates, Host host)
    : io_(io), candidates_(std::move(candidates)), timer_(io), host_(std::move(host)) {
  if (!candidates_.empty()) go(candidates_.front());
  again(0ms);
}

void Follower::add(const std::vector<Endpoint>& candidates) {
  for (const Endpoint& each : candidates)
    if (std::find(candidates_.begin(), candidates_.end(), each) == candidates_.end())
      candidates_.push_back(each);
  if (std::ssize(candidates_) > kMostOthers)
    candidates_.erase(candidates_.begin(), candidates_.end() - kMostOthers);
}

void Follower::prefer(std::vector<Endpoint> best) {
  if (best == preferred_ || best.empty()) return;
  preferred_ = std::move(best);
  at_ = 0;
  if (client_ && client_->peer() != preferred_.front()) leave();
  go(preferred_.front());
}

// The core's members change: who is asked when the primary falls silent must not be only those told first.
void Follower::learn(const std::vector<std::string>& core) {
  try {
    std::vector<Endpoint> told;
    for (const std::string& node : core) told.push_back(parseAddress(node, "core"));
    add(told);
  } catch (const SettingsError& why) {
    host_.log(std::string("a core member's address cannot be read: ") + why.what());
  }
}

void Follower::again(std::chrono::milliseconds wait) {
  dueAt_ = Clock::now() + wait;
  timer_.expires_after(wait);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) poll();
  });
}

void Follower::hurry(std::chrono::milliseconds gap) {
  if (!waits_ || askedAt_ + gap >= dueAt_) return;
  urgent_ = true;
  again(until(askedAt_ + gap));
}

void Follower::go(const Endpoint& to) {
  if (client_ && client_->peer() == to) return;
  // The client's own handler may be what is running.
  if (client_) boost::asio::post(io_, [old = std::shared_ptr<FrameClient>(std::move(client_))] {});
  client_ = std::make_unique<FrameClient>(io_, to);
  known_ = false;
  backAt_ = Clock::now() + kBackAfter;
}

// Who is left at will need not go on counting on what it has lent.
void Follower::leave() {
  if (!known_ || !client_ || !host_.leaves) return;
  client_->call(toFrame(host_.leaves()), kAnswerWithin, [](std::optional<Frame>) {});
}

void Follower::next() {
  const std::size_t all = preferred_.size() + candidates_.size();
  if (all == 0) return;
  at_ = (at_ + 1) % all;
  go(at_ < preferred_.size() ? preferred_[at_] : candidates_[at_ - preferred_.size()]);
}

void Follower::poll() {
  waits_ = false;
  const bool urgent = std::exchange(urgent_, false) && known_ && Clock::now() < fullAt_;
  if (!preferred_.empty() && at_ != 0 && Clock::now() >= backAt_) {
    at_ = 0;
    if (client_ && client_->peer() != preferred_.front()) leave();
    go(preferred_.front());
  }
  if (!client_) return again(kEvery);
  askedAt_ = Clock::now();
  if (!urgent) fullAt_ = askedAt_ + kEvery;
  const Millis sentAt = steadyMs();
  client_->call(toFrame(host_.asks(!known_, urgent)), kAnswerWithin,
                [this, sentAt](std::optional<Frame> frame) { answered(std::move(frame), sentAt); });
}

void Follower::failed(std::chrono::milliseconds wait) {
  known_ = false;
  host_.lost();
  again(wait);
}

void Follower::answered(std::optional<Frame> frame, Millis sentAt) {
  const auto answer = frame ? followAnswerOf(std::move(*frame)) : std::nullopt;
  if (!answer) {
    if (++failures_ == 3) host_.log("the control plane does not answer");
    next();
    return failed(kAfterFailure);
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
    return failed(answer->leader.empty() ? kNobodyLeads : kAfterFailure);
  }
  if (failures_ >= 3) host_.log("the control plane answers again");
  failures_ = 0;
  known_ = answer->known;
  add({client_->peer()});
  waits_ = true;
  again(known_ ? until(fullAt_) : 0ms);
  host_.news(*answer, sentAt);
}

}  // namespace lilacmux
