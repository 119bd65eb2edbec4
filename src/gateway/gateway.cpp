#include "gateway/gateway.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

#include "agreement/epoch.hpp"
#include "figures/exposition.hpp"
#include "net/steady.hpp"
#include "node/held_steps.hpp"
#include "quota/retry_ledger.hpp"

namespace lilacmux {
namespace {

namespace http = burlwind::http;
using namespace std::chrono_literals;
using burlwind::Answer;
using burlwind::AttemptEnd;
using burlwind::Call;
using burlwind::ClientMessage;
using burlwind::Rejection;
using burlwind::view;
using irisring::Outcome;
using irisring::Result;
using irisring::WorkerId;

constexpr double kWayBack = 12;          // ms kept for the way back to the client
constexpr double kRevocationKept = 800;  // ms of the bound on taken keys that are not used
constexpr double kRetryAfter = 250;      // ms advised where nothing better is known
constexpr double kNoLeaseRetryAfter = 500;
constexpr std::size_t kSparedSockets = 240;  // the bench's and the program's own
constexpr std::size_t kAhead = 16;           // requests of one client held at once, beside the next
constexpr unsigned kOwnMegabytes = 40;
constexpr std::size_t kGuessedFleet = 8;   // gatekeepers, until the control plane has told
constexpr auto kAcceptAfterTerm = 2800ms;  // the platform notices within two misses, a second each
constexpr auto kBudgetLook = 12ms;         // until a further try looks again for room in the budget
constexpr unsigned kBudgetLooks = 3;       // the control plane has answered by then
constexpr double kLeastTokenWait = 50;     // ms that a request waits for a token on its way
constexpr double kGraceKept = 900;         // ms of the grace period, for the last answers' way

std::chrono::steady_clock::duration span(double ms) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

std::size_t serverSockets(const NodeSettings& s) { return (s.descriptors - kSparedSockets) / 3; }

burlwind::ClientServer::Limits clientLimits(const NodeSettings& s, const RequestLimits& limits,
                                            burlwind::LinkGate& link) {
  burlwind::ClientServer::Limits out;
  out.link = &link;
  out.connections = s.descriptors - kSparedSockets - serverSockets(s);
  out.ahead = kAhead;
  out.idleFor = std::chrono::milliseconds(std::lround(limits.idleTimeoutMs));
  out.wholeWithin = std::chrono::milliseconds(std::lround(std::max(1.0, limits.headerTimeoutMs)));
  out.mostHeader = std::max<std::size_t>(limits.headerBytes, 256);
  out.mostBody = limits.bodyBytes;
  return out;
}

burlwind::WorkerPool::Limits poolLimits(const NodeSettings& s, burlwind::LinkGate& link) {
  burlwind::WorkerPool::Limits out;
  out.link = &link;
  out.connectTimeout = 400ms;
  out.idleFor = 7000ms;
  out.total = serverSockets(s);
  return out;
}

bool limitsRetries(const NodeSettings& s) {
  return RetryRule{s.bounds.retryBudgetRatio, s.bounds.retryBudgetSlack}.limits();
}

std::vector<std::string> servicesOf(const Configuration& configuration) {
  std::set<std::string> out;
  for (const Route& route : configuration.routes)
    for (const Target& target : route.targets) out.insert(target.service);
  return {out.begin(), out.end()};
}

std::size_t budgetOf(const NodeSettings& s) {
  return std::size_t{std::max(8u, s.memoryMb - std::min(s.memoryMb, kOwnMegabytes))} * (1 << 20) / 3;
}

const NodeSettings& checked(const NodeSettings& settings) {
  if (!settings.frontend) throw SettingsError("listeners.frontend: is missing, the gateway role needs it");
  if (settings.seeds.empty()) throw SettingsError("seedNodes: is empty");
  return settings;
}

std::string_view pathOf(const ClientMessage& message) {
  const std::string_view target = view(message.target());
  return target.substr(0, target.find('?'));
}

// A request that names one of these twice means one thing to us and may mean another to a server.
bool onceEach(const ClientMessage& message) {
  for (const char* name : {"Host", "X-Api-Key", "X-Attempt-Id", "X-Deadline-Remaining-Ms"})
    if (burlwind::countOf(message, name) > 1) return false;
  return true;
}

// Whoever is refused within a quarter of its aim has time to come back. What the machine's own link holds a
// token up for is no sign that there is none, and comes on top.
double tokenWait(const Route& route) { return std::max(kLeastTokenWait, 0.22 * route.aimMs); }

Answer text(http::status status, const char* what) {
  Answer out;
  out.status = status;
  out.body = std::string(what) + "\n";
  out.fields = burlwind::plainText();
  return out;
}

// From a gatekeeper these say that the request has not run and never will. A server that has not run one says
// so by X-Not-Executed, so where it answers with one of these alone nobody knows.
bool isPromise(http::status status) {
  return status == http::status::request_timeout || status == http::status::misdirected_request ||
         status == http::status::too_many_requests || status == http::status::service_unavailable;
}

bool ranOf(Result result) {
  return result != Result::full && result != Result::connectFailed && result != Result::moot;
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& io, const NodeSettings& settings, Log log)
    : io_(io),
      settings_(checked(settings)),
      log_(std::move(log)),
      budget_(budgetOf(settings)),
      inwards_(io, settings.networkMbps),
      outwards_(io, settings.networkMbps),
      figures_({"idempotent", "non_idempotent", "download"}),
      pool_(io, poolLimits(settings, inwards_), budget_, figures_, answers_, *this,
            [this](AttemptEnd&& end) { ended(std::move(end)); }),
      server_(io, *settings.frontend, clientLimits(settings, {}, outwards_), budget_, figures_, *this),
      followed_(settings.bounds.revocationMs - kRevocationKept),
      random_(std::hash<std::string>{}(settings.name)),
      drain_(io),
      sweep_(io) {
  server_.listen();
  server_.start();
  readiness_.emplace(io_, *settings_.readiness, burlwind::CallServer::Limits{},
                     [this](burlwind::CallServer::Call&& call, const burlwind::CallServer::Respond& respond) {
                       if (call.target() == "/api/status")
                         return respond(burlwind::callReply(http::status::ok, status(), "application/json"));
                       if (call.target() == "/metrics")
                         return respond(burlwind::callReply(http::status::ok, metrics(), Exposition::kType));
                       const bool known = call.target() == "/api/readiness";
                       respond(burlwind::callReply(!known    ? http::status::not_found
                                                   : ready() ? http::status::ok
                                                             : http::status::service_unavailable,
                                                   ready() ? "ready\n" : "not ready\n"));
                     });
  follower_ = std::make_unique<Follower>(
      io_, controlSeeds(settings_),
      Follower::Host{[this](ShareTell what) { return asks(what); },
                     [this](const FollowAnswer& answer, double sentAt) { news(answer, sentAt); },
                     [this] {
                       admission_.lost();
                       retries_.lost();
                       lookAtParked();
                     },
                     log_,
                     [this] {
                       FollowCall out = place();
                       out.leaves = true;
                       return out;
                     }});
}

Gateway::~Gateway() = default;

Gateway::Time Gateway::now() const { return steadyMs(); }

// From 0 to below 1.
double Gateway::chance() {
  random_ = random_ * 6364136223846793005ULL + 1;
  return static_cast<double>(random_ >> 11) * 0x1.0p-53;
}

bool Gateway::mayServe() const {
  return table_ && (!settings_.bounds.revocationGlobal || followed_.holdsLease(now()));
}

bool Gateway::ready() const { return !draining_ && followed_.listed() && mayServe(); }

// For `lilacmux status`: what this gatekeeper goes by. No key.
std::string Gateway::status() const {
  struct Count {
    std::size_t listed = 0, draining = 0, avoided = 0;
  };
  std::map<std::string, Count> counts;
  for (const auto& [id, instance] : followed_.instances()) {
    ++counts[instance.service].listed;
    counts[instance.service].draining += instance.draining;
  }
  for (const auto& [name, lane] : lanes_)
    if (lane) counts[name].avoided = lane->module().pool(now()).avoided;
  nlohmann::json services = nlohmann::json::object();
  for (const auto& [name, count] : counts)
    services[name] = {{"listed", count.listed}, {"draining", count.draining}, {"avoided", count.avoided}};
  const nlohmann::json out = {
      {"role", "gateway"},
      {"node", settings_.name},
      {"zone", settings_.zone},
      {"ready", ready()},
      {"draining", draining_},
      {"revision", table_ ? table_->revision() : 0},
      {"lease_ms", followed_.leaseLeft(now())},
      {"log", {{"epoch", epochText(followed_.epoch())}, {"place", followed_.logPlace()}}},
      {"gatekeepers", fleet_},
      {"held", held_.size() + parked_.size()},
      {"services", services}};
  return out.dump() + "\n";
}

void Gateway::reload(const NodeSettings& settings) {
  follower_->setSeeds(controlSeeds(settings));
  log_("settings read");
}

void Gateway::drain(std::function<void()> done) {
  draining_ = true;
  server_.beginDrain();
  drain_.expires_after(kAcceptAfterTerm);
  drain_.async_wait([this, done = std::move(done)](const burlwind::Error& error) {
    if (error) return;
    server_.stopAccepting();
    const double left = settings_.bounds.gracePeriodS * 1000 - kGraceKept -
                        std::chrono::duration<double, std::milli>(kAcceptAfterTerm).count();
    drain_.expires_after(span(std::max(0.0, left)));
    drain_.async_wait([this](const burlwind::Error& late) {
      if (!late) giveUpAll();
    });
    server_.whenEmpty([this, done] { follower_->end([this] { return leaves(); }, done); });
  });
}

// --- From the control plane
// ------------------------------------------------------------------------------------

// For the operators' Prometheus; what each tells and which to alert on: docs/operations/figures.md.
std::string Gateway::metrics() const {
  Exposition out;
  figures_.each([&](const std::string& kind, auto good, auto refused, auto failed, auto tries) {
    const std::string name = "lilacmux_requests_total", help = "Requests by how they ended";
    out.counter(name, help, static_cast<double>(good), {{"kind", kind}, {"end", "answered"}});
    out.counter(name, help, static_cast<double>(refused), {{"kind", kind}, {"end", "refused"}});
    out.counter(name, help, static_cast<double>(failed), {{"kind", kind}, {"end", "failed"}});
    out.counter("lilacmux_tries_total", "Requests written to a server", static_cast<double>(tries),
                {{"kind", kind}});
  });
  const auto token = [&](const char* what, std::uint64_t count) {
    out.counter("lilacmux_tokens_total", "Requests by what came of the token of their tenant",
                static_cast<double>(count), {{"token", what}});
  };
  token("here", counts_.atOnce);
  token("fetched", counts_.waited);
  token("none", counts_.over);
  token("late", counts_.late);
  out.counter("lilacmux_out_of_touch_total", "Requests refused for want of the control plane's word",
              static_cast<double>(counts_.outOfTouch));
  out.counter("lilacmux_no_server_total", "Requests that no server could take",
              static_cast<double>(counts_.noServer));
  out.gauge("lilacmux_held", "Requests held now", static_cast<double>(held_.size() + parked_.size()));
  out.gauge("lilacmux_server_connections", "Connections to servers",
            static_cast<double>(pool_.connections()));
  out.gauge("lilacmux_client_connections", "Connections of clients",
            static_cast<double>(server_.connections()));
  for (const auto& [way, gate] : {std::pair{"in", &inwards_}, std::pair{"out", &outwards_}})
    out.gauge("lilacmux_link_queue_ms", "What stands in the machine's link, ms", gate->queue(),
              {{"direction", way}});
  out.gauge("lilacmux_lease_ms", "How long this one may still serve without a further word",
            followed_.leaseLeft(now()));
  out.gauge("lilacmux_revision", "The configuration in force",
            table_ ? static_cast<double>(table_->revision()) : 0);
  out.gauge("lilacmux_ready", "Whether new clients are wanted", ready());
  for (const auto& [name, lane] : lanes_) {
    if (!lane) continue;
    const auto pool = lane->module().pool(now());
    out.gauge("lilacmux_servers", "Servers of a service, as listed", static_cast<double>(pool.listed),
              {{"service", name}});
    out.gauge("lilacmux_servers_avoided", "Servers that are sent to only where there is no other",
              static_cast<double>(pool.avoided), {{"service", name}});
  }
  return out.text();
}

// Who asks, and from what place on.
FollowCall Gateway::place() const {
  FollowCall out;
  out.name = settings_.name;
  out.zone = settings_.zone;
  followed_.place(out);
  out.revision = table_ ? table_->revision() : 0;
  out.relays = relaysAre_;
  return out;
}

FollowCall Gateway::asks(ShareTell what) {
  FollowCall out = place();
  out.whole = what == ShareTell::whole;
  if (out.whole) out.relays = 0;
  out.demands = admission_.demands(now(), what);
  if (!limitsRetries(settings_)) return out;
  if (what != ShareTell::urgent) out.requests = requests_.perSecond(now());
  out.retries = retries_.demands(now(), what);
  return out;
}

FollowCall Gateway::leaves() {
  FollowCall out = place();
  out.leaves = true;
  out.demands = admission_.leaving(now());
  out.retries = retries_.leaving(now());
  return out;
}

// What an older primary told renews nothing, and goes back on nothing.
void Gateway::news(const FollowAnswer& answer, double sentAt) {
  if (followed_.accepts(answer)) {
    fleet_ = answer.gatekeepers;
    if (answer.news.configuration) configure(*answer.news.configuration);
    servers(followed_.take(answer, sentAt, table_ ? table_->revision() : 0));
  }
  const double lentUntil = sentAt - answer.ageMs + ShareTiming{}.lease;
  admission_.heard(now(), sentAt, lentUntil);
  retries_.heard(now(), sentAt, lentUntil);
  for (const ShareGrant& grant : answer.grants) admission_.take(now(), grant, answer.grant);
  for (const ShareGrant& grant : answer.retries) retries_.take(now(), grant, answer.retryGrant);
  if (!answer.relays.empty()) {
    relaysAre_ = answer.relaysAre;
    follower_->prefer(answer.relays);
  }
  lookAtParked();
}

// Never back to an older version in one life of the process.
void Gateway::configure(const std::string& body) {
  auto read = parseConfiguration(body);
  if (const auto* why = std::get_if<std::string>(&read)) return log_("a configuration is invalid: " + *why);
  auto& configuration = std::get<Configuration>(read);
  if (table_ && configuration.revision <= table_->revision()) return;
  std::vector<std::string> limited;
  for (const Tenant& tenant : configuration.tenants)
    if (tenant.ratePerS > 0) limited.push_back(tenant.name);
  admission_.limited(limited);
  if (limitsRetries(settings_)) retries_.limited(servicesOf(configuration));
  server_.limits(clientLimits(settings_, configuration.limits, outwards_));
  table_ = std::make_shared<const RouteTable>(std::move(configuration));
  log_("configuration " + std::to_string(table_->revision()) + " is in force");
}

void Gateway::servers(const FollowerState::Update& update) {
  std::set<std::string> touched;  // services
  for (const Instance& instance : update.gone) {
    touched.insert(instance.service);
    pool_.retire(numberOf(instance.id));
  }
  for (const Instance& instance : update.set) {
    touched.insert(instance.service);
    names_[numberOf(instance.id)] = instance.id;
    if (instance.draining) {
      pool_.retire(numberOf(instance.id));
      continue;
    }
    try {
      pool_.place(numberOf(instance.id), {parseAddress(instance.address, "address"), 0});
    } catch (const SettingsError&) {
      log_("a server's address cannot be read: " + instance.address);
    }
  }
  for (const std::string& service : touched) tellLane(service);
}

void Gateway::tellLane(const std::string& service) {
  const auto lane = lanes_.find(service);
  if (lane == lanes_.end()) return;
  std::vector<Instance> list;
  for (const auto& [id, instance] : followed_.instances())
    if (instance.service == service) list.push_back(instance);
  lane->second->servers(now(), list);
}

std::shared_ptr<Lane> Gateway::laneOf(const std::string& service, unsigned kind) {
  auto& lane = lanes_[service];
  if (lane && lane->knows(kind)) return lane;
  lane = std::make_shared<Lane>(settings_.zone, kinds_, fleet_ > 0 ? fleet_ : kGuessedFleet,
                                random_ ^ numberOf(service), now(), static_cast<LaneHost&>(*this));
  tellLane(service);
  return lane;
}

// --- From the clients
// --------------------------------------------------------------------------------------------

std::variant<Call, Rejection> Gateway::read(const ClientMessage& head) {
  constexpr auto bad = http::status::bad_request;
  if (!burlwind::plainFraming(head)) return Rejection{bad, "the body's length is not told plainly"};
  if (!onceEach(head)) return Rejection{bad, "a header is repeated"};
  if (head["X-Attempt-Id"].empty()) return Rejection{bad, "no X-Attempt-Id"};
  if (head.method() == http::verb::connect || head.method() == http::verb::head)
    return Rejection{http::status::not_implemented, "no such method here"};
  const std::string_view path = pathOf(head);
  if (path.empty() || path.front() != '/' || head[http::field::host].empty())
    return Rejection{bad, "no path or no host"};
  if (!mayServe()) return Call{};  // take() says when to come back
  const Route* route = table_->find(view(head[http::field::host]), path);
  if (!route) return Rejection{http::status::not_found, "no such route"};
  if (table_->needsKey(*route) && !table_->holder(view(head["X-Api-Key"])))
    return Rejection{http::status::unauthorized, "unknown key"};
  Call out;
  out.klass = static_cast<unsigned>(route->type);
  out.repeatable = route->type != RouteType::nonIdempotent;
  out.patience = route->timeoutMs;
  if (const auto told = burlwind::number<double>(view(head["X-Deadline-Remaining-Ms"])))
    out.patience = std::clamp(*told, 0.0, route->timeoutMs);
  return out;
}

void Gateway::take(RequestId id, const Call& call, ClientMessage&& message,
                   const std::shared_ptr<burlwind::Asker>& asker) {
  const Time at = now();
  const Route* route = nullptr;
  const Tenant* tenant = nullptr;
  if (mayServe()) route = table_->find(view(message[http::field::host]), pathOf(message));
  if (!route) {
    ++counts_.outOfTouch;
    Answer out = text(http::status::service_unavailable, "not in touch with the control plane");
    out.retryAfter = kNoLeaseRetryAfter;
    return asker->answer(std::move(out));
  }
  if (table_->configuration().hasTenants) tenant = table_->holder(view(message["X-Api-Key"]));
  Parked request{id,
                 at + std::max(0.0, call.patience - kWayBack),
                 std::move(message),
                 asker,
                 table_,
                 route,
                 tenant ? tenant->name : "",
                 0};
  // A version that came since the head was read may have taken the key away.
  if (!tenant && request.table->needsKey(*route))
    return request.asker->answer(text(http::status::unauthorized, "unknown key"));
  if (!tenant) return admit(std::move(request));
  const auto verdict = admission_.ask(at, tenant->name, chance());
  if (verdict.admitted) {
    ++counts_.atOnce;
    admit(std::move(request));
  } else if (verdict.onItsWay) {
    request.until = std::min(at + tokenWait(*route) + inwards_.queue() + outwards_.queue(), request.expires);
    parked_.push_back(std::move(request));
    sweepParked();
  } else {
    ++counts_.over;
    refuseQuota(request, verdict.wait);
  }
  hurry();
}

// Calls ahead of their time, by what is needed.
void Gateway::hurry() {
  const auto need = std::max(admission_.need(), retries_.need());
  if (need != Admission::Need::none)
    follower_->hurry(need == Admission::Need::waiting ? FollowPace::kWaitingGap : FollowPace::kLowGap);
}

void Gateway::refuseQuota(const Parked& request, Time wait) const {
  Answer out = text(http::status::too_many_requests, "over the quota");
  out.retryAfter = wait;
  request.asker->answer(std::move(out));
}

// Tokens may have come, or it is known that none will.
void Gateway::lookAtParked() {
  std::list<Parked> looked;
  looked.swap(parked_);
  while (!looked.empty()) {
    Parked& request = looked.front();
    const auto verdict = admission_.ask(now(), request.tenant, chance(), true);
    if (!verdict.admitted && verdict.onItsWay && now() < request.until) {
      parked_.splice(parked_.end(), looked, looked.begin());
      continue;
    }
    Parked out = std::move(request);
    looked.pop_front();
    ++(verdict.admitted ? counts_.waited : now() < out.until ? counts_.over : counts_.late);
    verdict.admitted ? admit(std::move(out)) : refuseQuota(out, verdict.wait);
  }
  hurry();
}

// No request waits for longer than it may, whoever is silent.
void Gateway::sweepParked() {
  if (parked_.empty()) return;
  const auto first = std::min_element(parked_.begin(), parked_.end(),
                                      [](const Parked& a, const Parked& b) { return a.until < b.until; });
  sweep_.expires_after(span(std::max(0.0, first->until - now())));
  sweep_.async_wait([this](const burlwind::Error& error) {
    if (error) return;
    for (auto it = parked_.begin(); it != parked_.end();) {
      if (it->until > now()) {
        ++it;
        continue;
      }
      const Parked late = std::move(*it);
      it = parked_.erase(it);
      ++counts_.late;
      refuseQuota(late, kRetryAfter);
    }
    sweepParked();
  });
}

void Gateway::admit(Parked&& in) {
  const Time at = now();
  const RequestId id = in.id;
  Held& held = held_.try_emplace(id, io_).first->second;
  held.table = std::move(in.table);
  held.route = in.route;
  held.tenant = std::move(in.tenant);
  held.kind = kinds_.of(*held.route);
  held.service = &RouteTable::pickService(*held.route, chance());
  held.lane = laneOf(*held.service, held.kind);
  requests_.count(*held.service);
  held.message = std::move(in.message);
  held.asker = std::move(in.asker);
  held.expires = in.expires;
  held.deadline.expires_after(span(held.expires - at));
  held.deadline.async_wait([this, id](const burlwind::Error& error) {
    if (!error) expire(id);
  });
  irisring::Request request;
  request.id = id;
  request.klass = held.kind;
  request.expires = held.expires;
  const auto lane = held.lane;
  lane->module().request(at, request);
}

void Gateway::left(RequestId id) {
  std::erase_if(parked_, [&](const Parked& request) { return request.id == id; });
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  const auto lane = found->second.lane;
  release(found, true);
  lane->module().clientLeft(now(), id);
  if (auto end = pool_.giveUp(id, Result::cancelled)) ended(std::move(*end));
}

// The time is up: an attempt that is out has timed out, and the answer goes out now.
void Gateway::expire(RequestId id) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  const auto lane = found->second.lane;
  if (auto end = pool_.giveUp(id, Result::timeout)) {
    found->second.mayHaveRun = found->second.mayHaveRun || ranOf(end->outcome.result);
    out_.erase(id);
    end->outcome.finished = false;
    lane->module().outcome(std::max(now(), found->second.expires), end->outcome);
  }
  if (held_.contains(id)) giveUp(id, kRetryAfter);
  lane->module().clientLeft(now(), id);
}

void Gateway::giveUpAll() {
  for (const Parked& request : std::exchange(parked_, {})) refuseQuota(request, kRetryAfter);
  while (!held_.empty()) {
    const RequestId id = held_.begin()->first;
    const auto lane = held_.begin()->second.lane;
    if (auto end = pool_.giveUp(id, Result::cancelled)) {
      held_.at(id).mayHaveRun = held_.at(id).mayHaveRun || ranOf(end->outcome.result);
      out_.erase(id);
      end->outcome.finished = true;
      lane->module().outcome(now(), end->outcome);
    }
    if (held_.contains(id)) giveUp(id, kRetryAfter);
    lane->module().clientLeft(now(), id);
  }
}

// --- From the servers
// ----------------------------------------------------------------------------------------------

void Gateway::ended(AttemptEnd&& end) {
  Outcome& outcome = end.outcome;
  const RequestId id = outcome.id;
  const auto out = out_.find(id);
  if (out == out_.end()) return;
  const auto lane = std::move(out->second);
  out_.erase(out);
  const auto found = held_.find(id);
  outcome.finished = found == held_.end() || outcome.result == Result::ok;
  if (found != held_.end()) {
    Held& held = found->second;
    held.mayHaveRun = held.mayHaveRun || ranOf(outcome.result);
    const bool arrived = outcome.result != Result::connectFailed && outcome.result != Result::moot;
    if (arrived) ++held.sent;
    settle(held, arrived);
    if (held.streams) {
      outcome.finished = true;
      endStream(id, outcome.result == Result::ok);
    } else if (end.head && mayGoOn(held, end.head->status)) {
      Answer served;
      served.status = end.head->status;
      served.fields = std::move(end.head->fields);
      served.body = std::move(end.body);
      if (outcome.result == Result::ok)
        answer(id, std::move(served));
      else
        held.lastAnswer = std::move(served);
    } else if (outcome.result == Result::ok) {
      giveUp(id, kRetryAfter);
    }
    if (!outcome.finished && held_.contains(id) && held.sent >= held.route->maxAttempts) {
      outcome.finished = true;
      giveUp(id, kRetryAfter);
    }
    if (!outcome.finished && held_.contains(id) && !pays(held)) return awaitBudget(outcome, lane, 1);
  }
  lane->module().outcome(now(), outcome);
}

// Whether a server's answer, to a request that it may have run, can be told to the client as it is.
bool Gateway::mayGoOn(const Held& held, http::status status) {
  return held.route->type != RouteType::nonIdempotent || !isPromise(status);
}

// Whether a further try may go out, as far as the budget is concerned. One that follows tries of which none
// has arrived is the first, and so is none at all where the module must not repeat.
bool Gateway::pays(Held& held) {
  if (held.sent == 0 || held.further == Held::Further::paid) return true;
  if (held.mayHaveRun && held.route->type == RouteType::nonIdempotent) return true;
  const bool paid = retries_.ask(now(), *held.service, 0).admitted;
  hurry();
  if (paid) held.further = Held::Further::paid;
  return paid;
}

// A further try that has not arrived gives back what it was paid.
void Gateway::settle(Held& held, bool arrived) {
  if (held.further != Held::Further::out) return;
  retries_.ended(now(), *held.service, arrived);
  held.further = Held::Further::none;
}

// This gatekeeper's part of the budget is used up, and it has asked for more: the answer is some ms away. If
// there is none the request is given up.
void Gateway::awaitBudget(Outcome outcome, std::shared_ptr<Lane> lane, unsigned looks) {
  auto timer = std::make_unique<boost::asio::steady_timer>(io_, kBudgetLook);
  auto& pending = *timer;
  pending.async_wait([this, timer = std::move(timer), outcome, lane = std::move(lane),
                      looks](const burlwind::Error& error) mutable {
    if (error) return;
    const auto found = held_.find(outcome.id);
    if (found != held_.end() && !pays(found->second)) {
      if (looks < kBudgetLooks) return awaitBudget(outcome, std::move(lane), looks + 1);
      outcome.finished = true;
      giveUp(outcome.id, kRetryAfter);
    }
    outcome.finished = outcome.finished || found == held_.end();
    lane->module().outcome(now(), outcome);
  });
}

bool Gateway::begun(RequestId id, const burlwind::AnswerHead& head) {
  const auto found = held_.find(id);
  if (found != held_.end() && !mayGoOn(found->second, head.status)) return false;
  return burlwind::beginStream(held_, id, head);
}

void Gateway::piece(RequestId id, std::string&& bytes) { burlwind::passPiece(held_, id, std::move(bytes)); }

void Gateway::endStream(RequestId id, bool whole) {
  const auto found = held_.find(id);
  const auto asker = std::move(found->second.asker);
  release(found, true);
  whole ? asker->finish() : asker->breakOff();
}

// --- What a lane asks for
// ------------------------------------------------------------------------------------------

// Once for all attempts. What concerns only the client's connection stays behind, and so does the key.
void Gateway::prepare(Held& held) {
  ClientMessage& message = held.message;
  held.attempt = view(message["X-Attempt-Id"]);
  http::request<http::empty_body> out(message.method(), message.target(), 11);
  if (message.method() == http::verb::unknown) out.method_string(message.method_string());
  for (const auto& field : message) {
    const auto name = field.name_string();
    const bool own = ofConnection(message, name) || burlwind::beast::iequals(name, "X-Api-Key") ||
                     burlwind::beast::iequals(name, "X-Tenant-Name") ||
                     burlwind::beast::iequals(name, "X-Expected-Instance") ||
                     burlwind::beast::iequals(name, "X-Deadline-Remaining-Ms");
    if (!own) out.insert(name, field.value());
  }
  if (!held.tenant.empty()) out.set("X-Tenant-Name", held.tenant);
  const bool bodiless = message.method() == http::verb::get && message.body().empty();
  if (!bodiless) out.set(http::field::content_length, std::to_string(message.body().size()));
  held.body = std::make_shared<const std::string>(std::move(message.body()));
  burlwind::append(held.head, out);
  held.head.resize(held.head.size() - 2);  // goes on with the attempt's own fields
  message = {};
}

void Gateway::send(Lane& lane, RequestId id, WorkerId server, Time timeout) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  Held& held = found->second;
  out_[id] = lane.shared_from_this();
  const unsigned attempt = held.attempts++;
  if (held.route->type != RouteType::download) return start(id, attempt, server, timeout);
  // Its answer comes at full speed from its begin on, so it begins when those before it are through.
  inwards_.enter([this, id, attempt, server, timeout] { start(id, attempt, server, timeout); });
}

