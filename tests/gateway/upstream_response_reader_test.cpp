// What the head of an upstream response says of the attempt that it answers.
#include "gateway/upstream_response_reader.hpp"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace lilacmux::test {
namespace {

TEST(UpstreamResponseReader, OnlyWhatSaysSoHasNotRun) {
  const UpstreamResponseReader answers;
  AttemptOutcome outcome;
  const auto read = [&](unsigned status, std::vector<std::pair<const char*, const char*>> fields) {
    http::response_header<> head;
    head.result(status);
    for (const auto& [name, value] : fields) head.insert(name, value);
    return answers.read(head, outcome);
  };
  EXPECT_EQ(read(200, {{"X-Server-Seal", "s"}}), AttemptResult::ok);
  EXPECT_EQ(read(200, {}), AttemptResult::malformed);
  EXPECT_EQ(read(200, {{"X-Server-Seal", "s"}, {"Content-Encoding", "gzip"}}), AttemptResult::malformed);
  EXPECT_EQ(read(503, {}), AttemptResult::error);
  EXPECT_EQ(read(503, {{"X-Not-Executed", "1"}}), AttemptResult::full);
  EXPECT_EQ(read(421, {}), AttemptResult::full);
  EXPECT_EQ(read(500, {{"X-Server-Seal", "s"}}), AttemptResult::error);
  EXPECT_EQ(read(404, {{"X-Server-Seal", "s"}}), AttemptResult::ok);
}

TEST(UpstreamResponseReader, OnlyOneIdAndAtMostOneSealTellWhoseAResponseIs) {
  const UpstreamResponseReader answers;
  const auto owner = [&](std::vector<std::pair<const char*, const char*>> fields) {
    http::response_header<> head;
    for (const auto& [name, value] : fields) head.insert(name, value);
    return answers.ownership(head, "a");
  };
  EXPECT_EQ(owner({{"X-Attempt-Id", "a"}, {"X-Server-Seal", "s"}}), ResponseOwnership::ours);
  EXPECT_EQ(owner({{"X-Attempt-Id", "b"}, {"X-Server-Seal", "s"}}), ResponseOwnership::anothers);
  EXPECT_EQ(owner({{"X-Server-Seal", "s"}}), ResponseOwnership::unknown);
  EXPECT_EQ(owner({{"X-Attempt-Id", "a"}, {"X-Attempt-Id", "a"}}), ResponseOwnership::unknown);
  EXPECT_EQ(owner({{"X-Attempt-Id", "a"}, {"X-Server-Seal", "s"}, {"X-Server-Seal", "t"}}),
            ResponseOwnership::unknown);
}

}  // namespace
}  // namespace lilacmux::test
