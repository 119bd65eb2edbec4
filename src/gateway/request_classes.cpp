#include "gateway/request_classes.hpp"

#include <algorithm>

namespace lilacmux {
namespace {

constexpr double kLateWeight = 0.5;  // value of an answer that comes after the latency target

}  // namespace

unsigned RequestClasses::classOf(const Route& route) {
  // The engine takes half a latency target for a wait at a crowded server and cuts what it lets out. The
  // services here take that long on requests of their own, so the target is at least the time limit that the
  // operator allows.
  const double target = std::max(route.latencyTargetMs, route.timeoutMs);
  const auto [at, isNew] = index_.try_emplace({route.type, target}, static_cast<unsigned>(settings_.size()));
  if (isNew) {
    ClassSettings added;
    added.latencyTarget = target;
    added.deadline = route.timeoutMs;
    added.idempotency = route.type == RouteType::nonIdempotent ? Idempotency::unsafe : Idempotency::safe;
    added.lateWeight = kLateWeight;
    settings_.push_back(added);
  }
  return at->second;
}

}  // namespace lilacmux
