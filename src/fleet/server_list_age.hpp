// Tracks the age of the platform's server list, which limits the leases of gateways. No I/O and no clock;
// times are in ms of the reader's steady clock.
#pragma once

#include <optional>

#include "settings/settings.hpp"

namespace lilacmux {

class ServerListAge {
 public:
  using Millis = double;
  // Consecutive failed requests after which a reader that has not read any list yet considers the platform
  // down.
  static constexpr unsigned kFailuresUntilDown = 2;

  // Records that a scan of the list begins with its first page.
  void beginScan(Millis now) { scanStartedAt_ = now; }
  // Records that a page was received, even if late: a reader cannot distinguish a slow platform from
  // congestion of its own link.
  void pageReceived() { failures_ = 0; }
  // Records that the last page of the scan was received: the list is known as of the start of the scan.
  void completeScan();
  // Records that a request received no response. The time between two consecutive failures does not count
  // towards the age, because the platform was down in between. Time before the first failure does count, as
  // that failure may be due to the reader's own link.
  void requestFailed(Millis now);

  // Returns the time up to which the reader knows the list. Absent if no list was read and the platform has
  // not been found to be down.
  std::optional<Millis> asOf() const { return asOf_; }

 private:
  Millis scanStartedAt_ = 0;
  unsigned failures_ = 0;  // consecutive
  Millis failedAt_ = 0;    // time of the last failure
  std::optional<Millis> asOf_;
};

// Returns the time by which the age of a server list exceeds the age that a gateway's lease allows for, ms. A
// gateway that loses contact continues serving for its lease (`servingLeaseMs`), but must not send requests
// to a server for longer than `drainTimeoutMs` after the platform has listed the server as draining. `asOf`:
// of the list, see ServerListAge::asOf.
//
// The result ranges from 0, if the lease is the stricter bound or there is no bound, to the lease minus 700
// ms. It is absent if `asOf` is.
std::optional<double> excessListAge(double now, std::optional<double> asOf, const ServiceBounds& bounds);

}  // namespace lilacmux
