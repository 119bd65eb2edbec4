#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "consensus/member_message_codec.hpp"
#include "control/configuration_register.hpp"
#include "experiment/capacity_examples.hpp"
#include "experiment/capacity_measurements.hpp"
#include "experiment/measure.hpp"
#include "fleet/configuration_pack.hpp"
#include "fleet/follow_codec.hpp"
#include "gateway/route_table.hpp"
#include "quota/admission.hpp"

namespace lilacmux {

void measureConfiguration(CapacityRecorder& recorder, const ConfigurationShape& shape) {
  const std::string body = exampleConfiguration(shape.routes, shape.tenants, shape.services);
  const auto add = [&](const char* what, const char* unit, double value) {
    recorder.add("configuration by " + shape.sizeName + ": " + what, unit, shape.sizeName,
                 static_cast<double>(shape.size), value);
  };
  add("body", "MB", megabytes(body.size()));
  resetPeakBytes();
  const std::size_t residentBefore = residentBytes(), heapBefore = allocatedBytes();
  auto parsed = parseConfiguration(body);
  add("memory at the peak of reading", "MB",
      (static_cast<double>(peakBytes()) - static_cast<double>(residentBefore)) / kBytesPerMegabyte);
  std::vector<std::string> limited;
  for (const Tenant& tenant : std::get<Configuration>(parsed).tenants) limited.push_back(tenant.name);
  const RouteTable routes(std::move(std::get<Configuration>(parsed)));
  parsed = std::string();  // frees what the route table did not take
  add("memory of the route table", "MB", megabytes(allocatedBytes() - heapBefore));
  Admission admission;
  const std::size_t heapOfTable = allocatedBytes();
  admission.setLimitedTenants(limited);
  add("memory of the tenants with a limit", "MB",
      (static_cast<double>(allocatedBytes()) - static_cast<double>(heapOfTable)) / kBytesPerMegabyte);
  add("reading", "ms", medianProcessorMs(kTimedRuns, [&] { parseConfiguration(body); }));
  add("route table", "ms",
      medianProcessorMs(kTimedRuns, [&] { const RouteTable again(routes.configuration()); }));
}

void measurePacking(CapacityRecorder& recorder, const ConfigurationShape& shape) {
  const auto body =
      std::make_shared<const std::string>(exampleConfiguration(shape.routes, shape.tenants, shape.services));
  std::string changed = *body;
  changed[changed.size() / 2] ^= 1;
  const auto next = std::make_shared<const std::string>(std::move(changed));
  const auto size = static_cast<double>(shape.size);
  const auto add = [&](const char* what, const char* unit, double value) {
    recorder.add("configuration by " + shape.sizeName + ": " + what, unit, shape.sizeName, size, value);
  };
  const auto packed = [&](std::uint64_t base) {
    ConfigurationPacker packer;
    packer.add(1, body);
    packer.add(2, next);
    return packer.pack(2, base);
  };
  std::shared_ptr<const PackedConfiguration> whole, change;
  add("packing it whole", "ms", medianProcessorMs(kTimedRuns, [&] { whole = packed(0); }));
  add("packed whole", "MB", megabytes(whole->bytes.size()));
  add("packing a change", "ms", medianProcessorMs(kTimedRuns, [&] { change = packed(1); }));
  add("packed change", "KB", kilobytes(change->bytes.size()));
  add("unpacking a change", "ms",
      medianProcessorMs(kTimedRuns, [&] { unpackConfiguration(*change, 1, body.get()); }));
}

void measureStateMessage(CapacityRecorder& recorder, const CapacityTarget& target, double part) {
  const std::string body = exampleConfiguration(partOf(target.routes, part), partOf(target.tenants, part),
                                                partOf(target.services, part));
  MemberMessage message;
  message.kind = MemberMessage::Kind::replicate;
  message.from = "10.1.0.13:7560";
  ReplicatedState state;
  state.revision = 1;
  state.body = std::make_shared<const std::string>(body);
  constexpr std::uint64_t kAccepted = ConfigurationRegister::kDefaultCapacity;
  for (std::uint64_t revision = 1; revision <= kAccepted; ++revision)
    state.accepted.add({revision, sha256(std::to_string(revision))}, kAccepted);
  for (std::size_t r = 0; r < target.relays; ++r)
    state.grantHolders.insert("edge-halle-gaswerk-" + std::to_string(r));
  message.state = state;
  std::string bytes;
  const double encoding = medianProcessorMs(kTimedRuns, [&] {
    const Frame frame = toFrame(message);
    // What a frame may hold is less than a whole target: the copies are made all the same.
    bytes = frame.head.dump() + frame.body;
  });
  recorder.add("state: message to a backup", "MB", "MB of body", megabytes(body.size()),
               megabytes(bytes.size()));
  recorder.add("state: making that message", "ms", "MB of body", megabytes(body.size()), encoding);
  recorder.add("state: beside the body", "KB", "MB of body", megabytes(body.size()),
               kilobytes(toFrame(message).head.dump().size()));
}

}  // namespace lilacmux
