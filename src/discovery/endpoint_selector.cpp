#include "discovery/endpoint_selector.hpp"

#include <algorithm>
#include <utility>

namespace lilacmux {
namespace {

// A follower uses one endpoint at a time and needs the others only if that connection is lost.
constexpr std::size_t kMaxResponsive = 4;
// Limits the memory that a report of a peer can use. Far above the members that any number of tolerated
// losses requires.
constexpr std::size_t kMaxCoreMembers = 32;

void truncate(std::vector<Endpoint>& endpoints, std::size_t maxSize) {
  if (endpoints.size() > maxSize) endpoints.resize(maxSize);
}

}  // namespace

void EndpointSelector::setCore(std::uint64_t epoch, std::vector<Endpoint> members) {
  if (members.empty()) return;
  truncate(members, kMaxCoreMembers);
  if (epoch >= coreEpoch_) {
    coreEpoch_ = epoch;
    core_ = std::move(members);
  } else {
    olderCore_ = std::move(members);
  }
}

bool EndpointSelector::setPreferred(std::vector<Endpoint> preferred) {
  if (preferred.empty() || preferred == preferred_) return false;
  preferred_ = std::move(preferred);
  return true;
}

void EndpointSelector::markResponsive(const Endpoint& endpoint) {
  tried_ = {endpoint};  // if this endpoint is lost, the others are tried first
  if (!responsive_.empty() && responsive_.front() == endpoint) return;
  std::erase(responsive_, endpoint);
  responsive_.insert(responsive_.begin(), endpoint);
  truncate(responsive_, kMaxResponsive);
}

std::vector<Endpoint> EndpointSelector::endpoints() const {
  std::vector<Endpoint> out;
  for (const auto* group : {&preferred_, &responsive_, &core_, &seeds_, &olderCore_}) {
    for (const Endpoint& endpoint : *group)
      if (std::find(out.begin(), out.end(), endpoint) == out.end()) out.push_back(endpoint);
  }
  return out;
}

std::optional<Endpoint> EndpointSelector::next() {
  const std::vector<Endpoint> known = endpoints();
  if (known.empty()) return std::nullopt;
  const auto isUntried = [&](const Endpoint& endpoint) { return !tried_.contains(endpoint); };
  auto selected = std::find_if(known.begin(), known.end(), isUntried);
  if (selected == known.end()) {  // all were tried: start a new pass
    tried_.clear();
    selected = known.begin();
  }
  tried_.insert(*selected);
  return *selected;
}

}  // namespace lilacmux
