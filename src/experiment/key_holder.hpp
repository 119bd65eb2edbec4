// A stand-in for a server of a sharded service: holds keys by grants as the operators' protocol page
// describes it. A hold counts from a grant's arrival on the server's own clock; a lower fence than one seen
// on a key is rejected; a release ends the hold and brings a token; keys received without the previous
// holder's token are slow for a while. No I/O and no clock; times are in ms of the world's clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "ownership/key_range.hpp"

namespace lilacmux {

class KeyHolder {
 public:
  using Millis = double;

  // `clockRate`: ms of the server's clock in one ms of the world; below 1: a slow clock.
  KeyHolder(std::string name, double clockRate)
      : name_(std::move(name)), clockRate_(clockRate), keys_(kKeyCount) {}

  // Returns the HTTP status of the response.
  unsigned grant(Millis now, const KeyRange& range, Fence fence, Millis holdMs) {
    if (range.first > range.last || range.last >= kKeyCount || holdMs <= 0) return kBadRequest;
    for (Key key = range.first; key <= range.last; ++key)
      if (keys_[key].fence > fence) return kConflict;
    for (Key key = range.first; key <= range.last; ++key)
      keys_[key] = {fence, std::max(keys_[key].heldUntil, now + holdMs / clockRate_)};
    return kOk;
  }
  // Returns the token for the next server.
  std::string release(Millis now, const KeyRange& range) {
    for (Key key = range.first; key <= range.last && key < kKeyCount; ++key)
      keys_[key].heldUntil = std::min(keys_[key].heldUntil, now);
    return name_ + "-" + std::to_string(++tokens_);
  }
  bool holds(Millis now, Key key) const { return keys_[key].heldUntil > now; }

 private:
  static constexpr unsigned kOk = 200, kBadRequest = 400, kConflict = 409;
  struct HeldKey {
    Fence fence = 0;  // the highest seen
    Millis heldUntil = -1;
  };

  const std::string name_;
  const double clockRate_;
  std::vector<HeldKey> keys_;
  std::uint64_t tokens_ = 0;
};

}  // namespace lilacmux
