// Grants the assignments of the ownership table to servers as leases, and takes them back by releases. Runs
// at the primary of the control plane; its host calls `tick` only while the primary's own lease lasts.
//
// A server counts its hold from a grant's arrival, on a clock that may be slow, so a hold ends at the latest
// `holdMs / (1 - clockDrift)` after the last moment at which a grant may have arrived: when it was answered,
// or `delayBound` after it was sent. A range goes to its new server only when its previous one has answered a
// release that was sent after all grants to it were resolved, or when the previous hold has ended for
// certain. A new primary does not know the sends of earlier ones. It assumes that each assignment on record
// was granted right before its term began, which the replicated record makes the worst case.
//
// No I/O and no clock; times are in ms of the host's monotonic clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "ownership/ownership_table.hpp"

namespace lilacmux {

// A grant or a release of keys at one server.
struct LeaseCall {
  enum class Kind { grant, release };
  std::uint64_t id = 0;
  Kind kind = Kind::grant;
  std::string server;  // instance id
  KeyRange keys;
  Fence fence = 0;
  double holdMs = 0;    // of a grant
  std::string handoff;  // of a grant: the previous server's token; empty: none
};

struct LeaseCallResult {
  enum class Outcome {
    done,           // the server has answered 200
    fenceRejected,  // the server has seen a higher fence
    notDelivered,   // the call has not reached the server and never will
    unknown,        // the call may have reached the server, or may reach it within the delay bound
  };
  Outcome outcome = Outcome::unknown;
  std::string handoff;  // of a release that was done: the token for the next server
};

// Carries the calls out. `LeaseManager::callEnded` must be called once for each, and not from within `send`.
class LeaseCaller {
 public:
  virtual ~LeaseCaller() = default;
  virtual void send(const LeaseCall& call) = 0;
};

class LeaseManager {
 public:
  using Millis = double;

  struct Rule {
    Millis hold = 4000;           // of one grant, by the server's clock
    Millis renewInterval = 1000;  // between two grants of one assignment
    // After its sending a call has arrived or never arrives: the time-out of a call, after which its
    // connection is reset, and the way of the last packet.
    Millis delayBound = 1500;
    double clockDrift = 0.02;  // by which a server's clock may be slow
    unsigned maxCallsPerTick = 8;

    // How long a hold of `ms` may last on the host's clock.
    Millis holdBound(Millis ms) const { return ms / (1 - clockDrift); }
  };

  struct Counts {
    std::uint64_t grants = 0;    // answered with 200
    std::uint64_t releases = 0;  // answered
    std::uint64_t lapses = 0;    // ranges that changed hands without a release
    std::uint64_t rejected = 0;  // fences that a server refused
    std::uint64_t failures = 0;  // calls without an answer
  };

  // `now`: when the primary's term began. `committed`: the table that it took over.
  LeaseManager(Millis now, const Rule& rule, LeaseCaller& caller, const OwnershipTable& committed);

  // A changed table is committed.
  void setTable(Millis now, const OwnershipTable& committed);
  // The servers that can be called: those on the platform's list.
  void setServers(std::set<std::string> servers) { servers_ = std::move(servers); }
  void tick(Millis now);
  void callEnded(Millis now, std::uint64_t call, const LeaseCallResult& result);

  // Returns whether no earlier server can hold the keys of this assignment.
  bool isHandedOver(Fence fence) const;
  // Returns whether the server has rejected this fence, so that the assignment needs a new one.
  bool isRejected(Fence fence) const;
  // Returns whether the server has answered nothing for so long that its leases are about to lapse.
  bool isUnresponsive(Millis now, const std::string& server) const;
  const Counts& counts() const { return counts_; }

 private:
  static constexpr Millis kNever = -1e18;

  // When the calls under one fence may arrive or end.
  struct Hold {
    Millis endsBy = kNever;          // by when the last hold that was granted has ended
    Millis arrivalsEndBy = kNever;   // until when a grant without an answer may arrive
    std::uint64_t pendingGrant = 0;  // 0: none
    Millis pendingSentAt = kNever;
  };
  struct Predecessor {
    std::string server;
    Fence fence = 0;
    Hold hold;
    std::uint64_t pendingRelease = 0;  // 0: none
    Millis retryAt = kNever;
  };
  struct Lease {
    std::string service;
    Assignment assignment;
    Hold hold;
    std::optional<Predecessor> predecessor;  // set until the keys are handed over
    std::string handoff;
    bool isRejected = false;
    Millis dueAt = 0;
  };
  struct ServerContact {
    Millis lastAnsweredAt = kNever;
    Millis firstFailureAt = kNever;  // since the last answer
  };
  using Leases = std::map<Fence, Lease>;

  Hold earlierPrimariesHold(Millis now, const OwnershipTable& table) const;
  Hold heldBefore(const std::string& service, const Assignment& assignment, const Leases& earlier) const;
  Lease makeLease(Millis now, const OwnershipTable& table, const std::string& service,
                  const Assignment& assignment, const Leases& earlier) const;
  Millis holdEndsBy(const Hold& hold) const;
  void schedule(Lease& lease, Millis at);
  void step(Millis now, Lease& lease);
  void stepHandover(Millis now, Lease& lease);
  void stepGrant(Millis now, Lease& lease);
  void sendRelease(Millis now, Lease& lease);
  void handOver(Millis now, Lease& lease, std::string token);
  void grantEnded(Millis now, Lease& lease, const LeaseCallResult& result);
  void resolve(Millis now, Hold& hold, LeaseCallResult::Outcome outcome) const;
  void releaseEnded(Millis now, Lease& lease, const LeaseCallResult& result);
  void recordContact(Millis now, const std::string& server, LeaseCallResult::Outcome outcome);

  const Rule rule_;
  LeaseCaller& caller_;
  Leases leases_;                           // by fence
  std::set<std::pair<Millis, Fence>> due_;  // when each lease needs attention
  std::map<std::uint64_t, Fence> pending_;  // calls by id, and the lease that each was made for
  std::set<Fence> awaitingPredecessor_;     // leases whose predecessor has a grant in flight
  std::set<std::string> servers_;
  std::map<std::string, ServerContact> contacts_;
  std::uint64_t lastCall_ = 0;
  unsigned callsLeft_ = 0;  // in this tick
  Counts counts_;
};

}  // namespace lilacmux