void Gateway::start(RequestId id, unsigned attempt, WorkerId server, Time timeout) {
  const auto found = held_.find(id);
  const Time left = found == held_.end() ? 0 : found->second.expires - now();
  if (left <= 0)
    return burlwind::reportMoot(io_, id, attempt, server,
                                [this](AttemptEnd&& end) { ended(std::move(end)); });
  Held& held = found->second;
  if (held.further == Held::Further::paid) held.further = Held::Further::out;
  const bool early = timeout > 0 && timeout < left;
  if (!held.body) prepare(held);
  burlwind::Message message{held.head,
                            held.body,
                            static_cast<unsigned>(held.route->type),
                            held.attempt,
                            std::chrono::steady_clock::now() + span(left),
                            "X-Deadline-Remaining-Ms",
                            held.route->type != RouteType::nonIdempotent};
  message.head += "X-Expected-Instance: " + names_[server] + "\r\n";
  pool_.start(id, attempt, server, std::move(message), early ? std::optional(span(timeout)) : std::nullopt);
}

void Gateway::refuse(RequestId id, Time retryAfter) { giveUp(id, retryAfter); }
void Gateway::fail(RequestId id) { giveUp(id, kRetryAfter); }

void Gateway::setTimer(Lane& lane, Time wait, std::uint64_t tag) {
  auto timer = std::make_unique<boost::asio::steady_timer>(io_, span(wait));
  auto& pending = *timer;
  pending.async_wait(
      [this, timer = std::move(timer), lane = lane.shared_from_this(), tag](const burlwind::Error& error) {
        if (!error) lane->module().timer(now(), tag);
      });
}

