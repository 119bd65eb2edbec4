// Messages between the system's own processes, as frames.
#pragma once

#include <algorithm>
#include <iterator>
#include <optional>

#include "control/change_log.hpp"
#include "control/replica.hpp"
#include "control/retry_ledger.hpp"
#include "control/shares.hpp"
#include "net/frames.hpp"

namespace lilacmux {

Frame toFrame(const Message& message);
// Nothing: not a message between members.
std::optional<Message> messageOf(Frame&& frame);

// What a gatekeeper asks for: the log from its place on, and shares for its demand.
struct FollowCall {
  std::string name;
  std::uint64_t epoch = 0, place = 0, revision = 0;
  std::vector<ShareLedger::Demand> demands;
  RetryLedger::Rates requests;               // a second, by service
  std::vector<ShareLedger::Demand> retries;  // of the budgets of further tries
};
struct FollowAnswer {
  std::string leader;  // not empty: ask there
  std::uint64_t epoch = 0;
  ChangeLog::News news;
  std::size_t gatekeepers = 0;
  std::uint64_t grant = 0;
  std::vector<ShareLedger::Grant> grants;
  std::uint64_t retryGrant = 0;
  std::vector<ShareLedger::Grant> retries;
  std::vector<NodeId> core;  // its members, as the one that answers knows them
};

Frame toFrame(const FollowCall& call);
std::optional<FollowCall> followCallOf(const Frame& frame);
Frame toFrame(const FollowAnswer& answer);
std::optional<FollowAnswer> followAnswerOf(Frame&& frame);

}  // namespace lilacmux
