// A core of control members under a simulated clock, network and disk, for the tests: delays, losses, cuts
// (one way too), kills, freezes, lost, stalling and full disks, all by seed. What must never be is noted in
// `violations`: two that serve at once, old state served, an acknowledged change gone.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "agreement/replica.hpp"

namespace lilacmux::test {

class CoreWorld {
 public:
  explicit CoreWorld(std::uint64_t seed, std::size_t members = 3, std::size_t spares = 0,
                     Replica::Timing timing = {})
      : random_(seed), timing_(timing) {
    for (std::size_t i = 0; i < members + spares; ++i)
      names_.push_back("10.0.0." + std::to_string(i + 1) + ":7560");
    for (const NodeId& name : names_) nodes_[name];
    seeds_.assign(names_.begin(), names_.begin() + static_cast<long>(members));
  }

  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  const std::vector<NodeId>& names() const { return names_; }
  void seeds(std::vector<NodeId> told) { seeds_ = std::move(told); }  // to those who start from here on
  Millis now() const { return now_; }

  void start(const NodeId& name, bool bootstrap) {
    Node& node = nodes_[name];
    node.host = std::make_unique<Host>(*this, name);
    node.replica = std::make_unique<Replica>(name, seeds_, bootstrap, node.disk, timing_, now_, *node.host);
  }
  void startAll() {
    for (const NodeId& name : seeds_) start(name, true);
  }
  void kill(const NodeId& name) { nodes_[name].replica.reset(); }
  void wipe(const NodeId& name) { nodes_[name].disk.reset(); }
  // Stands still: nothing of it runs, and what is sent to it waits.
  void freeze(const NodeId& name, Millis span) { nodes_[name].frozenUntil = now_ + span; }
  void stall(const NodeId& name, Millis each) { nodes_[name].syncTakes = each; }
  void full(const NodeId& name, bool yes) { nodes_[name].full = yes; }
  void cut(const NodeId& name, bool yes) { yes ? (void)cut_.insert(name) : (void)cut_.erase(name); }
  void cutOneWay(const NodeId& from, const NodeId& to, bool yes) {
    yes ? (void)oneWay_.insert({from, to}) : (void)oneWay_.erase({from, to});
  }
  bool up(const NodeId& name) { return nodes_[name].replica != nullptr; }
  Replica& at(const NodeId& name) { return *nodes_[name].replica; }
  void loss(double share) { loss_ = share; }
  void slow(const NodeId& name, Millis delay) { slow_[name] = delay; }

  // The one that serves, if any; two at once is a failure.
  std::optional<NodeId> server() {
    std::optional<NodeId> out;
    for (const NodeId& name : names_) {
      if (!up(name) || !at(name).mayServe(now_)) continue;
      if (out) violate("two serve: " + *out + " and " + name);
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
        if (!up(mail.to) || cut_.contains(mail.to) || cut_.contains(mail.message.from)) continue;
        const Millis frozenUntil = nodes_[mail.to].frozenUntil;
        if (now_ < frozenUntil)
          mail_.push({frozenUntil, ++mails_, mail.to, mail.message});
        else
          at(mail.to).receive(now_, mail.message);
      }
      for (std::size_t i = 0; i < names_.size(); ++i)
        if (runs(names_[i]) && static_cast<long>(now_ / 5) % 20 == static_cast<long>(i))
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
    if (!serves || !runs(*serves) || !at(*serves).canWrite(now_)) return false;
    State next = at(*serves).committed();
    ++next.sequence;
    next.revision = ++lastRevision_;
    next.body = std::make_shared<const std::string>("body " + std::to_string(next.revision));
    at(*serves).propose(now_, next);
    return true;
  }

  bool runs(const NodeId& name) { return up(name) && now_ >= nodes_[name].frozenUntil; }

  std::function<void(const std::string&)> trace;  // a line for each thing that is kept or said
  std::vector<std::string> violations;
  std::uint64_t acknowledged = 0;  // the newest revision that a primary has called committed
  std::uint64_t commits = 0;

 private:
  struct Host : ReplicaHost {
    Host(CoreWorld& w, NodeId s) : world(w), self(std::move(s)) {}
    void send(const NodeId& to, const Message& message) override { world.post(self, to, message); }
    bool store(const Durable& durable) override {
      Node& node = world.nodes_[self];
      if (node.full) return false;
      if (node.syncTakes > 0) node.frozenUntil = std::max(node.frozenUntil, world.now_ + node.syncTakes);
      node.disk = durable;
      if (world.trace) world.tell(self, stateOf(durable));
      return true;
    }
    void committed(const State& state) override {
      if (state.revision < world.acknowledged) world.violate("an acknowledged change is lost");
      world.tell(self, "acknowledges revision " + std::to_string(state.revision));
      world.acknowledged = std::max(world.acknowledged, state.revision);
      ++world.commits;
    }
    void lostPrimacy() override {}
    void log(const std::string& line) override { world.tell(self, line); }
    CoreWorld& world;
    const NodeId self;
  };
  struct Node {
    std::unique_ptr<Host> host;
    std::unique_ptr<Replica> replica;
    std::optional<Durable> disk;
    Millis frozenUntil = 0, syncTakes = 0;
    bool full = false;
  };
  static std::string stateOf(const Durable& d) {
    const Record& r = d.record;
    return "keeps promise " + epochText(d.promised) + " to " + d.promisedTo + ", record " +
           epochText(r.epoch) + " after " + epochText(r.previous) + " " + r.primary + "/" +
           (r.backups.empty() ? "" : r.backups.front()) + " of " + std::to_string(r.members.size()) + "+" +
           std::to_string(r.leaving.size()) + ", data " + epochText(d.dataEpoch) + " revision " +
           std::to_string(d.state.revision);
  }
  void tell(const NodeId& who, const std::string& what) const {
    if (trace) trace(std::to_string(static_cast<long>(now_)) + " " + who + " " + what);
  }
  struct Mail {
    Millis at;
    std::uint64_t number;
    NodeId to;
    Message message;
    bool operator<(const Mail& other) const { return at != other.at ? at > other.at : number > other.number; }
  };

  void post(const NodeId& from, const NodeId& to, const Message& message) {
    if (cut_.contains(from) || oneWay_.contains({from, to}) || chance() < loss_) return;
    // What a stalling disk holds up goes out after it.
    const Millis held = std::max(0.0, nodes_[from].frozenUntil - now_);
    const Millis delay = 1 + 4 * chance() + slow_[from] + slow_[to] + held;
    mail_.push({now_ + delay, ++mails_, to, message});
  }
  // Whoever serves knows all that was acknowledged.
  void check() {
    const auto serves = server();
    if (serves && at(*serves).committed().revision < acknowledged) violate(*serves + " serves old state");
  }
  void violate(const std::string& what) {
    if (violations.size() < 5) violations.push_back("at " + std::to_string(now_) + ": " + what);
  }

  std::mt19937_64 random_;
  const Replica::Timing timing_;
  std::vector<NodeId> names_, seeds_;  // the seeds are the first members
  std::map<NodeId, Node> nodes_;
  std::priority_queue<Mail> mail_;
  std::set<NodeId> cut_;
  std::set<std::pair<NodeId, NodeId>> oneWay_;
  std::map<NodeId, Millis> slow_;
  double loss_ = 0;
  std::uint64_t mails_ = 0;
  std::uint64_t lastRevision_ = 0;
  Millis now_ = 0;
};

}  // namespace lilacmux::test
