#include "experiment/discovery.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "experiment/discovery_processes.hpp"

namespace lilacmux {
namespace {

constexpr Millis kFirstStartTimeout = 20000;
constexpr Millis kFaultPeriod = 25000;
constexpr Millis kReplacementInterval = 8000;  // between two replaced members
constexpr Millis kMaxStartDelay = 300;
constexpr Millis kFollowingTimeout = 1000;               // whoever got an update within that time follows
constexpr const char* kUnusedAddress = "10.9.9.9:7560";  // there is no such machine

// One run: the faults that strike, and what must hold after the last one.
class Run {
 public:
  explicit Run(const DiscoveryPlan& plan) : plan_(plan), random_(plan.seed) { addHosts(); }

  DiscoveryRun run() {
    startAll();
    network_.runUntil([&] { return allFollow(); }, kFirstStartTimeout);
    if (!processes_.primary()) addViolation("nobody leads after the first start");
    scheduleFaults();
    network_.run(kFaultPeriod);
    strikeMost();
    const Millis lastFaultAt = network_.now();
    out_.connected = isConnected();
    network_.runUntil([&] { return allFollow(); }, plan_.boundMs);
    out_.convergenceMs = network_.now() - lastFaultAt;
    if (out_.connected && !allFollow()) reportWhoDoesNotFollow();
    out_.seed = plan_.seed;
    return std::move(out_);
  }

 private:
  // --- Hosts

  void addHosts() {
    const unsigned withDisk = plan_.members + plan_.spares;
    const unsigned controls = withDisk + plan_.diskless;
    for (unsigned i = 0; i < controls + plan_.gatekeepers; ++i) {
      DiscoveryHost& host = network_.addHost("10.0.0." + std::to_string(i + 1) + ":7560");
      host.hasDisk = i < withDisk;
      host.isControl = i < controls;
    }
  }

  void startAll() {
    std::vector<NodeId> members;
    for (unsigned i = 0; i < plan_.members; ++i) members.push_back(hosts()[i]->address);
    for (const auto& host : hosts()) {
      host->seeds = members;
      host->isSpare = host->hasDisk && !contains(members, host->address);
      if (host->isSpare) continue;
      network_.schedule(random_.below(kMaxStartDelay),
                        [this, &host = *host] { processes_.start(host, true); });
    }
  }

  void startLater(DiscoveryHost& host, Millis delay) {
    network_.schedule(delay, [this, &host] { processes_.start(host, false); });
  }

  const DiscoveryNetwork::Hosts& hosts() const { return network_.hosts(); }

  std::vector<DiscoveryHost*> controlProcesses(bool includesDown) const {
    std::vector<DiscoveryHost*> out;
    for (const auto& host : hosts())
      if (host->isControl && !host->isRemoved && (includesDown || host->isUp)) out.push_back(host.get());
    return out;
  }

  // One to three control processes, as an operator's list may name them: some may be down, or end later.
  std::vector<NodeId> drawSeeds() {
    const auto candidates = controlProcesses(true);
    std::set<NodeId> out;
    const std::size_t count = 1 + random_.index(3);
    while (out.size() < count) out.insert(random_.oneOf(candidates)->address);
    return {out.begin(), out.end()};
  }

  // --- Faults

  void scheduleFaults() {
    const std::size_t count = 2 + random_.index(8);
    for (std::size_t i = 0; i < count; ++i)
      network_.schedule(random_.below(kFaultPeriod - 500), [this] { strike(); });
  }

  void strike() {
    const double drawn = random_.chance();
    if (drawn < 0.35) return changeSeeds();
    if (drawn < 0.50) return restartOne();
    if (drawn < 0.60) return restartOneWithUnusedSeed();
    if (drawn < 0.72) return partitionOne();
    if (drawn < 0.87) return replaceMember();
    powerOffOne();
  }

