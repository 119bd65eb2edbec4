#include "experiment/fleet.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <vector>

#include "experiment/measure.hpp"
#include "fleet/pace.hpp"
#include "fleet/primary.hpp"
#include "fleet/relay.hpp"
#include "quota/admission.hpp"

namespace lilacmux {
namespace {

using Millis = double;

constexpr Millis kTokenWithin = 130;  // 0.22 of an aim of 600 ms
constexpr Millis kWorkMs = 150;       // of a request at its server
constexpr Millis kWarmUp = 3000;      // not counted
constexpr Millis kConnectWithin = 150;

class Fleet {
 public:
  explicit Fleet(const FleetPlan& plan) : plan_(plan), random_(plan.seed) {
    for (unsigned t = 0; t < plan.tenants; ++t) {
      Tenant tenant;
      tenant.name = "tenant" + std::to_string(t);
      tenant.part = 1.0 / std::pow(t + 1.0, 0.8);  // a few are large
      tenants_.push_back(tenant);
    }
    double sum = 0;
    for (const Tenant& tenant : tenants_) sum += tenant.part;
    for (Tenant& tenant : tenants_) {
      const double perS = tenant.part / sum * plan.perGatekeeper * plan.gatekeepers;
      tenant.limit = {std::ceil(perS * plan.headroom), std::ceil(perS * plan.headroom)};
      tenant.perS = perS;
    }
    if (plan.flood > 0) tenants_.front().perS = plan.flood * tenants_.front().limit.rate;
    for (unsigned r = 0; r < plan.relays; ++r) {
      auto relay = std::make_unique<RelayNode>();
      relay->place = {"10.0.0." + std::to_string(r) + ":1", "z" + std::to_string(r % plan.zones)};
      relay->core.emplace("relay" + std::to_string(r), relay->place, r + 1, 0);
      relays_.push_back(std::move(relay));
    }
    std::vector<RelayPlace> places;
    for (const auto& relay : relays_) places.push_back(relay->place);
    std::vector<std::string> names;
    for (const Tenant& tenant : tenants_) names.push_back(tenant.name);
    for (unsigned g = 0; g < plan.gatekeepers; ++g) {
      auto node = std::make_unique<Gatekeeper>();
      node->name = "edge" + std::to_string(g);
      node->zone = "z" + std::to_string(g % plan.zones);
      const auto best = orderedFor(node->name, node->zone, places, 1).front();
      for (std::size_t r = 0; r < relays_.size(); ++r)
        if (relays_[r]->place == best) node->relay = r;
      node->admission.setLimitedTenants(names);
      gatekeepers_.push_back(std::move(node));
    }
    lead(0);
  }

