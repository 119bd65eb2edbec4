// The log that gatekeepers follow: the configuration and the servers, change by change, from a place on. Who
// is too far behind, or comes from another epoch, starts from a snapshot.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

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

class ChangeLog {
 public:
  static constexpr std::size_t kKept = 256;  // changes; who is further behind gets a snapshot
  // Entries in all of those together, where the list itself is shorter: beyond that a snapshot is as short.
  static constexpr std::size_t kLeastEntries = 256;

  explicit ChangeLog(std::uint64_t epoch = 0) : epoch_(epoch) {}

  // Notes what has changed against the list before.
  void servers(const std::vector<Instance>& list);
  void configuration(std::uint64_t revision, std::shared_ptr<const std::string> body);

  std::uint64_t epoch() const { return epoch_; }
  std::uint64_t place() const { return listed_ ? place_ : 0; }
  std::uint64_t revision() const { return revision_; }
  std::size_t changes() const { return changes_.size(); }  // kept
  std::size_t entries() const { return entries_; }         // in them
  const std::map<std::string, Instance>& list() const { return servers_; }

  struct News {
    std::uint64_t place = 0;  // the follower goes on from here
    bool snapshot = false;    // the servers are all there are
    std::vector<Instance> set;
    std::vector<std::string> gone;
    bool servers = false;                              // whether `set` and `gone` say anything
    std::shared_ptr<const std::string> configuration;  // if newer than the follower's
    std::uint64_t revision = 0;
  };
  News since(std::uint64_t epoch, std::uint64_t place, std::uint64_t revision) const;
  // What another log has told this one, which goes on telling it under the same places. Nothing older than
  // what is here is taken.
  void follow(std::uint64_t epoch, const News& news);

 private:
  struct Change {
    std::vector<Instance> set;
    std::vector<std::string> gone;
    std::uint64_t place = 0;  // after it
    std::size_t entries() const { return set.size() + gone.size(); }
  };
  void add(Change&& change);
  void clear(std::uint64_t place);

  std::uint64_t epoch_;
  std::uint64_t place_ = 1;   // after the newest change
  std::uint64_t oldest_ = 1;  // before the oldest one kept
  std::deque<Change> changes_;
  std::size_t entries_ = 0;  // in all of them
  std::map<std::string, Instance> servers_;
  bool listed_ = false;
  std::uint64_t revision_ = 0;
  std::shared_ptr<const std::string> body_;
};

}  // namespace lilacmux
