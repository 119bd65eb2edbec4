#include "ownership/assignment_planner.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace lilacmux {
namespace {

constexpr double kMinRequestsToBalance = 400;   // fewer say nothing about single ranges
constexpr double kOverload = 1.35;              // of the mean load, above which a server gives ranges away
constexpr double kMinMove = 0.15;               // of the mean load: less is not worth a move
constexpr std::size_t kMaxMovesForLoad = 12;    // in one plan
constexpr std::size_t kMaxRangesPerServer = 6;  // on average; each range costs a call per renewal
constexpr std::size_t kPartsOfOrphan = 3;       // into which a range without a server is split

// One run of the planner.
class Planner {
 public:
  Planner(const PlacementInput& input, OwnershipTable& table) : input_(input), table_(table) {
    for (const std::string& server : input.servers) loads_[server] = 0;
    for (const Assignment& each : assignments()) {
      if (!loads_.contains(each.server)) continue;
      loads_[each.server] += weight(each.keys);
      ++rangeCounts_[each.server];
    }
  }

  bool run() {
    if (input_.servers.empty()) return false;
    if (assignments().empty()) return divideEvenly();
    replaceRejectedFences();
    moveOrphans();
    fillEmptyServers();
    balanceLoad();
    return changed_;
  }

 private:
  const OwnershipTable::Assignments& assignments() const { return table_.assignments(input_.service); }

  bool hasLoad() const { return input_.load && input_.load->total() >= kMinRequestsToBalance; }

  // In requests if the load is known, plus a share for each key, so that idle keys are spread, too.
  double weight(const KeyRange& keys) const {
    const double idle = static_cast<double>(keys.size()) / kKeyCount;
    if (!hasLoad()) return idle;
    constexpr double kIdleShare = 0.1;
    return input_.load->weight(keys) + idle * kIdleShare * input_.load->total();
  }

  bool divideEvenly() {
    const std::size_t count = std::min<std::size_t>(input_.servers.size(), kKeyCount);
    for (std::size_t i = 0; i < count; ++i) {
      const auto first = static_cast<Key>(i * kKeyCount / count);
      const auto last = static_cast<Key>((i + 1) * kKeyCount / count - 1);
      table_.assign(input_.service, {first, last}, input_.servers[i]);
    }
    return true;
  }

  void replaceRejectedFences() {
    std::vector<Fence> rejected;
    for (const Assignment& each : assignments())
      if (input_.isRejected(each.fence)) rejected.push_back(each.fence);
    for (const Fence fence : rejected) table_.renewFence(input_.service, fence);
    changed_ = changed_ || !rejected.empty();
  }

  const std::string& leastLoaded() const {
    return std::min_element(loads_.begin(), loads_.end(),
                            [](const auto& a, const auto& b) { return a.second < b.second; })
        ->first;
  }

  bool isMovable(const Assignment& each) const {
    return !each.hasPrevious() || input_.isHandedOver(each.fence);
  }

  void move(const Assignment& from, const KeyRange& keys, const std::string& server) {
    const double moved = weight(keys);
    if (loads_.contains(from.server)) loads_[from.server] -= moved;
    loads_[server] += moved;
    ++rangeCounts_[server];
    if (from.hasPrevious()) table_.clearPrevious(input_.service, from.fence);
    table_.move(input_.service, from.fence, keys, server);
    changed_ = true;
  }

  // Returns the keys at the start of the range that have about this weight, at least one key and not all.
  KeyRange headOf(const KeyRange& keys, double wanted) const {
    Key low = keys.first, high = keys.last - 1;
    while (low < high) {
      const Key middle = low + (high - low) / 2;
      if (weight({keys.first, middle}) < wanted)
        low = middle + 1;
      else
        high = middle;
    }
    return {keys.first, low};
  }

  // Ranges of servers that are not available any more go to the least loaded ones, in parts.
  void moveOrphans() {
    std::vector<Assignment> orphans;
    for (const Assignment& each : assignments())
      if (!loads_.contains(each.server) && isMovable(each)) orphans.push_back(each);
    for (Assignment orphan : orphans) {
      for (std::size_t parts = kPartsOfOrphan; parts > 1 && orphan.keys.size() > parts; --parts) {
        const KeyRange part = headOf(orphan.keys, weight(orphan.keys) / static_cast<double>(parts));
        move(orphan, part, leastLoaded());
        orphan.keys.first = part.last + 1;
        orphan.previousServer.clear();
        orphan.previousFence = 0;
      }
      move(orphan, orphan.keys, leastLoaded());
    }
  }

  void fillEmptyServers() {
    for (const std::string& server : input_.servers) {
      if (rangeCounts_[server] > 0) continue;
      const Assignment* const largest = heaviestRange(nullptr);
      if (!largest || largest->keys.size() < 2) return;
      const Assignment from = *largest;
      move(from, headOf(from.keys, weight(from.keys) / 2), server);
    }
  }

  // Returns the heaviest range that may be split, of one server or of all; null if there is none.
  const Assignment* heaviestRange(const std::string* server) const {
    const Assignment* out = nullptr;
    double heaviest = -1;
    for (const Assignment& each : assignments()) {
      if (server ? each.server != *server : !loads_.contains(each.server)) continue;
      if (!isMovable(each)) continue;
      const double itsWeight = weight(each.keys);
      if (itsWeight <= heaviest) continue;
      heaviest = itsWeight;
      out = &each;
    }
    return out;
  }

  void balanceLoad() {
    if (!hasLoad() || assignments().size() > kMaxRangesPerServer * input_.servers.size()) return;
    double total = 0;
    for (const auto& [server, load] : loads_) total += load;
    const double mean = total / static_cast<double>(loads_.size());
    std::set<std::string> done;  // servers that gave or got a range in this plan
    for (std::size_t moves = 0; moves < kMaxMovesForLoad; ++moves)
      if (!moveFromMostLoaded(mean, done)) return;
  }

  bool moveFromMostLoaded(double mean, std::set<std::string>& done) {
    const std::string *from = nullptr, *to = nullptr;
    for (const auto& [server, load] : loads_) {
      if (done.contains(server)) continue;
      if (!from || load > loads_.at(*from)) from = &server;
      if (!to || load < loads_.at(*to)) to = &server;
    }
    if (!from || from == to || loads_.at(*from) < kOverload * mean) return false;
    const std::string source = *from, target = *to;
    const double wanted = std::min(loads_.at(source) - mean, mean - loads_.at(target));
    done.insert(source);
    done.insert(target);
    if (wanted < kMinMove * mean) return true;
    const Assignment* const range = heaviestRange(&source);
    if (!range) return true;
    const Assignment taken = *range;
    if (weight(taken.keys) <= wanted || taken.keys.size() < 2) {
      if (rangeCounts_[source] > 1) move(taken, taken.keys, target);
      return true;
    }
    const KeyRange part = headOf(taken.keys, wanted);
    if (weight(part) <= 2 * wanted) move(taken, part, target);
    return true;
  }

  const PlacementInput& input_;
  OwnershipTable& table_;
  std::map<std::string, double> loads_;  // by server that may be given ranges
  std::map<std::string, std::size_t> rangeCounts_;
  bool changed_ = false;
};

}  // namespace

bool planAssignments(const PlacementInput& input, OwnershipTable& table) {
  return Planner(input, table).run();
}

}  // namespace lilacmux