  FleetFigures play() {
    const Millis end = kWarmUp + plan_.seconds * 1000;
    for (std::size_t r = 0; r < relays_.size(); ++r)
      at(chance() * FollowPace::kEvery, [this, r] { askPrimary(r); });
    for (std::size_t g = 0; g < gatekeepers_.size(); ++g) {
      at(chance() * FollowPace::kEvery, [this, g] { askRelay(g); });
    }
    for (std::size_t t = 0; t < tenants_.size(); ++t) arriveLater(t);
    if (plan_.linkMbps > 0 && plan_.downloadsPerS > 0)
      for (std::size_t g = 0; g < gatekeepers_.size(); ++g) downloadLater(g);
    at(kWarmUp, [this] { counted_ = true; });
    at(kWarmUp + 500, [this] { change(); });
    if (plan_.newPrimaryAtS > 0) at(kWarmUp + 1000 * plan_.newPrimaryAtS, [this] { lead(1); });
    if (plan_.primaryGapS > 0)
      at(kWarmUp + 1000 * (plan_.newPrimaryAtS - plan_.primaryGapS), [this] {
        noPrimary_ = true;
        relays_.front()->dead = true;
      });
    if (plan_.cutRelayAtS > 0)
      at(kWarmUp + 1000 * plan_.cutRelayAtS, [this] { relays_.front()->cut = true; });
    while (!events_.empty() && events_.top().at < end) {
      const auto next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
    return finish();
  }

 private:
  struct Tenant {
    std::string name;
    double part = 0, perS = 0;
    Quota limit;
    std::deque<Millis> admitted;
  };
  struct RelayNode {
    RelayPlace place;
    std::optional<Relay> core;
    bool known = false, out = false, cut = false, dead = false;
    FollowPace pace;
    std::uint64_t turn = 0;
    FleetFigures::Cost cost;
  };
  struct Waiting {
    std::size_t tenant = 0;
    Millis since = 0;
  };
  struct Gatekeeper {
    std::string name, zone;
    std::size_t relay = 0;
    Admission admission;
    std::deque<Waiting> waiting;
    bool known = false, out = false;
    FollowPace pace;
    std::uint64_t turn = 0;
    ListPosition at;
    std::uint64_t epoch = 0, revision = 0, relaysAre = 0;
    Millis linkFreeAt = 0;
    FleetFigures::Cost cost;
  };
  struct Event {
    Millis at = 0;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void at(Millis when, std::function<void()> run) { events_.push({when, ++events, std::move(run)}); }
  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }

  void lead(std::uint64_t round) {
    noPrimary_ = false;
    // Whoever takes over is the process of one of the relays.
    const ChangeLog followed = relays_.empty() ? ChangeLog() : relays_.front()->core->log();
    primary_.emplace(now_, (round + 1) << 20, followed, named_, rule_, RetryRule{});
    configure();
    std::vector<Instance> servers;
    const unsigned count = plan_.servers > 0 ? plan_.servers : 3 * plan_.gatekeepers;
    for (unsigned s = 0; s < count; ++s)
      servers.push_back({"i-" + std::to_string(s), "service", "10.1.0.1:80", "z0", 3, false, 0});
    primary_->servers(servers);
  }
  void change() {
    ++revision_;
    changedAt_ = now_;
    configure();
  }

  void configure() {
    std::map<std::string, Quota> limits;
    for (const Tenant& tenant : tenants_) limits[tenant.name] = tenant.limit;
    primary_->configuration(now_, revision_, std::make_shared<const std::string>(1000, 'c'), limits);
  }

  // What goes over the wire is written and read, and counted at both ends.
  template <class M>
  Frame sent(const M& message, FleetFigures::Cost& from, FleetFigures::Cost& to) {
    std::string bytes;
    {
      const ProcessorCharge charge(processorOf(from));
      bytes = encode(toFrame(message));
    }
    if (counted_) {
      from.bytes += static_cast<double>(bytes.size());
      to.bytes += static_cast<double>(bytes.size());
    }
    const ProcessorCharge charge(processorOf(to));
    Frame out;
    if (decode(bytes, out) != Decoded::frame) throw std::logic_error("a frame that is not read back");
    return out;
  }
  // Where processor time is added up; apart before the count begins.
  double& processorOf(FleetFigures::Cost& cost) { return counted_ ? cost.processorMs : uncountedMs_; }
  // Adds what each field of a message takes on the wire.
  void countFields(std::map<std::string, double>& fields, const Frame& frame) const {
    if (!counted_) return;
    constexpr double kLengths = 8, kBraces = 2;
    fields["frame"] += kLengths + kBraces;
    for (const auto& [name, value] : frame.head.items())  // with the name's quotes, a colon and a comma
      fields[name] += static_cast<double>(name.size() + value.dump().size() + 4);
    if (!frame.body.empty()) fields["body"] += static_cast<double>(frame.body.size());
  }

  void askPrimary(std::size_t r) {
    RelayNode& relay = *relays_[r];
    if (relay.out) return;
    relay.out = true;
    const std::uint64_t turn = ++relay.turn;
    FollowCall asks;
    {
      const ProcessorCharge charge(processorOf(relay.cost));
      asks = relay.core->asks(now_, relay.pace.ask(now_, relay.known));
    }
    const Frame call = sent(asks, relay.cost, primaryCost_);
    at(now_ + FollowPace::kAnswerWithin, [this, r, turn] {
      RelayNode& late = *relays_[r];
      if (late.turn != turn || !late.out) return;
      late.out = late.known = false;
      late.core->lost();
      askPrimaryIn(r, FollowPace::kAfterFailure);
    });
    if (relay.cut || relay.dead || noPrimary_) return;
    at(now_ + plan_.oneWayMs, [this, r, turn, call] {
      FollowAnswer answer;
      if (counted_) primaryCost_.calls += 1;
      {
        const ProcessorCharge charge(processorOf(primaryCost_));
        const auto read = *followCallOf(call);
        const bool named = !named_.insert(nameWithoutIncarnation(read.name)).second;
        primary_->feed(now_, read, named, answer);
      }
      const Frame back = sent(answer, primaryCost_, relays_[r]->cost);
      at(now_ + plan_.oneWayMs, [this, r, turn, back] {
        RelayNode& to = *relays_[r];
        if (to.turn != turn || !to.out) return;
        to.out = false;
        {
          const ProcessorCharge charge(processorOf(to.cost));
          const auto news = *followAnswerOf(Frame(back));
          to.known = news.known;
          to.core->news(now_, news, to.pace.askedAt());
        }
        askPrimaryIn(r, to.known ? to.pace.rest(now_) : 1);
      });
    });
  }
  void askPrimaryIn(std::size_t r, Millis wait) {
    relays_[r]->pace.wait(now_ + wait);
    const std::uint64_t turn = relays_[r]->turn;
    at(now_ + wait, [this, r, turn] {
      if (relays_[r]->turn == turn) askPrimary(r);
    });
  }

  void askRelay(std::size_t g) {
    Gatekeeper& node = *gatekeepers_[g];
    if (node.out) return;
    node.out = true;
    const std::uint64_t turn = ++node.turn;
    FollowCall call;
    call.name = node.name;
    call.zone = node.zone;
    call.at = node.at, call.revision = node.revision;
    call.relays = node.relaysAre;
    const ReportScope what = node.pace.ask(now_, node.known);
    call.whole = what == ReportScope::full;
    {
      const ProcessorCharge charge(processorOf(node.cost));
      call.demands = node.admission.demands(now_, what);
    }
    RelayNode& relay = *relays_[node.relay];
    const Frame frame = sent(call, node.cost, relay.cost);
    if (counted_) ++gatekeeperCalls_;
    countFields(figures_.callFields, frame);
    const std::size_t r = node.relay;
    if (relay.dead) {
      at(now_ + kConnectWithin, [this, g] { elsewhere(g); });
      return;
    }
    at(now_ + plan_.nearMs, [this, g, r, turn, frame] {
      RelayNode& at1 = *relays_[r];
      if (counted_) at1.cost.calls += 1;
      FollowAnswer answer;
      {
        const ProcessorCharge charge(processorOf(at1.cost));
        answer = at1.core->follow(now_, *followCallOf(frame));
      }
      if (at1.core->isShort() && !at1.out) {
        if (const auto wait = at1.pace.hurry(now_, FollowPace::kRelayGap)) {
          const std::uint64_t turnOfRelay = at1.turn;
          at(now_ + *wait, [this, r, turnOfRelay] {
            if (relays_[r]->turn == turnOfRelay) askPrimary(r);
          });
        }
      }
      const Frame back = sent(answer, at1.cost, gatekeepers_[g]->cost);
      countFields(figures_.answerFields, back);
      at(throughLink(g, now_ + plan_.nearMs, static_cast<double>(encode(back).size())),
         [this, g, turn, back] {
           std::optional<FollowAnswer> read;
           {
             const ProcessorCharge charge(processorOf(gatekeepers_[g]->cost));
             read = followAnswerOf(Frame(back));
           }
           answered(g, turn, *read);
         });
    });
  }
  // When so many bytes that come to a gatekeeper's link are through it.
  Millis throughLink(std::size_t g, Millis from, double bytes) {
    if (plan_.linkMbps <= 0) return from;
    Millis& freeAt = gatekeepers_[g]->linkFreeAt;
    return freeAt = std::max(freeAt, from) + bytes * 8 / 1000 / plan_.linkMbps;
  }
  void downloadLater(std::size_t g) {
    at(now_ - std::log(1 - chance()) * 1000 / plan_.downloadsPerS, [this, g] {
      throughLink(g, now_, 1024 * plan_.downloadKb * (0.5 + chance()));
      downloadLater(g);
    });
  }
  void answered(std::size_t g, std::uint64_t turn, const FollowAnswer& answer) {
    Gatekeeper& node = *gatekeepers_[g];
    if (node.turn != turn) return;
    node.out = false;
    if (answer.epoch == 0) return elsewhere(g);
    if (answer.epoch >= node.epoch) {
      node.epoch = answer.epoch;
      if (answer.news.listed) node.at = {answer.epoch, answer.news.place};
      if (answer.news.revision > node.revision) {
        node.revision = answer.news.revision;
        if (changedAt_ > 0)
          figures_.versionEverywhereMs = std::max(figures_.versionEverywhereMs, now_ - changedAt_);
      }
    }
    node.known = answer.known;
    if (!answer.relays.empty()) node.relaysAre = answer.relaysAre;
    const Millis sentAt = node.pace.askedAt();
    {
      const ProcessorCharge charge(processorOf(node.cost));
      node.admission.responseReceived(now_, sentAt, sentAt - answer.ageMs + ShareTiming{}.lease);
      for (const ShareGrant& grant : answer.grants) node.admission.applyGrant(now_, grant, answer.grant);
    }
    askRelayIn(g, node.known ? node.pace.rest(now_) : 1);
    lookAt(node);
    hurry(g);
  }
  void elsewhere(std::size_t g) {
    Gatekeeper& node = *gatekeepers_[g];
    node.known = node.out = false;
    node.admission.requestFailed();
    node.relay = (node.relay + 1) % relays_.size();
    lookAt(node);
    askRelayIn(g, FollowPace::kAfterFailure);
  }
  void askRelayIn(std::size_t g, Millis wait) {
    gatekeepers_[g]->pace.wait(now_ + wait);
    const std::uint64_t turn = gatekeepers_[g]->turn;
    at(now_ + wait, [this, g, turn] {
      if (gatekeepers_[g]->turn == turn) askRelay(g);
    });
  }
  void hurry(std::size_t g) {
    Gatekeeper& node = *gatekeepers_[g];
    const auto need = node.admission.need();
    if (need == Admission::Need::none || node.out) return;
    const auto wait = node.pace.hurry(
        now_, need == Admission::Need::waiting ? FollowPace::kWaitingGap : FollowPace::kLowGap);
    if (!wait) return;
    const std::uint64_t turn = node.turn;
    at(now_ + *wait, [this, g, turn] {
      if (gatekeepers_[g]->turn == turn) askRelay(g);
    });
  }

  void arriveLater(std::size_t t) {
    const Millis wait = -std::log(1 - chance()) * 1000 / tenants_[t].perS;
    at(now_ + wait, [this, t] {
      arrive(t);
      arriveLater(t);
    });
  }
  void arrive(std::size_t t) {
    // Uneven: some gatekeepers get twice as much as others.
    const double drawn = chance();
    const auto g =
        std::min(gatekeepers_.size() - 1,
                 static_cast<std::size_t>(std::pow(drawn, 1.3) * static_cast<double>(gatekeepers_.size())));
    Gatekeeper& node = *gatekeepers_[g];
    if (counted_) ++figures_.asked;
    const auto verdict = node.admission.tryAdmit(now_, tenants_[t].name, chance());
    if (verdict.admitted)
      admit(node, t);
    else if (verdict.tokenExpected) {
      node.waiting.push_back({t, now_});
      at(now_ + kTokenWithin, [this, &node] { sweep(node); });
    } else
      refuse(t);
    hurry(g);
  }
  void lookAt(Gatekeeper& node) {
    std::deque<Waiting> looked;
    looked.swap(node.waiting);
    for (const Waiting& each : looked) {
      const auto verdict = node.admission.tryAdmit(now_, tenants_[each.tenant].name, chance(), true);
      if (!verdict.admitted && verdict.tokenExpected && now_ - each.since < kTokenWithin) {
        node.waiting.push_back(each);
        continue;
      }
      if (counted_) waits_.push_back(now_ - each.since);
      verdict.admitted ? admit(node, each.tenant) : refuse(each.tenant);
    }
  }
  void sweep(Gatekeeper& node) {
    while (!node.waiting.empty() && now_ - node.waiting.front().since >= kTokenWithin) {
      if (counted_) waits_.push_back(now_ - node.waiting.front().since);
      refuse(node.waiting.front().tenant);
      node.waiting.pop_front();
    }
  }
  void admit(Gatekeeper& node, std::size_t t) {
    Tenant& tenant = tenants_[t];
    tenant.admitted.push_back(now_);
    while (tenant.admitted.front() <= now_ - 1000 * rule_.windowSeconds) tenant.admitted.pop_front();
    const double allowed =
        (tenant.limit.rate * rule_.windowSeconds + tenant.limit.burst) * (1 + rule_.overage) + rule_.slack;
    figures_.worstOver = std::max(figures_.worstOver, static_cast<double>(tenant.admitted.size()) - allowed);
    at(now_ + kWorkMs, [this, t, &node] { node.admission.requestEnded(now_, tenants_[t].name, true); });
  }
  void refuse(std::size_t t) {
    if (!counted_) return;
    const bool over = plan_.flood > 0 && t == 0;
    ++(over ? figures_.refusedOver : figures_.refusedInside);
  }

  FleetFigures finish() {
    const double s = plan_.seconds;
    primaryCost_.looks = static_cast<double>(primary_->looks());
    const auto perS = [s](FleetFigures::Cost cost, double parts) {
      return FleetFigures::Cost{cost.calls / s / parts, cost.bytes / s / parts, cost.looks / s / parts,
                                cost.processorMs / s / parts};
    };
    FleetFigures::Cost relays, nodes;
    const auto sum = [](FleetFigures::Cost& into, const FleetFigures::Cost& cost) {
      into.calls += cost.calls;
      into.bytes += cost.bytes;
      into.processorMs += cost.processorMs;
    };
    for (const auto& relay : relays_) sum(relays, relay->cost);
    for (const auto& node : gatekeepers_) sum(nodes, node->cost);
    const double gatekeeperSeconds = s * static_cast<double>(gatekeepers_.size());
    for (auto* fields : {&figures_.callFields, &figures_.answerFields})
      for (auto& [name, bytes] : *fields) bytes /= gatekeeperSeconds;
    figures_.gatekeeperCalls = static_cast<double>(gatekeeperCalls_) / gatekeeperSeconds;
    figures_.primary = perS(primaryCost_, 1);
    figures_.relay = perS(relays, static_cast<double>(relays_.size()));
    figures_.gatekeeper = perS(nodes, static_cast<double>(gatekeepers_.size()));
    figures_.waited = waits_.size();
    if (waits_.empty()) return figures_;
    figures_.waitedMs =
        std::accumulate(waits_.begin(), waits_.end(), 0.0) / static_cast<double>(waits_.size());
    std::sort(waits_.begin(), waits_.end());
    figures_.longWaitMs = waits_[waits_.size() * 99 / 100];
    return figures_;
  }

  const FleetPlan plan_;
  const QuotaRule rule_{5, 0.1, 20};
  std::mt19937_64 random_;
  std::priority_queue<Event> events_;
  std::uint64_t events = 0;
  Millis now_ = 0, changedAt_ = 0;
  bool counted_ = false, noPrimary_ = false;
  std::uint64_t revision_ = 1;
  std::vector<Tenant> tenants_;
  std::vector<std::unique_ptr<RelayNode>> relays_;
  std::vector<std::unique_ptr<Gatekeeper>> gatekeepers_;
  std::set<std::string> named_;
  std::optional<Primary> primary_;
  FleetFigures::Cost primaryCost_;
  double uncountedMs_ = 0;
  std::uint64_t gatekeeperCalls_ = 0;
  std::vector<Millis> waits_;
  FleetFigures figures_;
};

}  // namespace

FleetFigures playFleet(const FleetPlan& plan) { return Fleet(plan).play(); }

std::string asJson(const FleetPlan& plan, const FleetFigures& f) {
  const auto cost = [](const FleetFigures::Cost& c) {
    return nlohmann::json{{"calls_per_s", c.calls},
                          {"bytes_per_s", c.bytes},
                          {"looks_per_s", c.looks},
                          {"processor_ms_per_s", c.processorMs}};
  };
  const nlohmann::json out = {{"gatekeepers", plan.gatekeepers},
                              {"tenants", plan.tenants},
                              {"relays", plan.relays},
                              {"asked", f.asked},
                              {"refused_inside_quota", f.refusedInside},
                              {"refused_over_quota", f.refusedOver},
                              {"worst_over_limit", f.worstOver},
                              {"waited", f.waited},
                              {"waited_ms_mean", f.waitedMs},
                              {"waited_ms_99", f.longWaitMs},
                              {"version_everywhere_ms", f.versionEverywhereMs},
                              {"primary", cost(f.primary)},
                              {"relay", cost(f.relay)},
                              {"gatekeeper", cost(f.gatekeeper)},
                              {"gatekeeper_calls_per_s", f.gatekeeperCalls},
                              {"gatekeeper_call_bytes_per_s", f.callFields},
                              {"gatekeeper_answer_bytes_per_s", f.answerFields}};
  return out.dump(2);
}

}  // namespace lilacmux
