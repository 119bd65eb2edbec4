#include "ownership/ownership_table.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace lilacmux {
namespace {

using nlohmann::json;

bool isBefore(const Assignment& a, const Assignment& b) { return a.keys.first < b.keys.first; }

json toJson(const Assignment& each) {
  json out = json::array({each.keys.first, each.keys.last, each.server, each.fence, each.version});
  if (each.hasPrevious()) out.insert(out.end(), {each.previousServer, each.previousFence});
  return out;
}

Assignment fromJson(const json& in) {
  Assignment out;
  in.at(0).get_to(out.keys.first);
  in.at(1).get_to(out.keys.last);
  in.at(2).get_to(out.server);
  in.at(3).get_to(out.fence);
  in.at(4).get_to(out.version);
  if (in.size() <= 5) return out;
  in.at(5).get_to(out.previousServer);
  in.at(6).get_to(out.previousFence);
  return out;
}

bool isValid(const OwnershipTable::Assignments& assignments) {
  for (std::size_t i = 0; i < assignments.size(); ++i) {
    const KeyRange& keys = assignments[i].keys;
    if (keys.first > keys.last || keys.last >= kKeyCount) return false;
    if (i > 0 && assignments[i - 1].keys.last >= keys.first) return false;
  }
  return true;
}

}  // namespace

const OwnershipTable::Assignments& OwnershipTable::assignments(const std::string& service) const {
  static const Assignments none;
  const auto found = services_.find(service);
  return found == services_.end() ? none : found->second;
}

Assignment* OwnershipTable::find(const std::string& service, Fence fence) {
  const auto found = services_.find(service);
  if (found == services_.end()) return nullptr;
  const auto at = std::find_if(found->second.begin(), found->second.end(),
                               [&](const Assignment& each) { return each.fence == fence; });
  return at == found->second.end() ? nullptr : &*at;
}

void OwnershipTable::insert(const std::string& service, Assignment&& assignment) {
  Assignments& assignments = services_[service];
  const auto at = std::lower_bound(assignments.begin(), assignments.end(), assignment, isBefore);
  assignments.insert(at, std::move(assignment));
}

void OwnershipTable::assign(const std::string& service, const KeyRange& keys, const std::string& server) {
  Assignment out;
  out.keys = keys;
  out.server = server;
  out.fence = nextFence_++;
  out.version = version_;
  insert(service, std::move(out));
}

void OwnershipTable::move(const std::string& service, Fence fence, const KeyRange& keys,
                          const std::string& server) {
  Assignment* const from = find(service, fence);
  if (!from || from->hasPrevious() || !from->keys.contains(keys)) return;
  const bool isAtStart = from->keys.first == keys.first;
  const bool isAtEnd = from->keys.last == keys.last;
  if (!isAtStart && !isAtEnd) return;
  Assignment moved;
  moved.keys = keys;
  moved.server = server;
  moved.fence = nextFence_++;
  moved.previousServer = from->server;
  moved.previousFence = from->fence;
  moved.version = version_;
  if (isAtStart && isAtEnd) {
    *from = std::move(moved);
    return;
  }
  if (isAtStart)
    from->keys.first = keys.last + 1;
  else
    from->keys.last = keys.first - 1;
  insert(service, std::move(moved));
}

void OwnershipTable::renewFence(const std::string& service, Fence fence) {
  if (Assignment* const assignment = find(service, fence)) assignment->fence = nextFence_++;
}

void OwnershipTable::clearPrevious(const std::string& service, Fence fence) {
  Assignment* const assignment = find(service, fence);
  if (!assignment) return;
  assignment->previousServer.clear();
  assignment->previousFence = 0;
}

std::string OwnershipTable::encode() const {
  json services = json::object();
  for (const auto& [service, assignments] : services_) {
    json& out = services[service] = json::array();
    for (const Assignment& each : assignments) out.push_back(toJson(each));
  }
  const json out = {
      {"version", version_}, {"nextFence", nextFence_}, {"maxHoldMs", maxHoldMs_}, {"services", services}};
  return out.dump();
}

std::optional<OwnershipTable> OwnershipTable::decode(std::string_view text) {
  const json in = json::parse(text.begin(), text.end(), nullptr, false);
  if (in.is_discarded()) return std::nullopt;
  try {
    OwnershipTable out;
    in.at("version").get_to(out.version_);
    in.at("nextFence").get_to(out.nextFence_);
    in.at("maxHoldMs").get_to(out.maxHoldMs_);
    for (const auto& [service, assignments] : in.at("services").items()) {
      Assignments& list = out.services_[service];
      for (const json& each : assignments) list.push_back(fromJson(each));
      if (!isValid(list)) return std::nullopt;
    }
    return out;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace lilacmux
