#include "control/wire.hpp"

namespace lilacmux {
namespace {

using nlohmann::json;

constexpr const char* kKind = "t";
constexpr const char* kNames[] = {"hello", "beat", "beat-ack", "probe",  "would-vote",
                                  "ask",   "vote", "sync",     "synced", "resign"};

json recordOf(const Record& r) {
  return json::array({r.epoch, r.previous, r.primary, r.backup, r.members, r.leaving});
}

Record recordFrom(const json& in) {
  Record out;
  in.at(0).get_to(out.epoch);
  in.at(1).get_to(out.previous);
  in.at(2).get_to(out.primary);
  in.at(3).get_to(out.backup);
  in.at(4).get_to(out.members);
  in.at(5).get_to(out.leaving);
  return out;
}

std::string kindOf(const Frame& frame) {
  const auto found = frame.head.find(kKind);
  return found != frame.head.end() && found->is_string() ? found->get<std::string>() : std::string();
}

void addState(const State& state, Frame& out) {
  out.head["state"] = {{"sequence", state.sequence},
                       {"revision", state.revision},
                       {"taken", state.fingerprint},
                       {"holders", state.holders}};
  if (state.body) out.body = *state.body;
}

State stateFrom(const json& in, std::string&& body) {
  State out;
  in.at("sequence").get_to(out.sequence);
  in.at("revision").get_to(out.revision);
  in.at("holders").get_to(out.holders);
  in.at("taken").get_to(out.fingerprint);
  if (out.revision > 0) out.body = std::make_shared<const std::string>(std::move(body));
  return out;
}

json demandsOf(const std::vector<ShareLedger::Demand>& demands) {
  json out = json::array();
  for (const auto& d : demands) out.push_back({d.tenant, d.perS, d.stock, d.rate, d.grant});
  return out;
}

std::vector<ShareLedger::Demand> demandsFrom(const json& in) {
  std::vector<ShareLedger::Demand> out;
  for (const json& d : in)
    out.push_back({d.at(0).get<std::string>(), d.at(1).get<double>(), d.at(2).get<double>(),
                   d.at(3).get<double>(), d.at(4).get<std::uint64_t>()});
  return out;
}

json grantsOf(const std::vector<ShareLedger::Grant>& grants) {
  json out = json::array();
  for (const auto& g : grants) out.push_back({g.tenant, g.tokens, g.rate});
  return out;
}

std::vector<ShareLedger::Grant> grantsFrom(const json& in) {
  std::vector<ShareLedger::Grant> out;
  for (const json& g : in)
    out.push_back({g.at(0).get<std::string>(), g.at(1).get<double>(), g.at(2).get<double>()});
  return out;
}

// What is read within is wrong as a whole if any of it is.
template <class T, class Read>
std::optional<T> whole(Read read) {
  try {
    return read();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

Frame toFrame(const Message& m) {
  Frame out;
  out.head = {{kKind, kNames[static_cast<std::size_t>(m.kind)]},
              {"from", m.from},
              {"epoch", m.epoch},
              {"yes", m.yes},
              {"record", recordOf(m.record)},
              {"data", m.dataEpoch},
              {"forgotten", m.forgotten},
              {"seq", m.sequence},
              {"at", m.sentAt}};
  if (m.state) addState(*m.state, out);
  return out;
}

std::optional<Message> messageOf(Frame&& frame) {
  const std::string kind = kindOf(frame);
  const auto name = std::find(std::begin(kNames), std::end(kNames), kind);
  if (name == std::end(kNames)) return std::nullopt;
  return whole<Message>([&] {
    Message out;
    out.kind = static_cast<Message::Kind>(name - std::begin(kNames));
    const json& in = frame.head;
    in.at("from").get_to(out.from);
    in.at("epoch").get_to(out.epoch);
    in.at("yes").get_to(out.yes);
    out.record = recordFrom(in.at("record"));
    in.at("data").get_to(out.dataEpoch);
    in.at("forgotten").get_to(out.forgotten);
    in.at("seq").get_to(out.sequence);
    in.at("at").get_to(out.sentAt);
    if (in.contains("state")) out.state = stateFrom(in.at("state"), std::move(frame.body));
    return out;
  });
}

Frame toFrame(const FollowCall& call) {
  Frame out;
  out.head = {{kKind, "follow"},     {"name", call.name},         {"epoch", call.epoch},
              {"place", call.place}, {"revision", call.revision}, {"demands", demandsOf(call.demands)}};
  if (!call.requests.empty()) {
    out.head["requests"] = call.requests;
    out.head["retries"] = demandsOf(call.retries);
  }
  return out;
}

std::optional<FollowCall> followCallOf(const Frame& frame) {
  if (kindOf(frame) != "follow") return std::nullopt;
  return whole<FollowCall>([&] {
    FollowCall out;
    const json& in = frame.head;
    in.at("name").get_to(out.name);
    in.at("epoch").get_to(out.epoch);
    in.at("place").get_to(out.place);
    in.at("revision").get_to(out.revision);
    out.demands = demandsFrom(in.at("demands"));
    if (in.contains("requests")) {
      in.at("requests").get_to(out.requests);
      out.retries = demandsFrom(in.at("retries"));
    }
    return out;
  });
}

Frame toFrame(const FollowAnswer& a) {
  Frame out;
  if (!a.leader.empty() || a.epoch == 0) {
    out.head = {{kKind, "elsewhere"}, {"leader", a.leader}, {"core", a.core}};
    return out;
  }
  out.head = {
      {kKind, "news"},          {"epoch", a.epoch}, {"place", a.news.place}, {"revision", a.news.revision},
      {"fleet", a.gatekeepers}, {"grant", a.grant}, {"core", a.core}};
  if (a.news.servers) {
    out.head["snapshot"] = a.news.snapshot;
    out.head["set"] = a.news.set;
    out.head["gone"] = a.news.gone;
  }
  if (!a.grants.empty()) out.head["grants"] = grantsOf(a.grants);
  if (!a.retries.empty()) {
    out.head["retries"] = grantsOf(a.retries);
    out.head["retryGrant"] = a.retryGrant;
  }
  if (a.news.configuration) {
    out.head["configuration"] = true;
    out.body = *a.news.configuration;
  }
  return out;
}

std::optional<FollowAnswer> followAnswerOf(Frame&& frame) {
  const std::string kind = kindOf(frame);
  if (kind != "news" && kind != "elsewhere") return std::nullopt;
  return whole<FollowAnswer>([&] {
    FollowAnswer out;
    const json& in = frame.head;
    in.at("core").get_to(out.core);
    if (kind == "elsewhere") {
      in.at("leader").get_to(out.leader);
      return out;
    }
    in.at("epoch").get_to(out.epoch);
    in.at("place").get_to(out.news.place);
    in.at("revision").get_to(out.news.revision);
    in.at("fleet").get_to(out.gatekeepers);
    in.at("grant").get_to(out.grant);
    if (in.contains("set")) {
      out.news.servers = true;
      in.at("snapshot").get_to(out.news.snapshot);
      in.at("set").get_to(out.news.set);
      in.at("gone").get_to(out.news.gone);
    }
    if (in.contains("grants")) out.grants = grantsFrom(in.at("grants"));
    if (in.contains("retries")) {
      out.retries = grantsFrom(in.at("retries"));
      in.at("retryGrant").get_to(out.retryGrant);
    }
    if (in.contains("configuration"))
      out.news.configuration = std::make_shared<const std::string>(std::move(frame.body));
    return out;
  });
}

}  // namespace lilacmux
