// Values of the types that are written to the wire and to disk, each field with a value of its own so that
// two that were exchanged are seen. All names of the program's types that the golden tests of frames and of
// the store need are in this file.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "consensus/member_message_codec.hpp"
#include "consensus/state_store.hpp"
#include "discovery/peer_announcement.hpp"
#include "fleet/follow_codec.hpp"

namespace lilacmux::test {

template <class T>
using Named = std::vector<std::pair<std::string, T>>;

constexpr std::uint64_t kRound = 1ULL << 20;  // the step between two rounds of epochs

inline std::string allBytes() {
  std::string out;
  for (int byte = 0; byte < 256; ++byte) out += static_cast<char>(byte);
  return out;
}

inline std::shared_ptr<const std::string> bodyOf(std::string bytes) {
  return std::make_shared<const std::string>(std::move(bytes));
}

// --- What the core agrees on

inline EpochRecord plainRecord() {
  EpochRecord out;
  out.epoch = 3 * kRound + 2;
  out.previous = 2 * kRound + 1;
  out.primary = "127.0.0.1:7001";
  out.backups = {"127.0.0.2:7002"};
  out.members = {"127.0.0.1:7001", "127.0.0.2:7002", "127.0.0.3:7003"};
  return out;
}

inline EpochRecord fullRecord() {
  EpochRecord out = plainRecord();
  out.backups = {"127.0.0.2:7002", "127.0.0.3:7003"};
  out.oldMembers = {"127.0.0.4:7004", "127.0.0.5:7005"};
  out.undecided = {{3 * kRound + 1, "127.0.0.6:7006", {"127.0.0.1:7001"}},
                   {3 * kRound, "127.0.0.7:7007", {"127.0.0.1:7001", "127.0.0.2:7002"}}};
  return out;
}

inline ReplicatedState fullState() {
  ReplicatedState out;
  out.sequence = 41;
  out.revision = 12;
  out.body = bodyOf(allBytes());
  out.accepted = AcceptedChanges(7, {{9, sha256("nine")}, {11, sha256("eleven")}, {12, sha256(allBytes())}});
  out.grantHolders = {"relay-a", "relay-b"};
  return out;
}

// Before there was any configuration.
inline ReplicatedState emptyState() {
  ReplicatedState out;
  out.sequence = 5;
  out.grantHolders = {"relay-c"};
  return out;
}

inline DurableState fullDurable() {
  DurableState out;
  out.votedEpoch = 5 * kRound + 4;
  out.votedFor = "127.0.0.8:7008";
  out.record = fullRecord();
  out.dataEpoch = 2 * kRound + 3;
  out.lostEpoch = kRound + 6;
  out.establishedEpoch = kRound + 7;
  out.state = fullState();
  return out;
}

inline DurableState emptyDurable() {
  DurableState out;
  out.votedEpoch = kRound;
  out.record = plainRecord();
  out.state = emptyState();
  return out;
}

// The same value, field by field.
inline bool same(const ReplicatedState& a, const ReplicatedState& b) {
  const bool bodies = a.body && b.body ? *a.body == *b.body : !a.body == !b.body;
  return bodies && a.sequence == b.sequence && a.revision == b.revision && a.accepted == b.accepted &&
         a.grantHolders == b.grantHolders;
}

inline bool same(const EpochRecord& a, const EpochRecord& b) {
  return a.epoch == b.epoch && a.previous == b.previous && a.primary == b.primary && a.backups == b.backups &&
         a.members == b.members && a.oldMembers == b.oldMembers && a.undecided == b.undecided;
}

inline bool same(const DurableState& a, const DurableState& b) {
  return a.votedEpoch == b.votedEpoch && a.votedFor == b.votedFor && same(a.record, b.record) &&
         a.dataEpoch == b.dataEpoch && a.lostEpoch == b.lostEpoch &&
         a.establishedEpoch == b.establishedEpoch && same(a.state, b.state);
}

// --- Messages between members of the core

inline Named<MemberMessage::Kind> memberKinds() {
  using Kind = MemberMessage::Kind;
  return {{"announce", Kind::announce},          {"heartbeat", Kind::heartbeat},
          {"heartbeat-ack", Kind::heartbeatAck}, {"prevote-request", Kind::prevoteRequest},
          {"prevote", Kind::prevoteResponse},    {"vote-request", Kind::voteRequest},
          {"vote", Kind::voteResponse},          {"replicate", Kind::replicate},
          {"replicate-ack", Kind::replicateAck}, {"resign", Kind::resign}};
}

// Without any optional field.
inline MemberMessage plainMessage(MemberMessage::Kind kind) {
  MemberMessage out;
  out.kind = kind;
  out.from = "127.0.0.2:7002";
  out.epoch = 3 * kRound + 2;
  out.record = plainRecord();
  out.dataEpoch = 2 * kRound + 3;
  out.lostEpoch = kRound + 6;
  out.establishedEpoch = kRound + 7;
  out.sequence = 41;
  out.sentAt = 123456.789;
  return out;
}

inline MemberMessage fullMessage(MemberMessage::Kind kind) {
  MemberMessage out = plainMessage(kind);
  out.granted = true;
  out.record = fullRecord();
  out.lastAnnouncementSentAt = -1.5;
  out.state = fullState();
  return out;
}

inline Named<MemberMessage> memberMessages() {
  Named<MemberMessage> out;
  for (const auto& [name, kind] : memberKinds()) {
    out.emplace_back(name, plainMessage(kind));
    out.emplace_back(name + "-full", fullMessage(kind));
  }
  MemberMessage beforeAnyConfiguration = plainMessage(MemberMessage::Kind::replicate);
  beforeAnyConfiguration.state = emptyState();
  out.emplace_back("replicate-empty-state", beforeAnyConfiguration);
  out.emplace_back("of-a-new-node", MemberMessage{});
  return out;
}

// --- Calls of followers, and their answers

inline ShareDemand fullDemand(const std::string& tenant) {
  ShareDemand out;
  out.tenant = tenant;
  out.requestRate = 1.25;
  out.reserve = 2.0001;  // rounded up to a whole thousandth
  out.grantedRate = 3.5;
  out.grantNumber = 17;
  out.waitingRequests = 4;
  out.requestedTokens = 5.75;
  out.returnedTokens = 0.1259;  // rounded down
  return out;
}

inline ShareDemand plainDemand(const std::string& tenant) {
  ShareDemand out = fullDemand(tenant);
  out.returnedTokens = 0;
  return out;
}

inline ShareGrant grantOf(const std::string& tenant, bool more) {
  ShareGrant out;
  out.tenant = tenant;
  out.tokens = -1.2344;
  out.rate = 6.5;
  out.moreExpected = more;
  return out;
}

inline FollowRequest plainCall() {
  FollowRequest out;
  out.name = "gateway-a";
  out.zone = "zone-a";
  return out;
}

inline FollowRequest gatewayCall() {
  FollowRequest out;
  out.name = "gateway-a#3";
  out.zone = "zone-a";
  out.position.epoch = 3 * kRound + 2;
  out.position.index = 19;
  out.revision = 12;
  out.acceptsPacked = true;
  out.full = true;
  out.detaching = true;
  out.demands = {plainDemand("tenant-a"), fullDemand("tenant-b")};
  out.requestRates = {{"service-a", 7.5}, {"service-b", 0.0004}};
  out.retryDemands = {fullDemand("service-a"), plainDemand("service-b")};
  out.relayListHash = 23;
  return out;
}

inline FollowRequest relayCall() {
  FollowRequest out = gatewayCall();
  out.relay.emplace();
  out.relay->address = "127.0.0.4:7004";
  out.relay->gatewayCount = 15;
  out.relay->priorGrantsReported = true;
  return out;
}

inline Named<FollowRequest> followRequests() {
  return {{"plain", plainCall()}, {"gateway", gatewayCall()}, {"relay", relayCall()}};
}

inline CoreView coreView() {
  CoreView out;
  out.epoch = 3 * kRound + 2;
  out.members = {"127.0.0.1:7001", "127.0.0.2:7002", "127.0.0.3:7003"};
  return out;
}

inline std::vector<Instance> servers() {
  Instance ready;
  ready.id = "server-a";
  ready.service = "service-a";
  ready.address = "127.0.0.1:8001";
  ready.zone = "zone-a";
  ready.capacity = 8;
  ready.warmupMs = 1500.25;
  Instance draining;
  draining.id = "server-b";
  draining.service = "service-b";
  draining.address = "127.0.0.2:8002";
  draining.zone = "zone-b";
  draining.capacity = 16;
  draining.draining = true;
  return {ready, draining};
}

inline FollowResponse plainAnswer() {
  FollowResponse out;
  out.epoch = 3 * kRound + 2;
  out.delta.hasServerList = true;
  out.delta.index = 1;
  return out;
}

// All that is in every answer, and what relays, the ledgers and the core add.
inline FollowResponse fullAnswer() {
  FollowResponse out;
  out.epoch = 3 * kRound + 2;
  out.ageMs = 250.5;
  out.listAgeMs = 12.25;
  out.delta.hasServerList = true;
  out.delta.index = 20;
  out.delta.revision = 13;
  out.gatewayCount = 99;
  out.quotaGrants.number = 18;
  out.quotaGrants.grants = {grantOf("tenant-a", false), grantOf("tenant-b", true)};
  out.retryGrants.number = 21;
  out.retryGrants.grants = {grantOf("service-a", true), grantOf("service-b", false)};
  out.core = coreView();
  out.relayListHash = 24;
  out.relays = {{"127.0.0.4:7004", "zone-a"}, {"127.0.0.5:7005", "zone-b"}};
  return out;
}

inline FollowResponse changesAnswer() {
  FollowResponse out = fullAnswer();
  out.delta.servers.emplace();
  out.delta.servers->updated = servers();
  out.delta.servers->removed = {"server-c", "server-d"};
  out.delta.configuration = bodyOf(allBytes());
  return out;
}

inline FollowResponse snapshotAnswer() {
  FollowResponse out = fullAnswer();
  out.delta.servers.emplace();
  out.delta.servers->isSnapshot = true;
  out.delta.servers->updated = servers();
  return out;
}

// The configuration against an earlier one; the bytes stand for what zstd makes.
inline FollowResponse packedConfigurationAnswer() {
  FollowResponse out = fullAnswer();
  PackedConfiguration packed;
  packed.base = 12;
  packed.size = 1000;
  packed.checksum = 0xfedcba9876543210ULL;
  packed.bytes = allBytes();
  out.delta.packedConfiguration = std::make_shared<const PackedConfiguration>(packed);
  return out;
}

// A zstd frame (RFC 8878) with the text in one raw block: no version of the library packs it otherwise.
inline Packed packedRaw(const std::string& text) {
  const std::size_t block = text.size() << 3 | 1;  // the last one, raw
  std::string bytes = "\x28\xb5\x2f\xfd\x60";      // a size of two bytes, no window, no checksum
  for (const std::size_t value :
       {text.size() - 256, (text.size() - 256) >> 8, block, block >> 8, block >> 16})
    bytes += static_cast<char>(value & 0xff);
  Packed out = pack(text, nullptr);  // for its size and check
  out.bytes = bytes + text;
  return out;
}

// A list long enough to be sent packed, and a packed configuration behind it in the body.
inline FollowResponse packedListAnswer() {
  FollowResponse out = packedConfigurationAnswer();
  out.delta.servers.emplace();
  out.delta.servers->isSnapshot = true;
  std::vector<Instance> list;
  for (int i = 0; i < 3; ++i)
    for (Instance each : servers()) {
      each.id += std::to_string(i);
      list.push_back(each);
    }
  out.delta.servers->packedUpdated = std::make_shared<const Packed>(packedRaw(nlohmann::json(list).dump()));
  return out;
}

inline FollowResponse nothingKnownAnswer() {
  FollowResponse out;
  out.epoch = 3 * kRound + 2;
  out.holdingsKnown = false;
  out.listAgeMs.reset();
  return out;
}

inline FollowResponse elsewhereAnswer() {
  FollowResponse out;
  out.leader = "127.0.0.1:7001";
  out.core = coreView();
  return out;
}

inline Named<FollowResponse> followResponses() {
  return {{"plain", plainAnswer()},
          {"full", fullAnswer()},
          {"changes", changesAnswer()},
          {"snapshot", snapshotAnswer()},
          {"packed-configuration", packedConfigurationAnswer()},
          {"nothing-known", nothingKnownAnswer()},
          {"elsewhere", elsewhereAnswer()},
          {"elsewhere-unknown", FollowResponse{}}};
}

// --- Announcements of control processes

inline PeerAnnouncement fullAnnouncement() {
  PeerAnnouncement out;
  out.from = "127.0.0.9:7009";
  out.isMember = true;
  out.core = coreView();
  out.peers = {"127.0.0.1:7001", "127.0.0.4:7004"};
  return out;
}

inline Named<PeerAnnouncement> presences() {
  PeerAnnouncement alone;
  alone.from = "127.0.0.9:7009";
  return {{"full", fullAnnouncement()}, {"alone", alone}};
}

// --- Frames as the codecs have them

template <class T>
std::string bytesOf(const T& value) {
  return encode(toFrame(value));
}

// One whole frame. Throws std::runtime_error if the bytes are anything else.
inline Frame frameOf(std::string bytes) {
  Frame out;
  if (decode(bytes, out) != Decoded::frame || !bytes.empty()) throw std::runtime_error("not one frame");
  return out;
}

inline std::optional<MemberMessage> readMember(const std::string& bytes) {
  return decodeMemberMessage(frameOf(bytes));
}
inline std::optional<FollowRequest> readCall(const std::string& bytes) {
  return parseFollowRequest(frameOf(bytes));
}
inline std::optional<FollowResponse> readAnswer(const std::string& bytes) {
  return parseFollowResponse(frameOf(bytes));
}
inline std::optional<PeerAnnouncement> readPresence(const std::string& bytes) {
  return parsePeerAnnouncement(frameOf(bytes));
}

}  // namespace lilacmux::test
