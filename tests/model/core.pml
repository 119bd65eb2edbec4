/* The consensus protocol (src/consensus/replica.hpp) without clocks: votes, records, replication to the backup,
 * restarts, the loss of one disk while the core is healthy, and, with a spare, membership changes.
 *
 * Messages are not modelled as queues. A message that was sent can be delivered at any later time, in any order, or
 * never. An epoch is TERM * 4 + step, so the record of an epoch never changes; it is stored in arrays indexed by
 * epoch.
 *
 * Checked: (1) a newer primary in an established epoch has all acknowledged changes; (2) a term has one winner;
 * (3) only the primary of an epoch acknowledges changes in it. Leases, which keep an old primary from serving old
 * state, depend on clocks and are tested by the seeded fault schedules (src/experiment/fault_schedule.hpp).
 *
 * -DNODES=4 adds a spare that can replace a member. -DMUTANT=n breaks one rule; each mutant must be found.
 */
#ifndef NODES
#define NODES 3
#endif
#ifndef TERMS
#define TERMS 2        /* after the first */
#endif
#ifndef STEPS
#define STEPS 2        /* per term: changes of the record without a vote */
#endif
#ifndef CHANGES
#define CHANGES 2       /* operators' changes */
#endif
#ifndef MUTANT
#define MUTANT 0
#endif
#define EPOCHS 20
#define TERM(e) ((e) >> 2)
#define BIT(i) (1 << (i))
#define HAS(m, i) (((m) >> (i)) & 1)
#define COUNT(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1) + (((m) >> 3) & 1))
#define MAJORITY(m, of) (2 * COUNT((m) & (of)) > COUNT(of))
#define QUORUM(m, e) (MAJORITY(m, members[e]) && (oldMembers[e] == 0 || MAJORITY(m, oldMembers[e])))
#if MUTANT == 3
#define MAY_VOTE(i) true
#else
#define MAY_VOTE(i) (!hasEmptyDisk[i])
#endif
#if MUTANT == 6
#define CAN_REPORT(i, e) true
#else
#define CAN_REPORT(i, e) (lostEpoch[i] < (e))
#endif
#if MUTANT == 4
#define MAY_STORE_STATE(i) true
#else
#define MAY_STORE_STATE(i) (votedEpoch[i] == record[i])
#endif
#define IS_MEMBER(i) (HAS(members[record[i]], i) || HAS(oldMembers[record[i]], i))

/* The record of an epoch, and its acknowledgements. */
byte primary[EPOCHS], backup[EPOCHS], previous[EPOCHS], members[EPOCHS], oldMembers[EPOCHS];
byte accepted[EPOCHS];         /* the nodes that have accepted the record */
byte replicatedData[EPOCHS];   /* the newest state acknowledged by the backup, as a set of changes */
bool isReplicated[EPOCHS];     /* whether the backup has acknowledged any state */

/* The disk of a node. */
byte votedEpoch[NODES], votedFor[NODES], record[NODES], dataEpoch[NODES], data[NODES];
bool hasEmptyDisk[NODES];
byte lostEpoch[NODES];  /* state stored under records up to this epoch is lost */
/* The memory of a node. */
bool isPrimary[NODES];
byte candidateEpoch[NODES];     /* the epoch in which the node is a candidate; 0: none */
byte votes[NODES];
byte voteRecord[NODES * NODES], voteData[NODES * NODES];

byte acknowledged, proposed, newest, diskLost;
byte newestEstablished, establishedData;      /* the newest established epoch, and its state at that time */
bool termWon[8];

#define ESTABLISHED(e) (QUORUM(accepted[e], e) && isReplicated[e])
#define EPOCH_OF(i) (record[i])

inline evaluateVotes(i) {
  /* the newest record among the voters determines the quorum and the backup that has the state */
  n = record[i];
  j = 0;
  do
  :: j < NODES ->
     if
     :: HAS(votes[i], j) && j != i && voteRecord[i * NODES + j] > n -> n = voteRecord[i * NODES + j]
     :: else
     fi;
     j++
  :: else -> break
  od;
  j = backup[n];
  isWon = HAS(members[n], i) && QUORUM(votes[i], n);
#if MUTANT == 1
  isWon = HAS(members[n], i) && MAJORITY(votes[i], members[record[i]]);
#endif
  if
  :: n == 0 || dataEpoch[i] == n -> skip
#if MUTANT == 2
  :: else -> skip
#else
  :: else ->
     isWon = isWon && dataEpoch[i] >= previous[n] &&
          ((j == i && dataEpoch[i] < n && CAN_REPORT(i, n)) ||
           (j != i && HAS(votes[i], j) && voteData[i * NODES + j] < n && CAN_REPORT(j, n)))
#endif
  fi
}

