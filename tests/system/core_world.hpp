// A core of control members under a simulated clock and network, for the tests: delays, losses, cuts, kills
// and lost disks, all by seed.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>

#include "control/replica.hpp"

namespace lilacmux::test {

class CoreWorld {
 public:
  explicit CoreWorld(std::uint64_t seed, unsigned members = 3, unsigned spares = 0) : random_(seed) {
    for (unsigned i = 0; i < members + spares; ++i)
      names_.push_back("10.0.0." + std::to_string(i + 1) + ":7560");
    for (const NodeId& name : names_) nodes_[name];
    seeds_.assign(names_.begin(), names_.begin() + members);
  }

  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  const std::vector<NodeId>& names() const { return names_; }
  void seeds(std::vector<NodeId> told) { seeds_ = std::move(told); }  // to those who start from here on
  Millis now() const { return now_; }

  void start(const NodeId& name, bool bootstrap) {
    Node& node = nodes_[name];
    node.host = std::make_unique<Host>(*this, name);
    node.replica =
        std::make_unique<Replica>(name, seeds_, bootstrap, node.disk, Replica::Timing{}, now_, *node.host);
  }
  void startAll() {
    for (const NodeId& name : seeds_) start(name, true);
  }
  void kill(const NodeId& name) { nodes_[name].replica.reset(); }
  void wipe(const NodeId& name) { nodes_[name].disk.reset(); }
  void cut(const NodeId& name, bool yes) { yes ? (void)cut_.insert(name) : (void)cut_.erase(name); }
  bool up(const NodeId& name) { return nodes_[name].replica != nullptr; }
  Replica& at(const NodeId& name) { return *nodes_[name].replica; }
  void loss(double share) { loss_ = share; }
  void slow(const NodeId& name, Millis delay) { slow_[name] = delay; }

  // The one that serves, if any; two at once is a failure.
  std::optional<NodeId> server() {
    std::optional<NodeId> out;
    for (const NodeId& name : names_) {
      if (!up(name) || !at(name).mayServe(now_)) continue;
      EXPECT_FALSE(out) << "two serve at " << now_ << ": " << *out << " and " << name;
      out = name;
    }
    return out;
  }

  void run(Millis span) {
    const Millis until = now_ + span;
    while (now_ < until) {
      now_ += 5;
      while (!mail_.empty() && mail_.top().at <= now_) {
        const Mail mail = mail_.top();
        mail_.pop();
        if (up(mail.to) && !cut_.contains(mail.to) && !cut_.contains(mail.message.from))
          at(mail.to).receive(now_, mail.message);
      }
      for (std::size_t i = 0; i < names_.size(); ++i)
        if (up(names_[i]) && static_cast<long>(now_ / 5) % 20 == static_cast<long>(i))
          at(names_[i]).tick(now_);
      check();
    }
  }
  // Until one can take a change; false: not within the span.
  bool settle(Millis within) {
    const Millis until = now_ + within;
    while (now_ < until) {
      run(50);
      const auto serves = server();
      if (serves && at(*serves).canWrite(now_)) return true;
    }
    return false;
  }

  // Proposes the next revision where that can be done.
  bool propose() {
    const auto serves = server();
    if (!serves || !at(*serves).canWrite(now_)) return false;
    State next = at(*serves).committed();
    ++next.sequence;
    next.revision = ++lastRevision_;
    next.body = std::make_shared<const std::string>("body " + std::to_string(next.revision));
    at(*serves).propose(now_, next);
    return true;
  }

  std::uint64_t acknowledged = 0;  // the newest revision that a primary has called committed
  std::uint64_t commits = 0;

 private:
  struct Host : ReplicaHost {
    Host(CoreWorld& w, NodeId s) : world(w), self(std::move(s)) {}
    void send(const NodeId& to, const Message& message) override { world.post(self, to, message); }
    bool store(const Durable& durable) override {
      world.nodes_[self].disk = durable;
      return true;
    }
    void committed(const State& state) override {
      EXPECT_GE(state.revision, world.acknowledged) << "an acknowledged change is lost, at " << world.now_;
      world.acknowledged = std::max(world.acknowledged, state.revision);
      ++world.commits;
    }
    void lostPrimacy() override {}
    void log(const std::string&) override {}
    CoreWorld& world;
    const NodeId self;
  };
  struct Node {
    std::unique_ptr<Host> host;
    std::unique_ptr<Replica> replica;
    std::optional<Durable> disk;
  };
  struct Mail {
    Millis at;
    std::uint64_t number;
    NodeId to;
    Message message;
    bool operator<(const Mail& other) const { return at != other.at ? at > other.at : number > other.number; }
  };

  void post(const NodeId& from, const NodeId& to, const Message& message) {
    if (cut_.contains(from) || chance() < loss_) return;
    const Millis delay = 1 + 4 * chance() + slow_[from] + slow_[to];
    mail_.push({now_ + delay, ++mails_, to, message});
  }
  // Whoever serves knows all that was acknowledged.
  void check() {
    if (const auto serves = server()) {
      EXPECT_GE(at(*serves).committed().revision, acknowledged) << "served from old state at " << now_;
    }
  }

  std::mt19937_64 random_;
  std::vector<NodeId> names_, seeds_;  // the seeds are the first members
  std::map<NodeId, Node> nodes_;
  std::priority_queue<Mail> mail_;
  std::set<NodeId> cut_;
  std::map<NodeId, Millis> slow_;
  double loss_ = 0;
  std::uint64_t mails_ = 0;
  std::uint64_t lastRevision_ = 0;
  Millis now_ = 0;
};

}  // namespace lilacmux::test
