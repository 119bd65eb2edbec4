// A storm over the core, drawn by a seed: troubles one after the other, changes all along, calm at the end. A
// storm is a list of troubles, so that a failing one can be shrunk to those that it needs.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core_world.hpp"

namespace lilacmux::test {

struct Trouble {
  enum class Kind { kill, wipe, cut, oneWay, freeze, stall, full, replace, killAll };
  Kind kind = Kind::kill;
  std::size_t victim = 0;  // by place among the nodes that were started
  std::size_t other = 0;
  Millis after = 0, lasts = 0;  // ms: since the one before has ended, and how long
};

struct Storm {
  std::uint64_t seed = 0;
  std::size_t members = 3;
  double loss = 0;     // of messages
  bool hasty = false;  // troubles overlap; only safety is asked for until calm comes
  std::vector<Trouble> troubles;
};

inline std::string describe(const Trouble& t) {
  static const char* const names[] = {"kill",  "wipe", "cut",     "one way", "freeze",
                                      "stall", "full", "replace", "kill all"};
  return std::string(names[static_cast<int>(t.kind)]) + " node " + std::to_string(t.victim) + " (" +
         std::to_string(t.other) + "), " + std::to_string(static_cast<int>(t.after)) + " ms on, for " +
         std::to_string(static_cast<int>(t.lasts)) + " ms";
}

inline Storm drawStorm(std::uint64_t seed) {
  std::mt19937_64 random(seed * 2654435761u + 1);
  const auto below = [&](double most) { return std::uniform_real_distribution<>(0, most)(random); };
  Storm out;
  out.seed = seed;
  out.members = seed % 5 == 4 ? 5 : 3;
  out.loss = seed % 3 == 0 ? 0.05 : 0;
  out.hasty = seed % 2 == 1;
  const int count = 3 + static_cast<int>(below(out.hasty ? 20 : 6));
  for (int i = 0; i < count; ++i) {
    Trouble t;
    t.kind = static_cast<Trouble::Kind>(static_cast<int>(below(9)));
    if (out.hasty && below(1) < 0.6) t.kind = below(1) < 0.5 ? Trouble::Kind::cut : Trouble::Kind::oneWay;
    t.victim = static_cast<std::size_t>(below(8));
    t.other = static_cast<std::size_t>(below(8));
    t.after = out.hasty ? below(1500) : below(1) < 0.3 ? below(200) : 4500 + below(4000);
    t.lasts = below(1) < 0.5 ? below(600) : below(6000);
    out.troubles.push_back(t);
  }
  return out;
}

// Plays one. The core bears one disk lost at once, so a disk is only taken while the core is at rest.
class StormPlay {
 public:
  explicit StormPlay(const Storm& storm)
      : storm_(storm),
        world_(storm.seed, storm.members, 1 + storm.troubles.size(), timingOf(storm)),
        started_(storm.members) {}

  void trace(std::function<void(const std::string&)> line) { world_.trace = std::move(line); }
  // What went wrong, a line each.
  std::vector<std::string> run() {
    world_.startAll();
    world_.start(world_.names()[started_++], false);  // an observer from the first
    if (!world_.settle(4000)) fail("no primary at the start");
    world_.loss(storm_.loss);
    for (const Trouble& trouble : storm_.troubles) {
      pass(trouble.after);
      begin(trouble);
      if (!storm_.hasty) {
        pass(trouble.lasts + kStep);
        if (!rest()) fail("no rest after: " + describe(trouble));
      }
      if (!world_.violations.empty() || !failures_.empty()) break;
    }
    pass(6000 + kStep);
    if (failures_.empty() && world_.violations.empty() && !rest()) fail("no rest at the end");
    for (const std::string& violation : world_.violations) failures_.push_back(violation);
    return failures_;
  }

