#include "decision/learned_state.hpp"

#include <algorithm>
#include <cmath>

#include "decision/number_codec.hpp"

namespace lilacmux::decision {
namespace {

// Another number with every change of what is handed over.
constexpr double kFormVersion = 2;
// Tenants handed over at most; more: megabytes.
constexpr double kMaxHandedTenants = 1024;

template <class State>
State readOne(NumberReader& reader) {
  State state;
  exchangeState(reader, state);
  return state;
}

// Numbers that a server or a tenant takes.
template <class State>
double numbersOf() {
  State any;
  NumberWriter writer;
  exchangeState(writer, any);
  return static_cast<double>(writer.out.size());
}

}  // namespace

// What belongs to no server and no tenant. The order of the parts is part of the form.
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

// What both sides must have alike: the form's number, the sizes of its parts, and the settings' shape.
std::vector<double> LearnedState::form() {
  NumberWriter shared;
  exchangeShared(shared);
  return {kFormVersion,
          static_cast<double>(shared.out.size()),
          numbersOf<Server>(),
          numbersOf<Tenant>(),
          static_cast<double>(settings_.classes.size()),
          static_cast<double>(settings_.plans.size()),
          static_cast<double>(settings_.gatewayCount),
          static_cast<double>(settings_.gatewayIndex)};
}

// Of the tenants only those of whom something is known that one new to a gateway would not have.
std::vector<double> LearnedState::write(Time now) {
  NumberWriter writer;
  NumberWriter tenants;
  double serverCount = static_cast<double>(pool_.size());
  double tenantCount = 0;
  auto& entries = quota_.tenants().entries();
  for (auto it = entries.rbegin(); it != entries.rend() && tenantCount < kMaxHandedTenants; ++it) {
    quota_.advance(*it, now);
    const double burst = settings_.plans[it->plan].burst;
    if (it->inFlight == 0 && it->tokens >= burst && it->globalTokens >= burst) continue;
    exchangeState(tenants, *it);
    ++tenantCount;
  }
  writer(serverCount, tenantCount);
  exchangeShared(writer);
  for (Server& server : pool_.servers()) exchangeState(writer, server);
  std::vector<double> numbers = form();
  numbers.insert(numbers.end(), writer.out.begin(), writer.out.end());
  numbers.insert(numbers.end(), tenants.out.begin(), tenants.out.end());
  return numbers;
}

bool LearnedState::read(Time now, const std::vector<double>& numbers) {
  const std::vector<double> expected = form();
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
  for (double i = 0; i < servers; ++i) pool_.adopt(readOne<Server>(reader), now);
  for (double i = 0; i < tenants; ++i) quota_.adopt(readOne<Tenant>(reader), now);
  return true;
}

}  // namespace lilacmux::decision