/* The primary opens the next step of its term. */
inline openNextEpoch(i, b, m, l) {
  n = record[i] + 1;
  primary[n] = i; backup[n] = b; previous[n] = record[i]; members[n] = m; oldMembers[n] = l;
  accepted[n] = BIT(i);
  votedEpoch[i] = n; votedFor[i] = i; record[i] = n; dataEpoch[i] = n;
  if :: n > newest -> newest = n :: else fi;
  n = 0
}

proctype node(byte i) {
  byte n, j;
  bool isWon;
  do
  /* The node restarts; its disk is retained. */
  :: atomic { (isPrimary[i] || candidateEpoch[i] > 0) -> isPrimary[i] = false; candidateEpoch[i] = 0; votes[i] = 0 }

  /* The node starts an election in the next term. */
  :: atomic { !hasEmptyDisk[i] && !isPrimary[i] && candidateEpoch[i] == 0 && IS_MEMBER(i) && TERM(votedEpoch[i]) < TERMS ->
       votedEpoch[i] = (TERM(votedEpoch[i]) + 1) * 4; votedFor[i] = i;
       candidateEpoch[i] = votedEpoch[i]; votes[i] = BIT(i) }

  /* Another node votes for this one. */
  :: atomic { candidateEpoch[i] > 0 && candidateEpoch[i] == votedEpoch[i] ->
       if
       :: j = 0 :: j = 1 :: j = 2
#if NODES > 3
       :: j = 3
#endif
       fi;
       if
       :: j != i && !HAS(votes[i], j) && candidateEpoch[i] > votedEpoch[j] && HAS(members[record[j]] | oldMembers[record[j]], j) &&
          MAY_VOTE(j) ->
          votedEpoch[j] = candidateEpoch[i]; votedFor[j] = i; candidateEpoch[j] = 0;
          votes[i] = votes[i] | BIT(j);
          voteRecord[i * NODES + j] = record[j]; voteData[i * NODES + j] = dataEpoch[j]
       :: else
       fi; j = 0 }

  /* The node wins the election. */
  :: atomic { candidateEpoch[i] > 0 && candidateEpoch[i] == votedEpoch[i] && COUNT(votes[i]) > 1 ->
       evaluateVotes(i);
       if
       :: isWon ->
          assert(!termWon[TERM(candidateEpoch[i])]);
          termWon[TERM(candidateEpoch[i])] = true;
          if
          :: HAS(votes[i], 0) && i != 0 && HAS(members[n], 0) -> j = 0
          :: HAS(votes[i], 1) && i != 1 && HAS(members[n], 1) -> j = 1
          :: HAS(votes[i], 2) && i != 2 && HAS(members[n], 2) -> j = 2
#if NODES > 3
          :: HAS(votes[i], 3) && i != 3 && HAS(members[n], 3) -> j = 3
#endif
          :: else -> j = i
          fi;
          if
          :: j != i ->
             record[i] = candidateEpoch[i];
             primary[record[i]] = i; backup[record[i]] = j; previous[record[i]] = n;
             members[record[i]] = members[n]; oldMembers[record[i]] = oldMembers[n];
             accepted[record[i]] = BIT(i); dataEpoch[i] = record[i];
             isPrimary[i] = true; candidateEpoch[i] = 0; votes[i] = 0;
             if :: record[i] > newest -> newest = record[i] :: else fi
          :: else
          fi
       :: else
       fi; n = 0; j = 0; isWon = false }

  /* The node accepts a record that was sent. A node with an empty disk first waits, for longer than the lease of an
     old primary and than the lifetime of any call between members, so the record that it accepts is the newest. */
  :: atomic { newest > 0 && !isPrimary[i] ->
       n = newest;
       do
       :: n > 1 -> n--
       :: break
       od;
       if
       :: members[n] != 0 && n != record[i] && n >= record[i] && n >= votedEpoch[i] && primary[n] != i &&
          !(TERM(n) == TERM(votedEpoch[i]) && votedEpoch[i] > 0 && votedFor[i] != primary[n]) &&
          (!hasEmptyDisk[i] || n == newest) ->
          record[i] = n; votedEpoch[i] = n; votedFor[i] = primary[n];
          if :: hasEmptyDisk[i] -> hasEmptyDisk[i] = false; lostEpoch[i] = n :: else fi;
          candidateEpoch[i] = 0; votes[i] = 0;
          accepted[n] = accepted[n] | BIT(i)
       :: else
       fi; n = 0 }

  /* The backup stores the state that its primary has sent under this record. */
  :: atomic { record[i] > 0 && backup[record[i]] == i && primary[record[i]] != i && isPrimary[primary[record[i]]] &&
              MAY_STORE_STATE(i) &&
              record[primary[record[i]]] == record[i] ->
       data[i] = data[primary[record[i]]]; dataEpoch[i] = record[i];
       replicatedData[record[i]] = data[i]; isReplicated[record[i]] = true }

  /* The primary's epoch is established: it must have all acknowledged changes. A primary that does not know its
     successor yet may still acknowledge changes that the successor has too. */
  :: atomic { isPrimary[i] && ESTABLISHED(EPOCH_OF(i)) && replicatedData[EPOCH_OF(i)] == data[i] &&
              (EPOCH_OF(i) > newestEstablished || (data[i] | acknowledged) != acknowledged) ->
       assert(primary[EPOCH_OF(i)] == i);
       if
       :: EPOCH_OF(i) >= newestEstablished -> assert((data[i] & acknowledged) == acknowledged); newestEstablished = EPOCH_OF(i); establishedData = data[i]
       :: else -> assert((establishedData & data[i]) == data[i])
       fi;
       acknowledged = acknowledged | data[i] }

  /* The primary proposes a change. */
  :: atomic { isPrimary[i] && proposed < CHANGES && votedEpoch[i] == record[i] && ESTABLISHED(EPOCH_OF(i)) && replicatedData[EPOCH_OF(i)] == data[i] ->
       data[i] = data[i] | BIT(proposed); proposed++ }

  /* Another member becomes the backup. */
  :: atomic { isPrimary[i] && votedEpoch[i] == record[i] && (record[i] & 3) < STEPS ->
       if
       :: HAS(members[record[i]], 0) && i != 0 -> j = 0
       :: HAS(members[record[i]], 1) && i != 1 -> j = 1
       :: HAS(members[record[i]], 2) && i != 2 -> j = 2
       fi;
       if
       :: j != backup[record[i]] -> openNextEpoch(i, j, members[record[i]], oldMembers[record[i]])
       :: else
       fi; j = 0 }

#if NODES > 3
  /* The spare replaces a member, in two records. */
  :: atomic { isPrimary[i] && votedEpoch[i] == record[i] && (record[i] & 3) < STEPS && ESTABLISHED(EPOCH_OF(i)) &&
              oldMembers[EPOCH_OF(i)] == 0 && !HAS(members[EPOCH_OF(i)], 3) && HAS(accepted[EPOCH_OF(i)], 3) ->
       if
       :: i != 0 && backup[EPOCH_OF(i)] != 0 -> j = 0
       :: i != 1 && backup[EPOCH_OF(i)] != 1 -> j = 1
       :: i != 2 && backup[EPOCH_OF(i)] != 2 -> j = 2
       fi;
#if MUTANT == 5
       openNextEpoch(i, backup[EPOCH_OF(i)], (members[EPOCH_OF(i)] | 8) & (15 - BIT(j)), 0);
#else
       openNextEpoch(i, backup[EPOCH_OF(i)], (members[EPOCH_OF(i)] | 8) & (15 - BIT(j)), members[EPOCH_OF(i)]);
#endif
       j = 0 }
  :: atomic { isPrimary[i] && votedEpoch[i] == record[i] && (record[i] & 3) < STEPS && oldMembers[EPOCH_OF(i)] != 0 &&
              ESTABLISHED(EPOCH_OF(i)) && replicatedData[EPOCH_OF(i)] == data[i] ->
       openNextEpoch(i, backup[EPOCH_OF(i)], members[EPOCH_OF(i)], 0) }
#endif

  /* One disk is lost, while the core is healthy. */
  :: atomic { diskLost == 0 && newest > 0 && ESTABLISHED(newest) && isPrimary[primary[newest]] && record[primary[newest]] == newest &&
              replicatedData[newest] == data[primary[newest]] && oldMembers[newest] == 0 && HAS(members[newest], i) &&
              (accepted[newest] & members[newest]) == members[newest] ->
       diskLost = 1;
       votedEpoch[i] = 0; votedFor[i] = 0; record[i] = 0; dataEpoch[i] = 0; data[i] = 0; hasEmptyDisk[i] = true;
       isPrimary[i] = false; candidateEpoch[i] = 0; votes[i] = 0;
       /* votes are valid for 250 ms and an empty disk waits for 2 s: votes from before the loss no longer count */
       for (j : 0 .. NODES - 1) { votes[j] = votes[j] & (15 - BIT(i)) }
       j = 0 }
  od
}

init {
  atomic {
    members[0] = 7;
    isReplicated[0] = true;
#if NODES > 3
    hasEmptyDisk[3] = true;
#endif
    run node(0); run node(1); run node(2);
#if NODES > 3
    run node(3);
#endif
  }
}