 private:
  static Replica::Timing timingOf(const Storm& storm) {
    Replica::Timing out;
    out.losses = static_cast<unsigned>(storm.members / 2);
    return out;
  }
  static constexpr Millis kStep = 100;
  void fail(const std::string& what) { failures_.push_back(what); }
  void later(Millis span, std::function<void()> what) { ends_.emplace(world_.now() + span, std::move(what)); }
  // Time in which troubles end and operators go on.
  void pass(Millis span) {
    for (; span > 0; span -= kStep) {
      world_.run(std::min(span, kStep));
      while (!ends_.empty() && ends_.begin()->first <= world_.now()) {
        const auto what = std::move(ends_.begin()->second);
        ends_.erase(ends_.begin());
        what();
      }
      if (world_.chance() < 0.5) world_.propose();
    }
  }
  bool isWhole() {
    const auto serves = world_.server();
    if (!serves || !world_.at(*serves).canWrite(world_.now())) return false;
    const Replica& primary = world_.at(*serves);
    const auto& members = primary.members();
    return primary.durable().record.leaving.empty() &&
           primary.durable().record.backups.size() >= storm_.members / 2 &&
           std::all_of(members.begin(), members.end(), [&](const NodeId& member) {
             return world_.runs(member) && !world_.at(member).hasFailed() &&
                    world_.at(member).epoch() == primary.epoch();
           });
  }
  // The members' places must be filled and the backup in place before the next loss counts as one.
  bool rest() {
    for (int i = 0; i < 140; ++i) {
      pass(kStep);
      if (isWhole()) return true;
    }
    return false;
  }
  NodeId victim(std::size_t place) const { return world_.names()[place % started_]; }

  void begin(const Trouble& t) {
    const NodeId one = victim(t.victim), other = victim(t.other);
    if (gone_.contains(one)) return;
    using Kind = Trouble::Kind;
    switch (t.kind) {
      case Kind::kill:
        return away(one, t.lasts);
      case Kind::wipe:
        if (!isWhole()) return;
        world_.wipe(one);
        return away(one, t.lasts);
      case Kind::cut:
        world_.cut(one, true);
        return later(t.lasts, [this, one] { world_.cut(one, false); });
      case Kind::oneWay:
        if (one == other) return;
        world_.cutOneWay(one, other, true);
        return later(t.lasts, [this, one, other] { world_.cutOneWay(one, other, false); });
      case Kind::freeze:
        return world_.freeze(one, t.lasts);
      case Kind::stall:
        world_.stall(one, 50 + t.lasts / 4);
        return later(t.lasts, [this, one] { world_.stall(one, 0); });
      case Kind::full:
        // Who cannot store falls silent; it is started anew once there is room.
        world_.full(one, true);
        return later(t.lasts, [this, one] {
          world_.full(one, false);
          if (world_.up(one)) away(one, 100);
        });
      case Kind::replace:
        if (started_ >= world_.names().size() || !isWhole()) return;
        gone_.insert(one);
        world_.kill(one);
        return later(t.lasts, [this] { start(world_.names()[started_++]); });
      case Kind::killAll:
        for (std::size_t i = 0; i < started_; ++i)
          if (world_.up(world_.names()[i])) away(world_.names()[i], t.lasts + 300 * world_.chance());
        return;
    }
  }
  void away(const NodeId& node, Millis lasts) {
    world_.kill(node);
    later(lasts, [this, node] {
      if (!world_.up(node) && !gone_.contains(node)) start(node);
    });
  }
  void start(const NodeId& node) {
    std::vector<NodeId> seeds;
    for (std::size_t i = 0; i < started_ && seeds.size() < 3; ++i)
      if (world_.up(world_.names()[i])) seeds.push_back(world_.names()[i]);
    // The list that a machine is told from lags: where all are down, it names those that were up.
    for (std::size_t i = 0; i < started_ && seeds.empty(); ++i)
      if (world_.names()[i] != node && !gone_.contains(world_.names()[i])) seeds.push_back(world_.names()[i]);
    world_.seeds(seeds);
    world_.start(node, false);
  }

  const Storm storm_;
  CoreWorld world_;
  std::size_t started_;
  std::multimap<Millis, std::function<void()>> ends_;
  std::set<NodeId> gone_;
  std::vector<std::string> failures_;
};

// The troubles that a failing storm cannot do without.
inline Storm shrink(Storm storm) {
  for (std::size_t i = 0; i < storm.troubles.size();) {
    Storm less = storm;
    less.troubles.erase(less.troubles.begin() + static_cast<long>(i));
    if (StormPlay(less).run().empty())
      ++i;
    else
      storm = std::move(less);
  }
  return storm;
}

}  // namespace lilacmux::test