  // The settings of all, or of some, name other seeds; some processes are signalled to reload.
  void changeSeeds() {
    const bool sameForAll = random_.chance() < 0.5;
    const bool isSignalled = random_.chance() < 0.7;
    const auto common = drawSeeds();
    trace("other seeds" + std::string(sameForAll ? " for all: " + common.front() : ""));
    for (const auto& host : hosts()) {
      if (random_.chance() < 0.2) continue;
      host->seeds = sameForAll ? common : drawSeeds();
      if (host->isUp && isSignalled) processes_.reload(*host);
    }
  }

  void restartOne() {
    DiscoveryHost& host = *random_.oneOf(hosts());
    if (!host.isUp) return;
    trace(host.address + " is restarted");
    processes_.kill(host);
    startLater(host, random_.between(50, 1500));
  }

  // A process without a disk starts with a seed that does not exist, and gets others by a reload.
  void restartOneWithUnusedSeed() {
    DiscoveryHost& host = *random_.oneOf(hosts());
    if (!host.isUp || host.hasDisk) return;
    trace(host.address + " is restarted with a seed that is gone");
    processes_.kill(host);
    host.seeds = {kUnusedAddress};
    processes_.start(host, false);
    network_.schedule(random_.between(1000, 4000), [this, &host] {
      host.seeds = drawSeeds();
      if (host.isUp) processes_.reload(host);
    });
  }

  void partitionOne() {
    const DiscoveryHost& host = *random_.oneOf(hosts());
    trace(host.address + " is cut off");
    network_.partition(host, random_.chance() < 0.3);
    network_.schedule(random_.between(500, 6000), [this, &host] { network_.heal(host); });
  }

  // A member is removed for good and a spare with an empty disk takes its place; one at a time, as long as
  // there are spares and all members run.
  void replaceMember() {
    if (network_.now() < nextReplacementAt_) return;
    const auto spare =
        std::find_if(hosts().begin(), hosts().end(), [](const auto& host) { return host->isSpare; });
    const DiscoveryHost* leader = processes_.primary();
    if (spare == hosts().end() || !leader) return;
    std::vector<DiscoveryHost*> members;
    for (const NodeId& member : leader->replica->members())
      if (DiscoveryHost* host = network_.find(member); host && host->isUp) members.push_back(host);
    if (members.size() < plan_.members) return;
    DiscoveryHost& removed = *random_.oneOf(members);
    DiscoveryHost& added = **spare;
    trace(removed.address + " goes for good, " + added.address + " comes");
    processes_.kill(removed);
    removed.isRemoved = true;
    removed.hasPower = random_.chance() < 0.5;  // else calls to its address time out
    added.isSpare = false;
    do added.seeds = drawSeeds();
    while (!namesAnotherThatIsUp(added));
    nextReplacementAt_ = network_.now() + kReplacementInterval;
    startLater(added, random_.between(0, 1500));
  }

  bool namesAnotherThatIsUp(const DiscoveryHost& host) const {
    return std::any_of(host.seeds.begin(), host.seeds.end(),
                       [&](const NodeId& seed) { return seed != host.address && network_.find(seed)->isUp; });
  }

  void powerOffOne() {
    const auto running = controlProcesses(false);
    if (running.empty()) return;
    DiscoveryHost& host = *random_.oneOf(running);
    trace(host.address + " loses power");
    maybeLosePeerFile(host);
    processes_.kill(host);
    host.hasPower = false;
    startLater(host, random_.between(300, 3000));
  }

  // The peer file is written without a sync, so a loss of power may undo it.
  void maybeLosePeerFile(DiscoveryHost& host) {
    if (random_.chance() < 0.3) host.rememberedPeers.clear();
  }

  // The last fault: most processes, or all, end at once; partitions heal, and all start with the seeds that
  // their settings name at that moment.
  void strikeMost() {
    const bool strikesAll = random_.chance() < 0.7;
    const bool losesPower = random_.chance() < 0.5;
    trace(std::string(strikesAll ? "all" : "most") + (losesPower ? " lose power" : " are killed"));
    for (const auto& host : hosts()) {
      if (!host->isInService() || (!strikesAll && random_.chance() < 0.3)) continue;
      if (losesPower) maybeLosePeerFile(*host);
      processes_.kill(*host);
      host->hasPower = !losesPower;
      if (random_.chance() < 0.3) host->seeds = drawSeeds();
    }
    network_.run(random_.between(500, 2000));
    network_.healAll();
    for (const auto& host : hosts()) {
      if (host->isUp || !host->isInService()) continue;
      network_.schedule(random_.below(kMaxStartDelay), [this, &host = *host] {
        if (!host.isUp) processes_.start(host, false);
      });
    }
    network_.run(kMaxStartDelay);
  }

