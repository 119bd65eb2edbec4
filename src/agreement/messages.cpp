#include "agreement/messages.hpp"

#include <algorithm>
#include <iterator>

#include "net/frame_kind.hpp"

namespace lilacmux {
namespace {

using nlohmann::json;

// By Message::Kind. Versions that run beside each other during a roll-out share these.
constexpr const char* kNames[] = {"hello", "beat", "beat-ack", "probe",  "would-vote",
                                  "ask",   "vote", "sync",     "synced", "resign"};

// Versions that know nothing of `uncertain` take the second field for the state that is needed.
json recordOf(const Record& r) {
  json out = json::array({r.epoch, r.strictPrevious(), r.primary, r.backups, r.members, r.leaving});
  if (!r.uncertain.empty()) out.insert(out.end(), {r.previous, r.uncertain});
  return out;
}

Record recordFrom(const json& in) {
  Record out;
  in.at(0).get_to(out.epoch);
  in.at(1).get_to(out.previous);
  in.at(2).get_to(out.primary);
  in.at(3).get_to(out.backups);
  in.at(4).get_to(out.members);
  in.at(5).get_to(out.leaving);
  if (in.size() <= 6) return out;
  in.at(6).get_to(out.previous);
  in.at(7).get_to(out.uncertain);
  return out;
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

}  // namespace

void to_json(json& out, const Generation& generation) {
  out = json::array({generation.epoch, generation.primary, generation.backups});
}

void from_json(const json& in, Generation& generation) {
  in.at(0).get_to(generation.epoch);
  in.at(1).get_to(generation.primary);
  in.at(2).get_to(generation.backups);
}

Frame toFrame(const Message& m) {
  Frame out;
  out.head = {{kKind, kNames[static_cast<std::size_t>(m.kind)]},
              {"from", m.from},
              {"epoch", m.epoch},
              {"yes", m.granted},
              {"record", recordOf(m.record)},
              {"data", m.dataEpoch},
              {"forgotten", m.forgotten},
              {"settled", m.settledEpoch},
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
    in.at("yes").get_to(out.granted);
    out.record = recordFrom(in.at("record"));
    in.at("data").get_to(out.dataEpoch);
    in.at("forgotten").get_to(out.forgotten);
    out.settledEpoch = in.value("settled", std::uint64_t{0});  // not told by the first versions
    in.at("seq").get_to(out.sequence);
    in.at("at").get_to(out.sentAt);
    if (in.contains("state")) out.state = stateFrom(in.at("state"), std::move(frame.body));
    return out;
  });
}

}  // namespace lilacmux