// --- The final answer
// ------------------------------------------------------------------------------------------------

// 503 promises that the request has not run and never will; where that is not known, nothing is promised.
void Gateway::giveUp(RequestId id, Time retryAfter) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  Held& held = found->second;
  if (held.lastAnswer) return answer(id, std::move(*held.lastAnswer));
  if (held.mayHaveRun) {
    const bool late = now() >= held.expires;
    return answer(id, late ? text(http::status::gateway_timeout, "no answer in time")
                           : text(http::status::bad_gateway, "no whole answer"));
  }
  ++counts_.noServer;
  Answer out = text(http::status::service_unavailable, "no server could take it");
  out.retryAfter = retryAfter;
  answer(id, std::move(out));
}

void Gateway::answer(RequestId id, Answer answer) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  if (found->second.streams) return endStream(id, false);  // too late for another
  const auto asker = std::move(found->second.asker);
  const bool ran = found->second.mayHaveRun;
  release(found, ran);
  asker->answer(std::move(answer));
}

void Gateway::release(HeldMap::iterator held, bool ran) {
  if (held->second.further == Held::Further::paid) retries_.ended(now(), *held->second.service, false);
  settle(held->second, true);
  if (!held->second.tenant.empty()) admission_.ended(now(), held->second.tenant, ran);
  held_.erase(held);
}

}  // namespace lilacmux
