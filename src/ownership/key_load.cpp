#include "ownership/key_load.hpp"

#include <cmath>

namespace lilacmux {
namespace {

constexpr KeyLoad::Millis kDecayInterval = 500;
constexpr KeyLoad::Millis kTimeConstant = 5000;  // after which a request counts 1/e

}  // namespace

void KeyCounts::merge(const KeyCounts& other) {
  for (const auto& [service, buckets] : other.services_)
    for (const auto& [bucket, count] : buckets) services_[service][bucket] += count;
}

void KeyCounts::set(const std::string& service, std::uint32_t bucket, std::uint32_t count) {
  if (bucket < kBucketCount) services_[service][bucket] = count;
}

void KeyLoad::decay(Millis now) {
  const Millis elapsed = now - decayedAt_;
  if (elapsed < kDecayInterval) return;
  decayedAt_ = now;
  const double factor = std::exp(-elapsed / kTimeConstant);
  total_ = 0;
  for (double& bucket : buckets_) total_ += bucket *= factor;
}

void KeyLoad::add(Millis now, const KeyCounts::Buckets& counts) {
  decay(now);
  for (const auto& [bucket, count] : counts) {
    buckets_[bucket] += count;
    total_ += count;
  }
}

double KeyLoad::weight(const KeyRange& keys) const {
  double out = 0;
  for (Key bucket = keys.first / kKeysPerBucket; bucket <= keys.last / kKeysPerBucket; ++bucket) {
    const Key first = std::max(keys.first, bucket * kKeysPerBucket);
    const Key last = std::min(keys.last, bucket * kKeysPerBucket + kKeysPerBucket - 1);
    out += buckets_[bucket] * (last - first + 1) / kKeysPerBucket;
  }
  return out;
}

}  // namespace lilacmux
