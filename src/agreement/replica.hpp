// The control plane's replication, as a state machine: who is the primary, who its backup, and when a change
// holds. Events in, actions out; no socket, clock or disk of its own. All times are ms of the host's steady
// clock.
//
// The first members are the core machines that were told at the first start. Each keeps, on disk, the newest
// epoch that it has promised and the newest record that it has taken; a record names one epoch's primary,
// backups and members. The primary writes a change to its disk and to each backup's before it counts; the
// other members are witnesses, which keep order and epochs only. For `losses` disks that may be lost at once
// there are that many backups, and twice as many members and one; the primary takes nodes in until there are.
// A majority of members decides on a record. A member that has heard from its primary helps nobody else for
// `lease` ms; the primary acts only for as long as a majority owes it that, so that there are never two that
// act.
//
// An epoch is a round and a place in it: a vote opens a round, and what its winner changes later (its backup,
// the members) takes the next place in it without a vote. So no two primaries ever name the same epoch, and
// whoever has promised a newer round takes nothing more of an older one.
//
// Other control nodes are observers: they take records and follow. The primary lets one of them take the
// place of a member that stays silent, in two records: the first counts by majorities of the old members and
// of the new ones, the second, once that one holds, by the new ones alone.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agreement/epoch.hpp"
#include "agreement/state.hpp"

namespace lilacmux {

using Millis = double;
using NodeId = std::string;  // the internal address, ip:port

struct Record {
  std::uint64_t epoch = 0;
  std::uint64_t previous = 0;  // the epoch whose state its primary started from
  NodeId primary;
  std::vector<NodeId> backups;  // sorted
  std::vector<NodeId> members;  // sorted; empty: not known yet
  std::vector<NodeId> leaving;  // sorted: the members before, while a change of them is on its way

  bool has(const NodeId& node) const;  // as a member, a leaving one included
  bool isBackup(const NodeId& node) const;
  // Whether these nodes decide: a majority of the members and, during a change, of those before.
  bool decides(const std::set<NodeId>& nodes) const;
};

// What must be on disk before any message that follows it leaves.
struct Durable {
  std::uint64_t promised = 0;
  NodeId promisedTo;
  Record record;
  std::uint64_t dataEpoch = 0;  // the epoch for which `state` is complete
  // A disk was lost here: what was kept under records up to this epoch is not known any more.
  std::uint64_t forgotten = 0;
  State state;
};

struct Message {
  enum class Kind { hello, beat, beatAck, probe, wouldVote, ask, vote, sync, synced, resign };
  Kind kind = Kind::hello;
  NodeId from;
  std::uint64_t epoch = 0;
  bool yes = false;
  Record record;
  std::uint64_t dataEpoch = 0, forgotten = 0;
  std::uint64_t sequence = 0;
  Millis sentAt = 0;           // beat: the sender's clock, given back by its ack
  std::optional<State> state;  // sync
};

class ReplicaHost {
 public:
  virtual ~ReplicaHost() = default;
  virtual void send(const NodeId& to, const Message& message) = 0;
  // Returns once it is safe from a loss of power; false: it is not, and the node must not go on.
  virtual bool store(const Durable& durable) = 0;
  virtual void committed(const State& state) = 0;  // at the primary: this change holds
  virtual void lostPrimacy() = 0;                  // what was proposed and not committed is open
  virtual void log(const std::string& line) = 0;
};

class Replica {
 public:
  struct Timing {
    Millis beat = 200;
    Millis lease = 1100;
    Millis slack = 100;         // kept from the lease for the rates of clocks
    Millis stagger = 200;       // between those who may stand for election
    Millis backupSilent = 800;  // then another member becomes the backup
    Millis listenFirst = 2000;  // an empty disk: only listens for so long, and takes a record before it votes
    Millis replaceAfter = 2500;  // of silence another node takes a member's place
    Millis resync = 400;
    unsigned losses = 1;      // disks lost at once that it is to bear
    Millis standAgain = 500;  // of a primary, for members that have promised another round in vain
  };

  // `seeds`: the control nodes that were told, this one included or not. `bootstrap`: the whole system starts
  // for the first time.
  Replica(NodeId self, const std::vector<NodeId>& seeds, bool bootstrap, std::optional<Durable> kept,
          const Timing& timing, Millis now, ReplicaHost& host);

  void tick(Millis now);  // every 50 ms or so
  void receive(Millis now, const Message& message);
  // Only where canWrite(). The host is told once it has been committed, or that primacy was lost.
  void propose(Millis now, const State& next);
  // Going down in order: the backup may take over at once.
  void resign();

