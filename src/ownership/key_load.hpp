// Counts of requests by bucket of keys. Gateways count, relays add up, and the primary keeps a decaying sum,
// by which ranges are placed. Merging is addition, so the order of reports does not matter. Times are ms.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ownership/key_range.hpp"

namespace lilacmux {

constexpr Key kKeysPerBucket = 16;
constexpr std::size_t kBucketCount = kKeyCount / kKeysPerBucket;

// Requests by service and bucket since the last report.
class KeyCounts {
 public:
  using Buckets = std::map<std::uint32_t, std::uint32_t>;  // requests by bucket

  void add(const std::string& service, Key key) { ++services_[service][key / kKeysPerBucket]; }
  void merge(const KeyCounts& other);
  void set(const std::string& service, std::uint32_t bucket, std::uint32_t count);
  bool empty() const { return services_.empty(); }
  const std::map<std::string, Buckets>& services() const { return services_; }

 private:
  std::map<std::string, Buckets> services_;
};

// The recent load of one service by bucket.
class KeyLoad {
 public:
  using Millis = double;

  void add(Millis now, const KeyCounts::Buckets& counts);
  // Returns the requests counted recently, older ones with less weight.
  double total() const { return total_; }
  // Returns the weight of the keys; load within a bucket counts as even.
  double weight(const KeyRange& keys) const;

 private:
  void decay(Millis now);

  std::vector<double> buckets_ = std::vector<double>(kBucketCount);
  double total_ = 0;
  Millis decayedAt_ = 0;
};

}  // namespace lilacmux
