#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "consensus/member_message_codec.hpp"
#include "experiment/capacity_examples.hpp"
#include "experiment/capacity_measurements.hpp"
#include "experiment/measure.hpp"
#include "fleet/follow_codec.hpp"

namespace lilacmux {

using nlohmann::json;

void measureFollowMessages(CapacityRecorder& recorder, std::size_t tenants) {
  const auto size = static_cast<double>(tenants);
  FollowRequest call;
  call.name = "edge-halle-gaswerk-1", call.zone = "halle-gaswerk";
  call.position = {3 << 20, 1000}, call.revision = 1000, call.relayListHash = ~std::uint64_t{0};
  call.demands = exampleDemands(0, tenants, tenants);
  FollowResponse answer;
  answer.epoch = call.position.epoch, answer.delta.index = call.position.index,
  answer.delta.revision = call.revision;
  answer.gatewayCount = 2000, answer.ageMs = 120, answer.quotaGrants.number = 1ULL << 32;
  for (const ShareDemand& demand : call.demands)
    answer.quotaGrants.grants.push_back({demand.tenant, 2, 1.234, false});
  const std::string request = encode(toFrame(call));
  const std::string response = encode(toFrame(answer));
  recorder.add("follow call: bytes", "B", "tenants told of", size, static_cast<double>(request.size()));
  recorder.add("follow answer: bytes", "B", "tenants told of", size, static_cast<double>(response.size()));
  const std::size_t packed =
      json::to_msgpack(toFrame(call).head).size() + json::to_msgpack(toFrame(answer).head).size();
  recorder.add("follow call and answer: bytes, if they were MessagePack", "B", "tenants told of", size,
               static_cast<double>(packed));
  constexpr unsigned kCalls = 50;
  const double ms = medianProcessorMs(kTimedRuns, [&] {
    for (unsigned c = 0; c < kCalls; ++c) {
      std::string in = encode(toFrame(call)), back = encode(toFrame(answer));
      Frame frame;
      decode(in, frame);
      parseFollowRequest(frame);
      decode(back, frame);
      parseFollowResponse(std::move(frame));
    }
  });
  recorder.add("follow call and answer: writing and reading both", "us", "tenants told of", size,
               ms * kMicrosPerMilli / kCalls);
}

void measureServiceRates(CapacityRecorder& recorder, std::size_t services) {
  FollowRequest call;
  const std::size_t before = encode(toFrame(call)).size();
  for (std::size_t s = 0; s < services; ++s) call.requestRates[exampleServiceName(s)] = 264.864;
  recorder.add("follow call: bytes for the requests of services", "B", "services",
               static_cast<double>(services), static_cast<double>(encode(toFrame(call)).size() - before));
}

void measureHeartbeat(CapacityRecorder& recorder, std::size_t members) {
  MemberMessage message;
  message.kind = MemberMessage::Kind::heartbeat;
  message.epoch = message.record.epoch = 3 << 20;
  message.dataEpoch = message.record.previous = 2 << 20;
  message.sequence = 1000, message.sentAt = 12345678.123456;
  for (std::size_t m = 0; m < members; ++m) {
    const NodeId member = "10." + std::to_string(100 + m) + ".0.13:7560";
    message.record.members.push_back(member);
    if (m == 0) message.from = message.record.primary = member;
    if (m > 0 && m <= (members - 1) / 2) message.record.backups.push_back(member);
  }
  recorder.add("heartbeat: bytes", "B", "members", static_cast<double>(members),
               static_cast<double>(encode(toFrame(message)).size()));
}

}  // namespace lilacmux
