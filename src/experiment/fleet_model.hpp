// The simulation behind `playFleet`: PrimaryService, Relay and Admission as they are, on one simulated clock.
// Every message is written to bytes and read back as on the wire, and arrives after a delay. All draws come
// from the plan's seed, in the order of the events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "experiment/event_queue.hpp"
#include "experiment/fleet.hpp"
#include "experiment/mersenne_random.hpp"
#include "fleet/follow_codec.hpp"
#include "fleet/follow_schedule.hpp"
#include "fleet/primary_service.hpp"
#include "fleet/relay.hpp"
#include "quota/admission.hpp"

namespace lilacmux {

class FleetModel {
 public:
  explicit FleetModel(const FleetPlan& plan);
  // Once per object.
  FleetFigures run();

 private:
  using Millis = double;
  using Cost = FleetFigures::Cost;

  struct Tenant {
    std::string name;
    double weight = 0;  // of the traffic
    double requestsPerS = 0;
    Quota limit;
    std::deque<Millis> admittedAt;  // within the rule's window
  };
  struct RelayNode {
    RelayEndpoint endpoint;
    std::optional<Relay> core;
    bool known = false;        // to the primary
    bool inFlight = false;     // its request
    bool partitioned = false;  // from the primary
    bool dead = false;
    FollowSchedule schedule;
    std::uint64_t requestNumber = 0;
    Cost cost;
  };
  struct PendingRequest {
    std::size_t tenant = 0;
    Millis since = 0;
  };
  struct GatewayNode {
    std::string name;
    std::string zone;
    std::size_t relay = 0;  // that it follows
    Admission admission;
    std::deque<PendingRequest> pending;  // wait for a token
    bool known = false;                  // to the relay
    bool inFlight = false;               // its request
    FollowSchedule schedule;
    std::uint64_t requestNumber = 0;
    ListPosition position;
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    std::uint64_t relayListHash = 0;
    Millis linkFreeAt = 0;
    Cost cost;
  };

  // Set-up.
  void addTenants();
  void addRelays();
  void addGateways();
  void schedulePlan();

  // The primary.
  void startPrimary(std::uint64_t term);
  void removePrimary();
  void changeConfiguration();
  void setConfiguration();

  // Messages and what they cost.
  template <class Message>
  Frame transfer(const Message& message, Cost& sender, Cost& receiver);
  double& processorOf(Cost& cost);
  void countFields(std::map<std::string, double>& fields, const Frame& frame) const;
  Millis throughLink(std::size_t gateway, Millis from, double bytes);
  void scheduleDownload(std::size_t gateway);

  // Relays follow the primary.
  void requestFromPrimary(std::size_t relay);
  void primaryReceives(std::size_t relay, std::uint64_t number, const Frame& request);
  void relayReceives(std::size_t relay, std::uint64_t number, const Frame& response);
  void relayTimesOut(std::size_t relay, std::uint64_t number);
  void scheduleRelay(std::size_t relay, Millis wait);
  void requestUnlessSent(std::size_t relay, Millis wait);
  void advanceRelay(std::size_t relay);

  // Gateways follow relays.
  void requestFromRelay(std::size_t gateway);
  FollowRequest gatewayRequest(GatewayNode& gateway);
  void relayAnswers(std::size_t gateway, std::size_t relay, std::uint64_t number, const Frame& request);
  void gatewayReceives(std::size_t gateway, std::uint64_t number, const Frame& response);
  void applyResponse(GatewayNode& gateway, const FollowResponse& response);
  void turnToNextRelay(std::size_t gateway);
  void scheduleGateway(std::size_t gateway, Millis wait);
  void requestFromRelayUnlessSent(std::size_t gateway, Millis wait);
  void advanceGateway(std::size_t gateway);

  // Clients' requests.
  void scheduleArrival(std::size_t tenant);
  void arrive(std::size_t tenant);
  void retryPending(GatewayNode& gateway);
  void rejectTimedOut(GatewayNode& gateway);
  void admit(GatewayNode& gateway, std::size_t tenant);
  void reject(std::size_t tenant);

  FleetFigures finish();
  void addWaitFigures();

  const FleetPlan plan_;
  const QuotaRule rule_{5, 0.1, 20};
  MersenneRandom random_;
  EventQueue events_;
  bool counting_ = false;  // the warm-up is over
  bool hasNoPrimary_ = false;
  Millis changedAt_ = 0;  // the configuration
  std::uint64_t revision_ = 1;
  std::vector<Tenant> tenants_;
  std::vector<std::unique_ptr<RelayNode>> relays_;
  std::vector<std::unique_ptr<GatewayNode>> gateways_;
  std::set<std::string> namedRelays_;  // may be granted something
  std::optional<PrimaryService> primary_;
  Cost primaryCost_;
  double uncountedMs_ = 0;
  std::uint64_t gatewayRequests_ = 0;
  std::vector<Millis> waits_;  // of requests that waited for a token
  FleetFigures figures_;
};

}  // namespace lilacmux
