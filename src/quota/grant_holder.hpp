// The holder's side of a ledger of shares: sends reports and applies the replies. Implemented by a gatekeeper
// (`Admission`) and by a relay (`ShareRelay`). The host sends a report about every 250 ms, or at once when
// tokens are short, with at most one request in flight:
//
//   demands(...) -> request -> responseReceived(...), then applyGrant(...) for each grant of the reply
//                          -> requestFailed()
//
// Times are ms of the host's monotonic clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "quota/share_messages.hpp"
#include "quota/share_timing.hpp"

namespace lilacmux {

class GrantHolder {
 public:
  using Millis = double;

  virtual ~GrantHolder() = default;
  GrantHolder& operator=(const GrantHolder&) = delete;
  GrantHolder& operator=(GrantHolder&&) = delete;

  // Returns the next report and marks the tenants in it as reported.
  virtual std::vector<ShareDemand> demands(Millis now, ReportScope scope) = 0;
  // Returns the last report before this holder shuts down, with the tokens that go back to the ledger.
  virtual std::vector<ShareDemand> finalDemands(Millis now) = 0;

  // Handles the reply to the last report, which was sent at `sentAt`. Grants expire at `leaseUntil`.
  virtual void responseReceived(Millis now, Millis sentAt, Millis leaseUntil) = 0;
  virtual void applyGrant(Millis now, const ShareGrant& grant, std::uint64_t grantNumber) = 0;
  // Handles a report without a reply: its tenants are reported again.
  virtual void requestFailed() = 0;

 protected:
  static constexpr Millis kNever = -1e18;

  explicit GrantHolder(const ShareTiming& timing) : timing_(timing) {}
  GrantHolder(const GrantHolder&) = default;
  GrantHolder(GrantHolder&&) = default;

  void renewLease(Millis sentAt, Millis leaseUntil) {
    sentAt_ = sentAt;
    leaseUntil_ = leaseUntil;
  }
  bool hadLease() const { return leaseUntil_ > 0; }
  bool isExpired(Millis now) const { return now >= leaseUntil_; }
  bool isDisconnected(Millis now) const { return now >= sentAt_ + timing_.disconnectedAfter; }

  // Returns the part of the time from `filledTo` to `now` in which the holder was disconnected and had a
  // lease, so that it may use its granted rate. The span is empty if `to <= from`.
  struct Span {
    Millis from, to;
  };
  Span disconnectedSince(Millis filledTo, Millis now) const {
    return {std::max(filledTo, sentAt_ + timing_.disconnectedAfter), std::min(now, leaseUntil_)};
  }

  const ShareTiming& timing() const { return timing_; }

 private:
  const ShareTiming timing_;
  Millis sentAt_ = kNever;  // send time of the last report that was answered
  Millis leaseUntil_ = kNever;
};

}  // namespace lilacmux