  // --- What must hold

  bool follows(const DiscoveryHost& host, const DiscoveryHost& leader) const {
    if (!host.isInService()) return true;
    if (!host.isUp) return false;
    if (&host == &leader) return true;
    if (host.replica && host.replica->knownPrimary() != leader.address) return false;
    const bool isDiskless = host.directory && !host.replica;
    if (isDiskless && !contains(host.directory->coreCandidates(), leader.address)) return false;
    return network_.now() - host.follower->updatedAt < kFollowingTimeout;
  }

  bool allFollow() const {
    const DiscoveryHost* leader = processes_.primary();
    return leader && std::all_of(hosts().begin(), hosts().end(),
                                 [&](const auto& host) { return follows(*host, *leader); });
  }

  // Whether all control processes are connected by what the settings or the disks of some of them name, and
  // each gatekeeper's settings name one of them. A process that names none of them cannot find any.
  bool isConnected() const {
    std::map<NodeId, NodeId> parents;  // a union-find forest
    for (const DiscoveryHost* host : controlProcesses(true))
      if (!host->isSpare) parents[host->address] = host->address;
    const std::function<NodeId(const NodeId&)> rootOf = [&](const NodeId& node) {
      return parents[node] == node ? node : parents[node] = rootOf(parents[node]);
    };
    for (const auto& [node, parent] : std::map(parents))
      for (const NodeId& named : namedBy(*network_.find(node)))
        if (parents.contains(named)) parents[rootOf(node)] = rootOf(named);
    const NodeId root = rootOf(parents.begin()->first);
    const auto isJoined = [&](const NodeId& node) { return parents.contains(node) && rootOf(node) == root; };
    return std::all_of(hosts().begin(), hosts().end(), [&](const auto& host) {
      if (!host->isInService()) return true;
      return host->isControl ? isJoined(host->address)
                             : std::any_of(host->seeds.begin(), host->seeds.end(), isJoined);
    });
  }

  // All addresses that a process reads at its start.
  static std::vector<NodeId> namedBy(const DiscoveryHost& host) {
    std::vector<NodeId> out = host.seeds;
    const auto add = [&](const std::vector<NodeId>& nodes) {
      out.insert(out.end(), nodes.begin(), nodes.end());
    };
    if (host.disk) add(host.disk->record.members);
    if (host.hasDisk) add(host.rememberedPeers);
    return out;
  }

  void reportWhoDoesNotFollow() {
    const DiscoveryHost* leader = processes_.primary();
    if (!leader) return addViolation("nobody leads");
    for (const auto& host : hosts())
      if (!follows(*host, *leader))
        addViolation(host->address + " (" + roleOf(*host) + ") does not follow " + leader->address);
  }

  static std::string roleOf(const DiscoveryHost& host) {
    if (!host.isControl) return "gatekeeper";
    return host.hasDisk ? "disk" : "no disk";
  }

  void addViolation(const std::string& violation) { out_.violations.push_back(violation); }

  void trace(const std::string& fault) {
    out_.trace.push_back(std::to_string(static_cast<long>(network_.now())) + " " + fault);
  }

  const DiscoveryPlan plan_;
  SeededRandom random_;
  DiscoveryNetwork network_{random_};
  DiscoveryProcesses processes_{plan_, random_, network_};
  Millis nextReplacementAt_ = 0;
  DiscoveryRun out_;
};

}  // namespace

DiscoveryRun runDiscovery(const DiscoveryPlan& plan) { return Run(plan).run(); }

}  // namespace lilacmux
