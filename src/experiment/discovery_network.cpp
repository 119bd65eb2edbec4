#include "experiment/discovery_network.hpp"

#include <algorithm>

namespace lilacmux {
namespace {

constexpr Millis kCheckInterval = 50;

}  // namespace

void DiscoveryHost::send(const NodeId& to, const MemberMessage& message) {
  network.post(*this, to, [this, message](DiscoveryHost& receiver) {
    if (receiver.replica) receiver.replica->receive(network.now(), message);
  });
}

DiscoveryHost& DiscoveryNetwork::addHost(const NodeId& address) {
  return *hosts_.emplace_back(std::make_unique<DiscoveryHost>(*this, address));
}

DiscoveryHost* DiscoveryNetwork::find(const NodeId& address) const {
  const auto found =
      std::find_if(hosts_.begin(), hosts_.end(), [&](const auto& host) { return host->address == address; });
  return found == hosts_.end() ? nullptr : found->get();
}

void DiscoveryNetwork::schedule(Millis delay, std::function<void()> action) {
  events_.push({now_ + delay, ++scheduledEvents_, std::move(action)});
}

void DiscoveryNetwork::scheduleAt(DiscoveryHost& host, Millis delay, std::function<void()> action) {
  schedule(delay, [&host, incarnation = host.incarnation, action = std::move(action)] {
    if (host.isUp && host.incarnation == incarnation) action();
  });
}

void DiscoveryNetwork::run(Millis duration) {
  runUntil([] { return false; }, duration);
}

void DiscoveryNetwork::runUntil(const std::function<bool()>& done, Millis timeout) {
  const Millis until = now_ + timeout;
  Millis checkAt = now_;
  while (!events_.empty() && events_.top().at <= until) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
    if (now_ < checkAt) continue;
    checkAt = now_ + kCheckInterval;
    if (done()) return;
  }
  now_ = until;
}

void DiscoveryNetwork::partition(const DiscoveryHost& host, bool isOneWay) {
  for (const auto& other : hosts_) {
    partitions_.insert({host.address, other->address});
    if (!isOneWay) partitions_.insert({other->address, host.address});
  }
}

void DiscoveryNetwork::heal(const DiscoveryHost& host) {
  std::erase_if(partitions_,
                [&](const auto& pair) { return pair.first == host.address || pair.second == host.address; });
}

bool DiscoveryNetwork::reaches(const DiscoveryHost& from, const DiscoveryHost& to) const {
  return !partitions_.contains({from.address, to.address}) && from.hasPower && to.hasPower;
}

DiscoveryHost* DiscoveryNetwork::findReachable(const DiscoveryHost& from, const NodeId& to) const {
  DiscoveryHost* host = find(to);
  return host && host->isControl && reaches(from, *host) ? host : nullptr;
}

void DiscoveryNetwork::post(const DiscoveryHost& from, const NodeId& to,
                            std::function<void(DiscoveryHost&)> deliver) {
  DiscoveryHost* receiver = findReachable(from, to);
  if (!receiver) return;
  schedule(drawLatency(), [receiver, deliver = std::move(deliver)] {
    if (receiver->isUp) deliver(*receiver);
  });
}

}  // namespace lilacmux