  bool isMember() const;
  // Whether the committed state is the newest there is, now.
  bool mayServe(Millis now) const { return primary_ && committed_ && now < leaseUntil(now); }
  bool canWrite(Millis now) const { return mayServe(now) && !proposed_ && settled_; }
  const State& committed() const { return *committed_; }
  std::uint64_t epoch() const { return durable_.record.epoch; }
  // The node to go to, as far as this one knows; empty: none.
  const NodeId& leader() const { return leader_; }
  const std::vector<NodeId>& members() const { return durable_.record.members; }
  const Durable& durable() const { return durable_; }
  bool isPrimary() const { return primary_; }
  // Its state could not be stored: it is silent from then on, and must be started anew from what is on disk.
  bool hasFailed() const { return failed_; }

 private:
  struct Peer {
    Millis ackedSentAt = -1e18;  // when the newest beat was sent that it took in this primacy
    Millis heardAt = -1e18;
    std::uint64_t tookEpoch = 0;
    // Under this record: when it was sent the state last, and the newest change that it has kept.
    Millis syncAt = -1e18;
    std::optional<std::uint64_t> kept;
  };
  struct Ballot {
    bool asked = false;  // else it only probes who would vote
    std::uint64_t epoch = 0;
    Millis since = 0;
    std::map<NodeId, Message> votes;
  };

  std::set<NodeId> everyMember() const;
  Millis leaseUntil(Millis now) const;
  bool wins(const std::map<NodeId, Message>& votes) const;
  bool eligible(const std::map<NodeId, Message>& votes, const Record& newest) const;
  const Record& newestOf(const std::map<NodeId, Message>& votes) const;
  bool owes(Millis now) const;  // loyalty to a primary, or to one it may have forgotten
  bool helps(Millis now, const NodeId& candidate) const;
  bool keep();
  void broadcast(const Message& message);
  Message make(Message::Kind kind) const;

  void onHello(Millis now, const Message& message);
  void onBeat(Millis now, const Message& message);
  void onBeatAck(Millis now, const Message& message);
  void onProbe(Millis now, const Message& message);
  void onWouldVote(Millis now, const Message& message);
  void onAsk(Millis now, const Message& message);
  bool ballotIsOpen(Millis now, bool asked) const;
  void onVote(Millis now, const Message& message);
  void onSync(Millis now, const Message& message);
  void onSynced(Millis now, const Message& message);

  void tickPrimary(Millis now);
  void tickFollower(Millis now);
  void probe(Millis now);
  void stand(Millis now);
  std::uint64_t nextRound() const;
  void lead(Millis now, const Record& record);
  bool allKept();
  void sendSync(Millis now);
  void sendSyncTo(Millis now, const NodeId& backup);
  void settle(Millis now);
  void win(Millis now);
  void stepDown(const std::string& why);
  std::vector<NodeId> chooseBackups(Millis now, std::vector<NodeId> kept) const;
  void renew(Millis now, Record next);
  bool changeMembers(Millis now);
  bool replaceSilentBackups(Millis now);
  Millis heardAt(const NodeId& node) const;

  const NodeId self_;
  const std::vector<NodeId> seeds_;
  const Timing timing_;
  ReplicaHost& host_;
  Durable durable_;
  const Millis startedAt_;
  bool fresh_;  // nothing was promised before this start: there is nothing to forget
  bool empty_;  // a disk without anything in a system that runs; until a record has been taken
  bool failed_ = false;
  bool resigned_ = false;

  std::uint64_t seen_ = 0;  // the newest epoch heard of
  NodeId leader_;
  Millis heardBeat_ = -1e18;
  Millis helloAt_ = -1e18;
  std::optional<Ballot> ballot_;
  Millis standAfter_ = 0;

  bool primary_ = false;
  bool settled_ = false;   // the record is a majority's and the backup has the state
  bool proposed_ = false;  // a change is on its way
  std::shared_ptr<State> committed_;
  std::map<NodeId, Peer> peers_;
  std::map<NodeId, Millis> observers_;  // when they last said hello
  std::vector<NodeId> contacts_;        // members of the newest record that others have told of
  std::uint64_t contactsEpoch_ = 0;
  Millis beatAt_ = -1e18;
  Millis ledSince_ = 0, electedAt_ = 0;  // under this record; at all
};

}  // namespace lilacmux
