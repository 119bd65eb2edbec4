// The state of the consensus core in the model search: the disk of each node, and the messages that
// each record's primary has sent. There are no clocks and no message queues: a message that was sent can be
// delivered at any later time or never.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <vector>

namespace model {

using Mask = std::uint8_t;   // a set of nodes, one bit per node
using Epoch = std::uint8_t;  // term * kSteps + step; 0: before the first record

constexpr unsigned kMaxNodes = 6;
constexpr unsigned kSteps = 4;  // per term: the election, and three changes by the winner without a vote
constexpr unsigned kMaxTerms = 6;
constexpr unsigned kMaxEpochs = kMaxTerms * kSteps;
constexpr std::uint8_t kNobody = 7;

constexpr Mask bit(unsigned node) { return static_cast<Mask>(1u << node); }
constexpr bool has(Mask mask, unsigned node) { return ((mask >> node) & 1u) != 0; }
constexpr unsigned count(Mask mask) { return static_cast<unsigned>(std::popcount(mask)); }
constexpr bool isMajority(Mask of, Mask nodes) { return 2 * count(nodes & of) > count(of); }
constexpr unsigned termOf(Epoch epoch) { return epoch / kSteps; }
constexpr Epoch firstEpochOf(unsigned term) { return static_cast<Epoch>(term * kSteps); }

// The disk of a node, and whether the node is a primary.
struct Node {
  Epoch votedEpoch = 0;
  std::uint8_t votedFor = kNobody;
  Epoch record = 0;
  Epoch dataEpoch = 0;            // the epoch for which `data` is complete
  std::uint8_t data = 0;          // the changes in the stored state, one bit per change
  Epoch lostEpoch = 0;            // after a disk loss: state stored under records up to this epoch is lost
  std::uint8_t hasEmptyDisk = 0;  // the disk was lost or is new, and no record is accepted since
  std::uint8_t isPrimary = 0;     // in memory only
};

// A record and the progress of its epoch. The fields from `accepted` on are in the memory of the primary.
struct Record {
  std::uint8_t exists = 0;
  std::uint8_t primary = kNobody;
  Mask backups = 0, members = 0, oldMembers = 0;
  Epoch previous = 0;            // the epoch for which the state that it started from is complete
  std::uint32_t undecided = 0;   // later epochs, one bit each, in which a change may have been committed
  Mask accepted = 0;             // the nodes that have acknowledged this record
  Mask replicated = 0;           // the backups that have acknowledged `data`
  std::uint8_t data = 0;         // the changes in the primary's state
  std::uint8_t committed = 0;    // the epoch is established, and `data` is committed
  std::uint8_t established = 0;  // the epoch is established, perhaps with an earlier `data`
};

struct State {
  std::array<Node, kMaxNodes> nodes;
  std::array<Record, kMaxEpochs> records;
  std::uint8_t acknowledged = 0;  // the changes acknowledged to operators, one bit per change
  std::uint8_t proposed = 0;      // number of changes
  std::uint8_t diskLosses = 0;    // number of lost disks
  std::uint8_t unwonVotes = 0;
  std::uint8_t backupChanges = 0;  // number of changes of the backups
  std::uint8_t replacements = 0;   // number of changes of the members
  std::uint8_t termsWon = 0;
  Mask lost = 0;                // nodes that count as lost since the core was last healthy
  Mask healthyMembers = 0;      // the members when the core was last healthy
  Epoch newestEstablished = 0;  // the newest established epoch, and its changes at that time
  std::uint8_t establishedData = 0;
};

// Visits each field of the state that belongs neither to a node nor to a record.
template <class AnyState, class Visit>
void eachScalar(AnyState& state, const Visit& visit) {
  visit(state.acknowledged);
  visit(state.proposed);
  visit(state.diskLosses);
  visit(state.unwonVotes);
  visit(state.backupChanges);
  visit(state.replacements);
  visit(state.termsWon);
  visit(state.lost);
  visit(state.healthyMembers);
  visit(state.newestEstablished);
  visit(state.establishedData);
}

// Writes a short encoding of the state, which is unique per state, to `encoded`, which is cleared first.
inline void encode(const State& state, unsigned nodes, std::vector<std::uint8_t>& encoded) {
  encoded.clear();
  for (unsigned i = 0; i < nodes; ++i) {
    const Node& node = state.nodes[i];
    const std::uint8_t flags = static_cast<std::uint8_t>(node.votedFor | node.data << 3 |
                                                         node.hasEmptyDisk << 6 | node.isPrimary << 7);
    encoded.insert(encoded.end(), {node.votedEpoch, node.record, node.dataEpoch, node.lostEpoch, flags});
  }
  eachScalar(state, [&](std::uint8_t value) { encoded.push_back(value); });
  for (unsigned epoch = 0; epoch < kMaxEpochs; ++epoch) {
    const Record& record = state.records[epoch];
    if (!record.exists) continue;
    const std::uint8_t flags = static_cast<std::uint8_t>(record.primary | record.data << 3 |
                                                         record.committed << 6 | record.established << 7);
    encoded.insert(encoded.end(), {static_cast<std::uint8_t>(epoch), record.backups, record.members,
                                   record.oldMembers, record.previous, record.accepted, record.replicated,
                                   flags, static_cast<std::uint8_t>(record.undecided),
                                   static_cast<std::uint8_t>(record.undecided >> 8),
                                   static_cast<std::uint8_t>(record.undecided >> 16)});
  }
}

inline State decode(const std::uint8_t* encoded, std::size_t size, unsigned nodes) {
  State state;
  const std::uint8_t* const end = encoded + size;
  for (unsigned i = 0; i < nodes; ++i) {
    Node& node = state.nodes[i];
    node.votedEpoch = encoded[0];
    node.record = encoded[1];
    node.dataEpoch = encoded[2];
    node.lostEpoch = encoded[3];
    node.votedFor = encoded[4] & 7;
    node.data = (encoded[4] >> 3) & 7;
    node.hasEmptyDisk = (encoded[4] >> 6) & 1;
    node.isPrimary = encoded[4] >> 7;
    encoded += 5;
  }
  eachScalar(state, [&](std::uint8_t& value) { value = *encoded++; });
  for (; encoded < end; encoded += 11) {
    Record& record = state.records[encoded[0]];
    record.exists = 1;
    record.backups = encoded[1];
    record.members = encoded[2];
    record.oldMembers = encoded[3];
    record.previous = encoded[4];
    record.accepted = encoded[5];
    record.replicated = encoded[6];
    record.primary = encoded[7] & 7;
    record.data = (encoded[7] >> 3) & 7;
    record.committed = (encoded[7] >> 6) & 1;
    record.established = encoded[7] >> 7;
    record.undecided = encoded[8] | static_cast<std::uint32_t>(encoded[9]) << 8 |
                       static_cast<std::uint32_t>(encoded[10]) << 16;
  }
  return state;
}

constexpr std::uint64_t mix(std::uint64_t hash, std::uint64_t value) {
  hash = (hash ^ value) * 0x9E3779B97F4A7C15ull;
  return hash ^ (hash >> 29);
}

inline std::uint64_t hashOf(const std::vector<std::uint8_t>& encoded) {
  std::uint64_t hash = 0x51ED270B0A1F39C1ull + encoded.size();
  for (std::size_t at = 0; at < encoded.size(); at += 8) {
    std::uint64_t word = 0;
    std::memcpy(&word, encoded.data() + at, std::min<std::size_t>(8, encoded.size() - at));
    hash = mix(hash, word);
  }
  hash = mix(hash, hash >> 32);
  return hash == 0 ? 1 : hash;
}

using NodeIndexes = std::array<std::uint8_t, kMaxNodes>;  // the new index of each node

inline Mask permuted(Mask mask, const NodeIndexes& indexes, unsigned nodes) {
  Mask out = 0;
  for (unsigned i = 0; i < nodes; ++i)
    if (has(mask, i)) out = static_cast<Mask>(out | bit(indexes[i]));
  return out;
}

inline std::uint8_t permutedNode(std::uint8_t node, const NodeIndexes& indexes) {
  return node == kNobody ? kNobody : indexes[node];
}

inline State permuted(const State& state, const NodeIndexes& indexes, unsigned nodes) {
  State out = state;
  for (unsigned i = 0; i < nodes; ++i) {
    out.nodes[indexes[i]] = state.nodes[i];
    out.nodes[indexes[i]].votedFor = permutedNode(state.nodes[i].votedFor, indexes);
  }
  for (Record& record : out.records) {
    if (!record.exists) continue;
    record.primary = permutedNode(record.primary, indexes);
    record.backups = permuted(record.backups, indexes, nodes);
    record.members = permuted(record.members, indexes, nodes);
    record.oldMembers = permuted(record.oldMembers, indexes, nodes);
    record.accepted = permuted(record.accepted, indexes, nodes);
    record.replicated = permuted(record.replicated, indexes, nodes);
  }
  out.lost = permuted(state.lost, indexes, nodes);
  out.healthyMembers = permuted(state.healthyMembers, indexes, nodes);
  return out;
}

// Returns indexes under which most states that differ only by a permutation of the nodes become equal: the
// nodes are sorted by all their properties that do not depend on indexes. Nodes that differ but compare equal
// cost an additional state; no state is missed.
inline NodeIndexes canonicalIndexes(const State& state, unsigned nodes) {
  std::array<std::uint64_t, kMaxNodes> fingerprints{};
  for (unsigned i = 0; i < nodes; ++i) {
    const Node& node = state.nodes[i];
    std::uint64_t fingerprint =
        mix(1, node.votedEpoch | node.record << 8 | node.dataEpoch << 16 | node.lostEpoch << 24);
    fingerprint =
        mix(fingerprint, node.data | node.hasEmptyDisk << 4 | node.isPrimary << 5 | has(state.lost, i) << 6 |
                             has(state.healthyMembers, i) << 7 | (node.votedFor == i) << 8);
    for (unsigned epoch = 0; epoch < kMaxEpochs; ++epoch) {
      const Record& record = state.records[epoch];
      if (!record.exists) continue;
      fingerprint = mix(fingerprint, epoch << 8 | (record.primary == i) << 5 | has(record.backups, i) << 4 |
                                         has(record.members, i) << 3 | has(record.oldMembers, i) << 2 |
                                         has(record.accepted, i) << 1 | has(record.replicated, i));
    }
    fingerprints[i] = fingerprint;
  }
  const auto first = fingerprints;
  for (unsigned i = 0; i < nodes; ++i) {
    const std::uint8_t to = state.nodes[i].votedFor;
    if (to != kNobody) fingerprints[i] = mix(fingerprints[i], first[to]);
  }
  NodeIndexes indexes{};
  for (unsigned i = 0; i < nodes; ++i) {
    unsigned rank = 0;
    for (unsigned j = 0; j < nodes; ++j)
      if (fingerprints[j] < fingerprints[i] || (fingerprints[j] == fingerprints[i] && j < i)) ++rank;
    indexes[i] = static_cast<std::uint8_t>(rank);
  }
  return indexes;
}

}  // namespace model
