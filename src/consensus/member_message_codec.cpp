#include "consensus/member_message_codec.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>

#include "net/frame_kind.hpp"

namespace lilacmux {
namespace {

using nlohmann::json;

// Indexed by MemberMessage::Kind. Fixed, since different versions run side by side during a roll-out.
constexpr const char* kKindNames[] = {"hello", "beat", "beat-ack", "probe",  "would-vote",
                                      "ask",   "vote", "sync",     "synced", "resign"};

// Versions that do not know `undecided` read the second field as the epoch whose state a new primary needs.
json encodeRecord(const EpochRecord& record) {
  json out = json::array({record.epoch, record.conservativePrevious(), record.primary, record.backups,
                          record.members, record.oldMembers});
  if (!record.undecided.empty()) out.insert(out.end(), {record.previous, record.undecided});
  return out;
}

EpochRecord decodeRecord(const json& in) {
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

std::string encodeBase64(const std::string& bytes) {
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');  // OpenSSL appends a terminating zero
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(length));
  return out;
}

std::string decodeBase64(const std::string& text) {
  std::string out(text.size() / 4 * 3, '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
  const auto padding = std::min<std::size_t>(2, text.size() - (text.find_last_not_of('=') + 1));
  if (length < 0 || static_cast<std::size_t>(length) != out.size() || out.size() < padding)
    throw std::invalid_argument("malformed base64 of " + std::to_string(text.size()) + " characters");
  out.resize(out.size() - padding);
  return out;
}

// `taken` is the field that older builds read instead of `accepted`; it is empty, so that they can decode the
// other fields.
void encodeState(const ReplicatedState& state, Frame& out) {
  out.head["state"] = {{"sequence", state.sequence},
                       {"revision", state.revision},
                       {"accepted", encodeBase64(state.accepted.packedEntries())},
                       {"forgottenRevision", state.accepted.compactedRevision()},
                       {"taken", json::array()},
                       {"holders", state.grantHolders}};
  if (state.ownership) out.head["state"]["ownership"] = *state.ownership;
  if (state.body) out.body = *state.body;
}

AcceptedChanges decodeAcceptedChanges(const json& in, std::uint64_t revision, const std::string& body) {
  if (!in.contains("accepted")) return AcceptedChanges::onlyCurrent(revision, body);
  return AcceptedChanges::unpack(in.at("forgottenRevision").get<std::uint64_t>(),
                                 decodeBase64(in.at("accepted").get<std::string>()));
}

ReplicatedState decodeState(const json& in, std::string&& body) {
  ReplicatedState out;
  in.at("sequence").get_to(out.sequence);
  in.at("revision").get_to(out.revision);
  in.at("holders").get_to(out.grantHolders);
  if (in.contains("ownership"))
    out.ownership = std::make_shared<const std::string>(in.at("ownership").get<std::string>());
  out.accepted = decodeAcceptedChanges(in, out.revision, body);
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

Frame toFrame(const MemberMessage& message) {
  Frame out;
  out.head = {{kKind, kKindNames[static_cast<std::size_t>(message.kind)]},
              {"from", message.from},
              {"epoch", message.epoch},
              {"yes", message.granted},
              {"record", encodeRecord(message.record)},
              {"data", message.dataEpoch},
              {"forgotten", message.lostEpoch},
              {"settled", message.establishedEpoch},
              {"seq", message.sequence},
              {"at", message.sentAt}};
  if (message.lastAnnouncementSentAt) out.head["seen"] = *message.lastAnnouncementSentAt;
  if (message.state) encodeState(*message.state, out);
  return out;
}

std::optional<MemberMessage> decodeMemberMessage(Frame&& frame) {
  const std::string kind = kindOf(frame);
  const auto name = std::find(std::begin(kKindNames), std::end(kKindNames), kind);
  if (name == std::end(kKindNames)) return std::nullopt;
  return whole<MemberMessage>([&] {
    MemberMessage out;
    out.kind = static_cast<MemberMessage::Kind>(name - std::begin(kKindNames));
    const json& in = frame.head;
    in.at("from").get_to(out.from);
    in.at("epoch").get_to(out.epoch);
    in.at("yes").get_to(out.granted);
    out.record = decodeRecord(in.at("record"));
    in.at("data").get_to(out.dataEpoch);
    in.at("forgotten").get_to(out.lostEpoch);
    out.establishedEpoch = in.value("settled", std::uint64_t{0});  // not sent by the first versions
    in.at("seq").get_to(out.sequence);
    in.at("at").get_to(out.sentAt);
    if (in.contains("seen")) out.lastAnnouncementSentAt = in.at("seen").get<Millis>();
    if (in.contains("state")) out.state = decodeState(in.at("state"), std::move(frame.body));
    return out;
  });
}

}  // namespace lilacmux
