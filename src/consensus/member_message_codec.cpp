#include "consensus/member_message_codec.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>

#include "net/frame_kind.hpp"

namespace lilacmux {
namespace {

using nlohmann::json;

// By Message::Kind. Versions that run beside each other during a roll-out share these.
constexpr const char* kNames[] = {"hello", "beat", "beat-ack", "probe",  "would-vote",
                                  "ask",   "vote", "sync",     "synced", "resign"};

// Versions that know nothing of `undecided` take the second field for the state that is needed.
json recordOf(const EpochRecord& r) {
  json out = json::array({r.epoch, r.conservativePrevious(), r.primary, r.backups, r.members, r.oldMembers});
  if (!r.undecided.empty()) out.insert(out.end(), {r.previous, r.undecided});
  return out;
}

EpochRecord recordFrom(const json& in) {
  EpochRecord out;
  in.at(0).get_to(out.epoch);
  in.at(1).get_to(out.previous);
  in.at(2).get_to(out.primary);
  in.at(3).get_to(out.backups);
  in.at(4).get_to(out.members);
  in.at(5).get_to(out.oldMembers);
  if (in.size() <= 6) return out;
  in.at(6).get_to(out.previous);
  in.at(7).get_to(out.undecided);
  return out;
}

std::string base64Of(const std::string& bytes) {
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');  // the library adds a zero
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(length));
  return out;
}

std::string fromBase64(const std::string& text) {
  std::string out(text.size() / 4 * 3, '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
  const auto padding = std::min<std::size_t>(2, text.size() - (text.find_last_not_of('=') + 1));
  if (length < 0 || static_cast<std::size_t>(length) != out.size() || out.size() < padding)
    throw std::invalid_argument("not in base64");
  out.resize(out.size() - padding);
  return out;
}

// `taken` is what builds before this one know instead of `accepted`; empty, so that they can read the rest.
void addState(const ReplicatedState& state, Frame& out) {
  out.head["state"] = {{"sequence", state.sequence},
                       {"revision", state.revision},
                       {"accepted", base64Of(state.accepted.packedEntries())},
                       {"forgottenRevision", state.accepted.compactedRevision()},
                       {"taken", json::array()},
                       {"holders", state.grantHolders}};
  if (state.body) out.body = *state.body;
}

AcceptedChanges acceptedFrom(const json& in, std::uint64_t revision, const std::string& body) {
  if (!in.contains("accepted")) return AcceptedChanges::onlyCurrent(revision, body);
  return AcceptedChanges::unpack(in.at("forgottenRevision").get<std::uint64_t>(),
                                 fromBase64(in.at("accepted").get<std::string>()));
}

ReplicatedState stateFrom(const json& in, std::string&& body) {
  ReplicatedState out;
  in.at("sequence").get_to(out.sequence);
  in.at("revision").get_to(out.revision);
  in.at("holders").get_to(out.grantHolders);
  out.accepted = acceptedFrom(in, out.revision, body);
  if (out.revision > 0) out.body = std::make_shared<const std::string>(std::move(body));
  return out;
}

}  // namespace

void to_json(json& out, const ReplicaSet& replicaSet) {
  out = json::array({replicaSet.epoch, replicaSet.primary, replicaSet.backups});
}

void from_json(const json& in, ReplicaSet& replicaSet) {
  in.at(0).get_to(replicaSet.epoch);
  in.at(1).get_to(replicaSet.primary);
  in.at(2).get_to(replicaSet.backups);
}

Frame toFrame(const MemberMessage& m) {
  Frame out;
  out.head = {{kKind, kNames[static_cast<std::size_t>(m.kind)]},
              {"from", m.from},
              {"epoch", m.epoch},
              {"yes", m.granted},
              {"record", recordOf(m.record)},
              {"data", m.dataEpoch},
              {"forgotten", m.lostEpoch},
              {"settled", m.establishedEpoch},
              {"seq", m.sequence},
              {"at", m.sentAt}};
  if (m.lastAnnouncementSentAt) out.head["seen"] = *m.lastAnnouncementSentAt;
  if (m.state) addState(*m.state, out);
  return out;
}

std::optional<MemberMessage> decodeMemberMessage(Frame&& frame) {
  const std::string kind = kindOf(frame);
  const auto name = std::find(std::begin(kNames), std::end(kNames), kind);
  if (name == std::end(kNames)) return std::nullopt;
  return whole<MemberMessage>([&] {
    MemberMessage out;
    out.kind = static_cast<MemberMessage::Kind>(name - std::begin(kNames));
    const json& in = frame.head;
    in.at("from").get_to(out.from);
    in.at("epoch").get_to(out.epoch);
    in.at("yes").get_to(out.granted);
    out.record = recordFrom(in.at("record"));
    in.at("data").get_to(out.dataEpoch);
    in.at("forgotten").get_to(out.lostEpoch);
    out.establishedEpoch = in.value("settled", std::uint64_t{0});  // not told by the first versions
    in.at("seq").get_to(out.sequence);
    in.at("at").get_to(out.sentAt);
    if (in.contains("seen")) out.lastAnnouncementSentAt = in.at("seen").get<Millis>();
    if (in.contains("state")) out.state = stateFrom(in.at("state"), std::move(frame.body));
    return out;
  });
}

}  // namespace lilacmux
