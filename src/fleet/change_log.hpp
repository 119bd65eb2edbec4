// The log that gatekeepers follow: the configuration and the servers, change by change, from a place on. A
// new primary's log goes on from the list that it has followed itself, and a relay that is sent a snapshot
// works out what it changes, so a take-over costs a gatekeeper what has changed and no more. Who is too far
// behind, or has a list that did not lead to this one, starts from a snapshot.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fleet/configuration_pack.hpp"

namespace lilacmux {

// A server as the platform lists it.
struct Instance {
  std::string id;
  std::string service;
  std::string address;  // ip:port
  std::string zone;
  unsigned capacity = 0;
  bool draining = false;
  double warmupMs = 0;  // how much longer it is slow, when it was listed; not compared
  // Takes over what holds for the rest of an instance's life, whatever a list that lags says later: one that
  // was seen draining never becomes available again. A server that starts anew has another id.
  void inherit(const Instance& before) { draining = draining || before.draining; }
  bool operator==(const Instance& other) const {
    return id == other.id && service == other.service && address == other.address && zone == other.zone &&
           capacity == other.capacity && draining == other.draining;
  }
};

void to_json(nlohmann::json& out, const Instance& instance);
void from_json(const nlohmann::json& in, Instance& instance);

// Names one state of the list of servers: the changes of one epoch are numbered by its primary alone.
struct ListPosition {
  std::uint64_t epoch = 0;  // 0: no list
  std::uint64_t place = 0;
  auto operator<=>(const ListPosition&) const = default;
};

class ChangeLog {
 public:
  static constexpr std::size_t kKept = 256;  // changes; who is further behind gets a snapshot
  // Entries in all of those together, where the list itself is shorter: beyond that a snapshot is as short.
  static constexpr std::size_t kLeastEntries = 256;

  explicit ChangeLog(std::uint64_t epoch = 0) : epoch_(epoch) {}
  // The log of a new primary that has followed `before` until now: the same list, not told by this epoch yet.
  static ChangeLog continuing(std::uint64_t epoch, const ChangeLog& before);

  // Notes what has changed against the list before.
  void servers(const std::vector<Instance>& list);
  void configuration(std::uint64_t revision, std::shared_ptr<const std::string> body);

  std::uint64_t epoch() const { return epoch_; }
  // Whether this epoch's primary has told a list.
  bool listed() const { return listed_; }
  std::uint64_t place() const { return listed_ ? position().place : 0; }
  // Of the list that is here, whichever epoch's.
  ListPosition position() const { return changes_.empty() ? base_ : changes_.back().after; }
  std::uint64_t revision() const { return revision_; }
  std::size_t changes() const { return changes_.size(); }  // kept
  std::size_t entries() const { return entries_; }         // in them
  const std::map<std::string, Instance>& list() const { return servers_; }

  struct News {
    bool listed = false;      // else nothing is said of servers, and the follower keeps what it has
    std::uint64_t place = 0;  // the follower goes on from here
    bool snapshot = false;    // the servers are all there are
    std::vector<Instance> set;
    std::shared_ptr<const Packed> packedSet;  // in place of `set`, for one that unpacks
    std::vector<std::string> gone;
    bool servers = false;                               // whether `set` and `gone` say anything
    std::shared_ptr<const std::string> configuration;   // if newer than the follower's
    std::shared_ptr<const PackedConfiguration> packed;  // or so
    std::uint64_t revision = 0;
    // The configuration that it brings to one that has this version. Nothing: none, or it cannot be unpacked.
    std::shared_ptr<const std::string> configurationFor(std::uint64_t has, const std::string* body) const;
  };
  // What a follower lacks whose list is the one at `at`.
  News since(const ListPosition& at, std::uint64_t revision) const;
  // What another log has told this one, which goes on telling it under the same places. Nothing older than
  // what is here is taken.
  void follow(std::uint64_t epoch, const News& news);

 private:
  using Servers = std::map<std::string, Instance>;  // by id
  struct Change {
    ListPosition after;
    std::vector<Instance> set;
    std::vector<std::string> gone;
    std::size_t entries() const { return set.size() + gone.size(); }
  };
  Servers inheriting(const std::vector<Instance>& list) const;
  void replace(Servers&& now, const ListPosition& after);
  void apply(const News& news, const ListPosition& after);
  void add(Change&& change);
  void enter(std::uint64_t epoch);
  std::optional<std::size_t> changesUpTo(const ListPosition& at) const;

  std::uint64_t epoch_;
  bool listed_ = false;
  Servers servers_;
  ListPosition base_;           // before the oldest change kept
  std::deque<Change> changes_;  // one after another, over epochs
  std::size_t entries_ = 0;     // in all of them
  std::uint64_t revision_ = 0;
  std::shared_ptr<const std::string> body_;
};

}  // namespace lilacmux
