#include "decision/learned_state.hpp"

#include <algorithm>
#include <cmath>

#include "decision/number_codec.hpp"

namespace lilacmux::decision {
namespace {

// Version of the format; must change whenever the layout changes.
constexpr double kFormatVersion = 2;
// The largest number of tenants handed over. More would take megabytes.
constexpr double kMaxExportedTenants = 1024;

template <class State>
State readState(NumberReader& reader) {
  State state;
  exchangeState(reader, state);
  return state;
}

// Returns how many numbers the state of a server or of a tenant takes.
template <class State>
double stateSize() {
  State state;
  NumberWriter writer;
  exchangeState(writer, state);
  return static_cast<double>(writer.out.size());
}

}  // namespace

// Writes or reads the state that belongs to no single server or tenant. The order of the components is part
// of the format.
template <class Archive>
void LearnedState::exchangeShared(Archive& archive) {
  quota_.meter().exchangeTiming(archive);
  latency_.exchangeState(archive);
  quota_.meter().exchangeReadings(archive);
  quota_.tenants().exchangeState(archive);
  limiter_.exchangeState(archive);
  quota_.exchangePressure(archive);
  retries_.exchangeState(archive);
  slowStart_.exchangeState(archive);
  outliers_.exchangeState(archive);
}

// Returns the figures that must be equal in both processes: the format version, the sizes of its parts, and
// dimensions of the settings.
std::vector<double> LearnedState::header() {
  NumberWriter shared;
  exchangeShared(shared);
  return {kFormatVersion,
          static_cast<double>(shared.out.size()),
          stateSize<Server>(),
          stateSize<Tenant>(),
          static_cast<double>(settings_.classes.size()),
          static_cast<double>(settings_.plans.size()),
          static_cast<double>(settings_.gatewayCount),
          static_cast<double>(settings_.gatewayIndex)};
}

// Skips tenants whose state equals that of a tenant new to a gateway.
std::vector<double> LearnedState::write(Time now) {
  NumberWriter writer;
  NumberWriter tenants;
  double serverCount = static_cast<double>(pool_.size());
  double tenantCount = 0;
  auto& entries = quota_.tenants().entries();
  for (auto it = entries.rbegin(); it != entries.rend() && tenantCount < kMaxExportedTenants; ++it) {
    quota_.advance(*it, now);
    const double burst = settings_.plans[it->plan].burst;
    if (it->inFlight == 0 && it->tokens >= burst && it->globalTokens >= burst) continue;
    exchangeState(tenants, *it);
    ++tenantCount;
  }
  writer(serverCount, tenantCount);
  exchangeShared(writer);
  for (Server& server : pool_.servers()) exchangeState(writer, server);
  std::vector<double> numbers = header();
  numbers.insert(numbers.end(), writer.out.begin(), writer.out.end());
  numbers.insert(numbers.end(), tenants.out.begin(), tenants.out.end());
  return numbers;
}

bool LearnedState::read(Time now, const std::vector<double>& numbers) {
  const std::vector<double> expected = header();
  if (!quota_.tenants().empty() || numbers.size() < expected.size() + 2 ||
      !std::equal(expected.begin(), expected.end(), numbers.begin()) ||
      !std::all_of(numbers.begin(), numbers.end(), [](double value) { return std::isfinite(value); }))
    return false;
  const double servers = numbers[expected.size()];
  const double tenants = numbers[expected.size() + 1];
  if (static_cast<double>(numbers.size()) !=
      static_cast<double>(expected.size()) + 2 + expected[1] + servers * expected[2] + tenants * expected[3])
    return false;
  NumberReader reader(numbers.data() + expected.size() + 2);
  exchangeShared(reader);
  for (double i = 0; i < servers; ++i) pool_.adopt(readState<Server>(reader), now);
  for (double i = 0; i < tenants; ++i) quota_.adopt(readState<Tenant>(reader), now);
  return true;
}

}  // namespace lilacmux::decision
