#include "fleet/follow_codec.hpp"

#include <cmath>
#include <stdexcept>
#include <utility>

#include "fleet/snapshot_pack.hpp"
#include "net/frame_kind.hpp"

namespace lilacmux {
namespace {

using nlohmann::json;

constexpr const char* kRequestKind = "follow";
constexpr const char* kUpdateKind = "news";
constexpr const char* kRedirectKind = "elsewhere";

// --- Tokens and rates: encoded as integral thousandths, which keeps the text short

constexpr double kUnitsPerToken = 1000;
constexpr double kRoundingError = 1e-6;  // in units; absorbs floating-point errors of earlier arithmetic

// Rounds up, so that the reported holdings are never less than the actual ones.
std::int64_t unitsUp(double value) {
  return std::llround(std::ceil(value * kUnitsPerToken - kRoundingError));
}
std::int64_t unitsDown(double value) { return std::llround(std::floor(value * kUnitsPerToken)); }
std::int64_t nearestUnits(double value) { return std::llround(value * kUnitsPerToken); }
double fromUnits(const json& in) { return static_cast<double>(in.get<std::int64_t>()) / kUnitsPerToken; }
std::int64_t millisUp(double value) { return std::llround(std::ceil(value)); }

// --- Demands and grants: encoded as arrays to save space. Fields that were added later come last
// and are written only if set.

json demandsToJson(const std::vector<ShareDemand>& demands) {
  json out = json::array();
  for (const ShareDemand& demand : demands) {
    out.push_back({demand.tenant, unitsUp(demand.requestRate), unitsUp(demand.reserve),
                   unitsUp(demand.grantedRate), demand.grantNumber, unitsUp(demand.waitingRequests),
                   unitsUp(demand.requestedTokens)});
    if (demand.returnedTokens > 0) out.back().push_back(unitsDown(demand.returnedTokens));
  }
  return out;
}

std::vector<ShareDemand> demandsFromJson(const json& in) {
  std::vector<ShareDemand> out;
  for (const json& each : in) {
    ShareDemand demand;
    each.at(0).get_to(demand.tenant);
    demand.requestRate = fromUnits(each.at(1));
    demand.reserve = fromUnits(each.at(2));
    demand.grantedRate = fromUnits(each.at(3));
    each.at(4).get_to(demand.grantNumber);
    demand.waitingRequests = fromUnits(each.at(5));
    demand.requestedTokens = fromUnits(each.at(6));
    if (each.size() > 7) demand.returnedTokens = fromUnits(each.at(7));
    out.push_back(std::move(demand));
  }
  return out;
}

json grantsToJson(const std::vector<ShareGrant>& grants) {
  json out = json::array();
  for (const ShareGrant& grant : grants) {
    out.push_back({grant.tenant, nearestUnits(grant.tokens), nearestUnits(grant.rate)});
    if (grant.moreExpected) out.back().push_back(true);
  }
  return out;
}

std::vector<ShareGrant> grantsFromJson(const json& in) {
  std::vector<ShareGrant> out;
  for (const json& each : in) {
    ShareGrant grant;
    each.at(0).get_to(grant.tenant);
    grant.tokens = fromUnits(each.at(1));
    grant.rate = fromUnits(each.at(2));
    grant.moreExpected = each.size() > 3;
    out.push_back(std::move(grant));
  }
  return out;
}

// --- Ownership: keys and owners

json keyCountsToJson(const KeyCounts& counts) {
  json out = json::object();
  for (const auto& [service, buckets] : counts.services()) {
    json& list = out[service] = json::array();
    for (const auto& [bucket, count] : buckets) {
      list.push_back(bucket);
      list.push_back(count);
    }
  }
  return out;
}

KeyCounts keyCountsFromJson(const json& in) {
  KeyCounts out;
  for (const auto& [service, list] : in.items())
    for (std::size_t i = 0; i + 1 < list.size(); i += 2)
      out.set(service, list.at(i).get<std::uint32_t>(), list.at(i + 1).get<std::uint32_t>());
  return out;
}

json ownershipToJson(const OwnershipDelta& delta) {
  json services = json::object();
  for (const auto& [service, ranges] : delta.services) {
    json& list = services[service] = json::array();
    for (const OwnedRange& range : ranges)
      list.push_back({range.keys.first, range.keys.last, range.server, range.version});
  }
  return {{"version", delta.version}, {"services", std::move(services)}};
}

OwnedRange ownedRangeFromJson(const json& in) {
  OwnedRange out;
  in.at(0).get_to(out.keys.first);
  in.at(1).get_to(out.keys.last);
  in.at(2).get_to(out.server);
  in.at(3).get_to(out.version);
  if (out.keys.first > out.keys.last || out.keys.last >= kKeyCount)
    throw std::invalid_argument("malformed range of keys");
  return out;
}

OwnershipDelta ownershipFromJson(const json& in) {
  OwnershipDelta out;
  in.at("version").get_to(out.version);
  for (const auto& [service, ranges] : in.at("services").items())
    for (const json& range : ranges) out.services[service].push_back(ownedRangeFromJson(range));
  return out;
}

// --- Parts of a request

json ratesToJson(const RequestRateSums::Rates& rates) {
  json out = json::object();
  for (const auto& [service, perSecond] : rates) out[service] = unitsUp(perSecond);
  return out;
}

RequestRateSums::Rates ratesFromJson(const json& in) {
  RequestRateSums::Rates out;
  for (const auto& [service, perSecond] : in.items()) out[service] = fromUnits(perSecond);
  return out;
}

void writeRelayReport(json& head, const RelayReport& relay) {
  head["address"] = relay.address;
  head["gatekeepers"] = relay.gatewayCount;
  head["settled"] = relay.priorGrantsReported;
}

std::optional<RelayReport> readRelayReport(const json& head) {
  if (!head.contains("address")) return std::nullopt;
  RelayReport out;
  head.at("address").get_to(out.address);
  head.at("gatekeepers").get_to(out.gatewayCount);
  head.at("settled").get_to(out.priorGrantsReported);
  if (out.address.empty()) return std::nullopt;
  return out;
}

FollowRequest readRequest(const json& head) {
  FollowRequest out;
  head.at("name").get_to(out.name);
  head.at("zone").get_to(out.zone);
  head.at("epoch").get_to(out.position.epoch);
  head.at("place").get_to(out.position.index);
  head.at("revision").get_to(out.revision);
  head.at("whole").get_to(out.full);
  head.at("relays").get_to(out.relayListHash);
  out.demands = demandsFromJson(head.at("demands"));
  if (head.contains("requests")) out.requestRates = ratesFromJson(head.at("requests"));
  out.acceptsPacked = head.contains("unpacks");
  out.detaching = head.contains("leaves");
  if (head.contains("retries")) out.retryDemands = demandsFromJson(head.at("retries"));
  out.ownershipVersion = head.value("owners", std::uint64_t{0});
  if (head.contains("keyCounts")) out.keyCounts = keyCountsFromJson(head.at("keyCounts"));
  out.relay = readRelayReport(head);
  return out;
}

// --- Parts of a response. The body contains the packed server list, if any, followed by the configuration.

json packedToJson(const Packed& packed) { return {{"size", packed.size}, {"check", packed.checksum}}; }

void readPacked(const json& in, Packed& packed) {
  in.at("size").get_to(packed.size);
  in.at("check").get_to(packed.checksum);
}

void writeServers(Frame& out, const ServerChanges& servers) {
  out.head["snapshot"] = servers.isSnapshot;
  if (servers.packedUpdated) {
    json packed = packedToJson(*servers.packedUpdated);
    packed["bytes"] = servers.packedUpdated->bytes.size();
    out.head["packedSet"] = std::move(packed);
    out.body = servers.packedUpdated->bytes;
  } else {
    out.head["set"] = servers.updated;
  }
  out.head["gone"] = servers.removed;
}

// Removes the packed server list from the front of the body; the remaining bytes are the configuration.
std::vector<Instance> extractPackedServers(Frame& frame) {
  const json& in = frame.head.at("packedSet");
  Packed packed;
  readPacked(in, packed);
  const auto bytes = in.at("bytes").get<std::size_t>();
  packed.bytes = frame.body.substr(0, bytes);
  frame.body.erase(0, bytes);
  return unpackSnapshot(packed);
}

std::optional<ServerChanges> readServers(Frame& frame) {
  const json& head = frame.head;
  if (!head.contains("set") && !head.contains("packedSet")) return std::nullopt;
  ServerChanges out;
  head.at("snapshot").get_to(out.isSnapshot);
  out.updated =
      head.contains("set") ? head.at("set").get<std::vector<Instance>>() : extractPackedServers(frame);
  head.at("gone").get_to(out.removed);
  return out;
}

void writeConfiguration(Frame& out, const ChangeLog::Delta& delta) {
  if (delta.packedConfiguration) {
    json packed = packedToJson(*delta.packedConfiguration);
    packed["base"] = delta.packedConfiguration->base;
    out.head["packed"] = std::move(packed);
    out.body += delta.packedConfiguration->bytes;
  } else if (delta.configuration) {
    out.head["configuration"] = true;
    out.body += *delta.configuration;
  }
}

void readConfiguration(Frame& frame, ChangeLog::Delta& delta) {
  if (frame.head.contains("packed")) {
    auto packed = std::make_shared<PackedConfiguration>();
    const json& in = frame.head.at("packed");
    in.at("base").get_to(packed->base);
    readPacked(in, *packed);
    packed->bytes = std::move(frame.body);
    delta.packedConfiguration = std::move(packed);
  }
  if (frame.head.contains("configuration"))
    delta.configuration = std::make_shared<const std::string>(std::move(frame.body));
}

void writeListAge(json& head, const std::optional<double>& ageMs) {
  if (!ageMs)
    head["listAgeUnknown"] = true;
  else if (*ageMs > 0)
    head["listAge"] = millisUp(*ageMs);
}

std::optional<double> readListAge(const json& head) {
  if (head.contains("listAgeUnknown")) return std::nullopt;
  return head.value("listAge", 0.0);
}

void writeCore(json& head, const CoreView& core) {
  head["core"] = core.members;
  head["coreEpoch"] = core.epoch;
}

CoreView readCore(const json& head) {
  CoreView out;
  if (head.contains("core")) head.at("core").get_to(out.members);
  out.epoch = head.value("coreEpoch", std::uint64_t{0});  // not sent by earlier versions
  return out;
}

void writeGrants(json& head, const FollowResponse& response) {
  head["grant"] = response.quotaGrants.number;
  if (!response.quotaGrants.grants.empty()) head["grants"] = grantsToJson(response.quotaGrants.grants);
  if (response.retryGrants.grants.empty()) return;
  head["retries"] = grantsToJson(response.retryGrants.grants);
  head["retryGrant"] = response.retryGrants.number;
}

void readGrants(const json& head, FollowResponse& response) {
  head.at("grant").get_to(response.quotaGrants.number);
  if (head.contains("grants")) response.quotaGrants.grants = grantsFromJson(head.at("grants"));
  if (!head.contains("retries")) return;
  response.retryGrants.grants = grantsFromJson(head.at("retries"));
  head.at("retryGrant").get_to(response.retryGrants.number);
}

void writeRelays(json& head, const FollowResponse& response) {
  if (response.relays.empty()) return;
  head["relaysAre"] = response.relayListHash;
  json& relays = head["relays"] = json::array();
  for (const RelayEndpoint& relay : response.relays) relays.push_back({relay.address, relay.zone});
}

void readRelays(const json& head, FollowResponse& response) {
  if (!head.contains("relays")) return;
  head.at("relaysAre").get_to(response.relayListHash);
  for (const json& relay : head.at("relays"))
    response.relays.push_back({relay.at(0).get<std::string>(), relay.at(1).get<std::string>()});
}

Frame redirectToFrame(const FollowResponse& response) {
  Frame out;
  out.head = {{kKind, kRedirectKind}, {"leader", response.leader}};
  writeCore(out.head, response.core);
  return out;
}

FollowResponse readRedirect(const json& head) {
  FollowResponse out;
  out.core = readCore(head);
  head.at("leader").get_to(out.leader);
  return out;
}

FollowResponse readUpdate(Frame& frame) {
  FollowResponse out;
  const json& head = frame.head;
  out.core = readCore(head);
  head.at("epoch").get_to(out.epoch);
  head.at("place").get_to(out.delta.index);
  head.at("revision").get_to(out.delta.revision);
  head.at("fleet").get_to(out.gatewayCount);
  head.at("age").get_to(out.ageMs);
  // Earlier versions do not send "unlisted"; they send index 0 until they have a server list.
  out.delta.hasServerList = out.delta.index > 0 && !head.contains("unlisted");
  out.listAgeMs = readListAge(head);
  out.holdingsKnown = !head.contains("unknown");
  out.delta.servers = readServers(frame);
  readGrants(head, out);
  readRelays(head, out);
  if (head.contains("ownership")) out.ownership = ownershipFromJson(head.at("ownership"));
  readConfiguration(frame, out.delta);
  return out;
}

}  // namespace

Frame toFrame(const FollowRequest& request) {
  Frame out;
  out.head = {{kKind, kRequestKind},
              {"name", request.name},
              {"zone", request.zone},
              {"epoch", request.position.epoch},
              {"place", request.position.index},
              {"revision", request.revision},
              {"whole", request.full},
              {"relays", request.relayListHash},
              {"demands", demandsToJson(request.demands)}};
  if (!request.requestRates.empty()) out.head["requests"] = ratesToJson(request.requestRates);
  if (request.acceptsPacked) out.head["unpacks"] = true;
  if (request.detaching) out.head["leaves"] = true;
  if (!request.retryDemands.empty()) out.head["retries"] = demandsToJson(request.retryDemands);
  if (request.ownershipVersion > 0) out.head["owners"] = request.ownershipVersion;
  if (!request.keyCounts.empty()) out.head["keyCounts"] = keyCountsToJson(request.keyCounts);
  if (request.relay) writeRelayReport(out.head, *request.relay);
  return out;
}

Frame toFrame(const FollowResponse& response) {
  if (!response.leader.empty() || response.epoch == 0) return redirectToFrame(response);
  Frame out;
  out.head = {{kKind, kUpdateKind},
              {"epoch", response.epoch},
              {"place", response.delta.index},
              {"revision", response.delta.revision},
              {"fleet", response.gatewayCount},
              {"age", millisUp(response.ageMs)}};
  if (!response.holdingsKnown) out.head["unknown"] = true;
  if (!response.delta.hasServerList) out.head["unlisted"] = true;
  writeListAge(out.head, response.listAgeMs);
  if (!response.core.members.empty()) writeCore(out.head, response.core);
  if (response.delta.servers) writeServers(out, *response.delta.servers);
  writeGrants(out.head, response);
  writeRelays(out.head, response);
  if (response.ownership) out.head["ownership"] = ownershipToJson(*response.ownership);
  writeConfiguration(out, response.delta);
  return out;
}

std::optional<FollowRequest> parseFollowRequest(const Frame& frame) {
  if (kindOf(frame) != kRequestKind) return std::nullopt;
  return whole<FollowRequest>([&] { return readRequest(frame.head); });
}

std::optional<FollowResponse> parseFollowResponse(Frame&& frame) {
  const std::string kind = kindOf(frame);
  if (kind == kRedirectKind) return whole<FollowResponse>([&] { return readRedirect(frame.head); });
  if (kind == kUpdateKind) return whole<FollowResponse>([&] { return readUpdate(frame); });
  return std::nullopt;
}

}  // namespace lilacmux
