#include "fleet/follower.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cmath>
#include <utility>

#include "net/steady.hpp"

namespace lilacmux {
namespace {

constexpr double kNobodyLeads = 120;        // ms
constexpr double kLeaveWithin = 200;        // for the last word of one that ends
constexpr double kBackAfter = 5000;         // ms after which whoever is best is tried again
constexpr std::ptrdiff_t kMostOthers = 12;  // the newest ones: where to go if no preferred one answers

std::chrono::milliseconds span(double ms) { return std::chrono::milliseconds(std::lround(std::ceil(ms))); }

}  // namespace

Follower::Follower(boost::asio::io_context& io, std::vector<Endpoint> candidates, Host host)
    : io_(io), candidates_(std::move(candidates)), timer_(io), host_(std::move(host)) {
  if (!candidates_.empty()) go(candidates_.front());
  again(0);
}

void Follower::add(const std::vector<Endpoint>& candidates) {
  for (const Endpoint& each : candidates)
    if (std::find(candidates_.begin(), candidates_.end(), each) == candidates_.end())
      candidates_.push_back(each);
  if (std::ssize(candidates_) > kMostOthers)
    candidates_.erase(candidates_.begin(), candidates_.end() - kMostOthers);
}

// Those that cannot be read are told of and left out.
std::vector<Endpoint> Follower::read(const std::vector<std::string>& addresses) const {
  std::vector<Endpoint> out;
  for (const std::string& address : addresses) {
    try {
      out.push_back(parseAddress(address, "address"));
    } catch (const SettingsError& why) {
      host_.log(std::string("where to ask cannot be read: ") + why.what());
    }
  }
  return out;
}

void Follower::prefer(const std::vector<RelayPlace>& best) {
  std::vector<std::string> addresses;
  addresses.reserve(best.size());
  for (const RelayPlace& relay : best) addresses.push_back(relay.address);
  auto told = read(addresses);
  if (told == preferred_ || told.empty()) return;
  preferred_ = std::move(told);
  goBack();
}

void Follower::again(Millis wait) {
  pace_.wait(steadyMs() + wait);
  timer_.expires_after(span(wait));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !ended_) poll();
  });
}

void Follower::hurry(Millis gap) {
  if (!waits_ || ended_) return;
  if (const auto wait = pace_.hurry(steadyMs(), gap)) again(*wait);
}

void Follower::go(const Endpoint& to) {
  if (client_ && client_->peer() == to) return;
  // The client's own handler may be what is running.
  if (client_) boost::asio::post(io_, [old = std::shared_ptr<FrameClient>(std::move(client_))] {});
  client_ = std::make_unique<FrameClient>(io_, to);
  known_ = false;
  backAt_ = steadyMs() + kBackAfter;
}

// Who is left at will need not go on counting on what it has lent.
void Follower::leave() {
  if (!known_ || !client_ || !host_.leaves) return;
  client_->call(toFrame(host_.leaves()), span(FollowPace::kAnswerWithin), [](const std::optional<Frame>&) {});
}

void Follower::end(const std::function<FollowCall()>& leaves, std::function<void()> done) {
  if (std::exchange(ended_, true)) return;
  timer_.cancel();
  if (!known_ || !client_) return done();
  client_->call(toFrame(leaves()), span(kLeaveWithin),
                [done = std::move(done)](const std::optional<Frame>&) { done(); });
}

// To the best one.
void Follower::goBack() {
  at_ = 0;
  if (client_ && client_->peer() != preferred_.front()) leave();
  go(preferred_.front());
}

void Follower::next() {
  const std::size_t all = preferred_.size() + candidates_.size();
  if (all == 0) return;
  at_ = (at_ + 1) % all;
  go(at_ < preferred_.size() ? preferred_[at_] : candidates_[at_ - preferred_.size()]);
}

void Follower::poll() {
  waits_ = false;
  if (!preferred_.empty() && at_ != 0 && steadyMs() >= backAt_) goBack();
  if (!client_) return again(FollowPace::kEvery);
  const Millis sentAt = steadyMs();
  client_->call(toFrame(host_.asks(pace_.ask(sentAt, known_))), span(FollowPace::kAnswerWithin),
                [this, sentAt](std::optional<Frame> frame) { answered(std::move(frame), sentAt); });
}

void Follower::failed(Millis wait) {
  known_ = false;
  host_.lost();
  again(wait);
}

void Follower::answered(std::optional<Frame> frame, Millis sentAt) {
  if (ended_) return;
  const auto answer = frame ? followAnswerOf(std::move(*frame)) : std::nullopt;
  if (!answer) {
    if (++failures_ == 3) host_.log("the control plane does not answer");
    next();
    return failed(FollowPace::kAfterFailure);
  }
  add(read(answer->core));  // the core's members change: who is asked must not be only those told first
  if (answer->epoch == 0) {
    try {
      if (answer->leader.empty())
        next();
      else
        go(parseAddress(answer->leader, "leader"));
    } catch (const SettingsError&) {
      next();
    }
    return failed(answer->leader.empty() ? kNobodyLeads : FollowPace::kAfterFailure);
  }
  if (failures_ >= 3) host_.log("the control plane answers again");
  failures_ = 0;
  known_ = answer->known;
  add({client_->peer()});
  waits_ = true;
  again(known_ ? pace_.rest(steadyMs()) : 0);
  host_.news(*answer, sentAt);
}

}  // namespace lilacmux
