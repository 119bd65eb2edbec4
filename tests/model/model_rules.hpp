// The transitions of the consensus core, one action at a time, and the invariants of each state:
// the rules of src/consensus/replica.cpp without clocks. Each mutant breaks one of the rules.
#pragma once

#include <functional>
#include <string>

#include "model_state.hpp"

namespace model {

struct Bounds {
  unsigned members = 3;
  unsigned spares = 0;
  unsigned losses = 1;
  unsigned terms = 3;          // including the first one, which is won at the start
  unsigned steps = 1;          // per term: changes of the record that the primary makes without a vote
  unsigned backupChanges = 9;  // total number of changes of the backups
  unsigned replacements = 9;   // total number of replacements of a member
  unsigned changes = 2;        // operators' changes, including the one acknowledged at the start
  unsigned diskLosses = 0;     // number of lost disks
  unsigned unwonVotes = 0;     // votes in elections that are not won
  // 1: starts with an established epoch; 0: the system starts for the first time, with empty spares.
  unsigned startsEstablished = 1;
  unsigned nodes() const { return members + spares; }
  unsigned wantedMembers() const { return 2 * losses + 1; }
};

enum class Mutant {
  none,
  oldQuorumSuffices,       // 1: during a membership change a quorum of the old members suffices
  newQuorumSuffices,       // during a membership change a quorum of the new members suffices
  ownRecordQuorum,         // the quorum is that of the candidate's own record, not of the newest record
  stateNotCompared,        // 2: a majority of votes wins, whatever state the candidate has
  emptyDiskVotes,          // 3: a node with an empty disk votes
  backupIgnoresVote,       // 4: accepts the state of an older primary after a vote in a newer term
  singleRecordChange,      // 5: a membership change in a single record
  diskLossNotReported,     // 6: a backup that lost its disk reports that it never received the state
  previousIsNewestRecord,  // 7: `previous` is chosen as in commit 93759bf
  previousIsOwnData,       // `previous` is the epoch of the winner's state, established or not
  backupChangeSkipsCheck,  // `previous` of a primary's next record is the current epoch, established or not
  staleHeartbeat,       // a node with an empty disk accepts the record of a primary whose lease has expired
  observerDoesNotVote,  // a node that is a member only by the candidate's record does not vote
  undecidedDropped,     // undecided epochs count as decided: `previous` is the epoch of the winner's state
  unresponsiveNotLost,  // unresponsive members, for which there are fewer backups, do not count as lost
};

struct Action {
  enum class Kind {
    restart,
    vote,
    elect,
    accept,
    replicate,
    commit,
    propose,
    changeBackups,
    replace,
    finish,
    loseDisk
  };
  Kind kind = Kind::restart;
  unsigned node = 0;
  unsigned other = 0;  // the other node or the epoch
  Mask nodes = 0;      // voters or backups
};

std::string describe(const Action& action, const NodeIndexes& originals);

class Rules {
 public:
  // Called with the next state, the action that leads to it, and the invariant that it violates (nullptr:
  // none).
  using Visit = std::function<void(const State&, const Action&, const char* violation)>;

  Rules(const Bounds& bounds, Mutant mutant) : bounds_(bounds), mutant_(mutant) {}

  // Returns the established first epoch with one acknowledged change or, for a bootstrap, the state before
  // the first term.
  State initial() const;
  void successors(const State& state, const Visit& visit) const;
  // Returns whether the remaining members can elect a primary after any tolerated loss of members.
  bool isAlwaysElectable(const State& state) const;

 private:
  // The outcome of an election: the newest record among the voters, and the epochs in which a change may have
  // been committed.
  struct ElectionOutcome {
    Epoch newest = 0;
    std::uint32_t undecided = 0;
    bool wins = false;
  };

  State establishedState() const;
  State bootstrapState() const;
  bool canElect(const State& state, Mask present) const;
  bool isQuorum(const Record& record, Mask nodes) const;
  bool isMember(const State& state, unsigned node) const;
  bool mayBeCandidate(const State& state, unsigned node) const;
  bool mayVote(const State& state, unsigned node) const;
  bool neverReceivedState(const State& state, unsigned node, Epoch epoch) const;
  ElectionOutcome electionOutcome(const State& state, unsigned candidate, Mask voters) const;

  void restart(const State& state, unsigned node, const Visit& visit) const;
  void vote(const State& state, unsigned node, const Visit& visit) const;
  void elect(const State& state, unsigned node, const Visit& visit) const;
  void electWith(const State& state, unsigned node, Mask voters, const Visit& visit) const;
  bool areNewest(const State& state, Mask chosen, Mask choice) const;
  void accept(const State& state, unsigned node, const Visit& visit) const;
  bool isAcceptable(const State& state, unsigned node, Epoch epoch) const;
  void replicate(const State& state, unsigned node, const Visit& visit) const;
  void commit(const State& state, unsigned node, const Visit& visit) const;
  void propose(const State& state, unsigned node, const Visit& visit) const;
  void changeBackups(const State& state, unsigned node, const Visit& visit) const;
  void replaceMember(const State& state, unsigned node, const Visit& visit) const;
  void finishReplacement(const State& state, unsigned node, const Visit& visit) const;
  void loseDisk(const State& state, unsigned node, const Visit& visit) const;

  bool mayOpenNextEpoch(const State& state, unsigned node) const;
  State withNextEpoch(const State& state, unsigned node, Mask backups, Mask members, Mask oldMembers) const;
  void changeMembers(const State& state, unsigned node, Mask members, const Visit& visit) const;
  unsigned toleratedLosses(const State& state) const;
  bool isHealthy(const State& state, Epoch epoch) const;
  void visitNext(State next, const Action& action, const char* violation, const Visit& visit) const;
  void dropUnreachable(State& state) const;

  const Bounds bounds_;
  const Mutant mutant_;
};

}  // namespace model
