// The state store after a power loss, on a full disk and after corruption.
#include "consensus/state_store.hpp"

#include <gtest/gtest.h>
#include <leveldb/db.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include "consensus/unreliable_disk.hpp"

namespace lilacmux::test {
namespace {

class StateStoreTest : public testing::Test {
 public:
  StateStoreTest() { std::filesystem::remove_all(folder.parent_path()); }
  ~StateStoreTest() override { std::filesystem::remove_all(folder.parent_path()); }

 protected:
  Disk disk() { return {folder, nullptr, nullptr}; }
  Disk disk(UnreliableDisk& unreliable) {
    return {folder, &unreliable,
            [&unreliable](const std::filesystem::path&) { return unreliable.syncFolder(); }};
  }
  static DurableState sample(std::uint64_t number, std::size_t bytes = 2) {
    DurableState out;
    out.votedEpoch = number;
    out.votedFor = "a";
    out.record = {
        number, number - 1, "a", std::vector<NodeId>{"b"}, {"a", "b"}, {"b", "c"}, {{number, "a", {"c"}}}};
    out.dataEpoch = number;
    std::string body(bytes, '\0');
    body += std::to_string(number);
    out.state = {number, number, std::make_shared<const std::string>(std::move(body)),
                 {},     {"g"},  std::make_shared<const std::string>("table " + std::to_string(number))};
    out.state.accepted = AcceptedChanges(number / 2, {{number, sha256(*out.state.body)}});
    return out;
  }

  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("lilacmux-store-" + std::to_string(::getpid())) / "control";
  std::vector<std::string> logLines;
  const StateStore::Log log = [this](const std::string& line) { logLines.push_back(line); };
};

TEST_F(StateStoreTest, ReadsTheStateThatWasWritten) {
  const DurableState durable = sample(4);
  {
    StateStore store(disk(), log);
    EXPECT_FALSE(store.read());
    EXPECT_TRUE(store.write(durable));
  }
  StateStore store(disk(), log);
  const auto read = store.read();
  ASSERT_TRUE(read);
  EXPECT_EQ(read->record.members, durable.record.members);
  EXPECT_EQ(read->record.oldMembers, durable.record.oldMembers);
  EXPECT_EQ(read->record.previous, durable.record.previous);
  EXPECT_EQ(read->record.undecided, durable.record.undecided);
  EXPECT_EQ(read->votedEpoch, 4u);
  EXPECT_EQ(read->record.epoch, 4u);
  EXPECT_EQ(*read->state.body, *durable.state.body);
  EXPECT_EQ(read->state.accepted, durable.state.accepted);
  EXPECT_EQ(read->state.grantHolders, durable.state.grantHolders);
  EXPECT_TRUE(logLines.empty());
}

// A proposed change that was never committed may have the same sequence as a later change of another primary.
TEST_F(StateStoreTest, WritesAnotherBodyWithTheSameSequence) {
  DurableState durable = sample(4);
  {
    StateStore store(disk(), log);
    EXPECT_TRUE(store.write(durable));
    durable.state.body = std::make_shared<const std::string>("another");
    EXPECT_TRUE(store.write(durable));
  }
  EXPECT_EQ(*StateStore(disk(), log).read()->state.body, "another");
}

// Files of format version 1 identify older changes by 64-bit hashes. Only the current change is known, by its
// body; every older revision counts as possibly accepted.
TEST_F(StateStoreTest, ReadsFormatVersionOneAndCountsItsOlderChangesAsCompacted) {
  DurableState durable = sample(7);
  const Digest digest = sha256(*durable.state.body);
  durable.state.accepted = AcceptedChanges(0, {{3, sha256("three")}, {7, digest}});
  {
    StateStore store(disk(), log);
    EXPECT_TRUE(store.write(durable));
  }
  {
    leveldb::DB* opened = nullptr;
    ASSERT_TRUE(leveldb::DB::Open({}, folder.string(), &opened).ok());
    const std::unique_ptr<leveldb::DB> db(opened);
    std::string text;
    ASSERT_TRUE(db->Get({}, "meta", &text).ok());
    auto meta = nlohmann::json::parse(text);
    meta["form"] = 1;
    meta.erase("forgottenRevision");
    meta["taken"] = {{3, 333}, {7, 777}};
    ASSERT_TRUE(db->Put({}, "meta", meta.dump()).ok());
  }
  const AcceptedChanges expected(6, {{7, digest}});
  {
    StateStore store(disk(), log);
    durable = store.read().value();
    EXPECT_EQ(durable.state.accepted, expected);
    EXPECT_TRUE(durable.state.accepted.mayHaveCompacted(3));
    EXPECT_TRUE(store.write(durable));
  }
  EXPECT_EQ(StateStore(disk(), log).read()->state.accepted, expected)
      << "the keys left by an older build must be deleted";
  EXPECT_TRUE(logLines.empty());
}

// Writes random sequences of accepted changes one after another; each read returns the last one written.
TEST_F(StateStoreTest, ReadsTheAcceptedChangesWrittenLast) {
  std::mt19937_64 random(1);
  std::optional<StateStore> store(std::in_place, disk(), log);
  for (int iteration = 0; iteration < 200; ++iteration) {
    DurableState next = sample(40);
    std::vector<AcceptedChange> entries;
    for (std::uint64_t revision = 10; revision < 40; ++revision)
      if (random() % 3 > 0) entries.push_back({revision, sha256(std::to_string(random() % 2))});
    next.state.accepted = AcceptedChanges(random() % 10, entries);
    ASSERT_TRUE(store->write(next));
    if (iteration % 10 == 0) store.emplace(disk(), log);
    ASSERT_EQ(store->read()->state.accepted, next.state.accepted);
  }
}

TEST_F(StateStoreTest, WrittenStateSurvivesAPowerLoss) {
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    std::filesystem::remove_all(folder.parent_path());
    UnreliableDisk unreliable(seed);
    std::mt19937_64 random(seed);
    std::uint64_t number = 0;
    for (int run = 0; run < 5; ++run) {
      {
        StateStore store(disk(unreliable), log);
        const auto read = store.read();
        ASSERT_EQ(read ? read->votedEpoch : 0, number) << "seed " << seed << " run " << run;
        if (read) {
          ASSERT_EQ(*read->state.body, *sample(number, 20000).state.body);
        }
        ASSERT_FALSE(store.wasMovedAside());
        for (auto writes = random() % 20; writes > 0; --writes)
          ASSERT_TRUE(store.write(sample(++number, 20000)));
      }
      unreliable.losePower();
    }
  }
}

TEST_F(StateStoreTest, ReportsAFullDiskWithoutLossAndRecovers) {
  UnreliableDisk unreliable(1);
  {
    StateStore store(disk(unreliable), log);
    EXPECT_TRUE(store.write(sample(1)));
    unreliable.full = true;
    EXPECT_FALSE(store.write(sample(2)));
    unreliable.full = false;
    EXPECT_FALSE(store.write(sample(2))) << "no write may succeed after a failed one";
  }
  unreliable.full = true;
  EXPECT_THROW(StateStore(disk(unreliable), log), std::runtime_error);
  unreliable.full = false;
  StateStore store(disk(unreliable), log);
  EXPECT_FALSE(store.wasMovedAside());
  ASSERT_TRUE(store.read());
  EXPECT_GE(store.read()->votedEpoch, 1u);
  EXPECT_TRUE(store.write(sample(3)));
}

TEST_F(StateStoreTest, MovesACorruptStoreAsideAndLogsIt) {
  {
    StateStore store(disk(), log);
    EXPECT_TRUE(store.write(sample(1)));
  }
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().filename() == "LOCK") continue;
    std::ofstream(entry.path(), std::ios::binary | std::ios::trunc) << std::string(200, 'x');
  }
  StateStore store(disk(), log);
  EXPECT_FALSE(store.read());
  EXPECT_FALSE(logLines.empty());
  EXPECT_TRUE(store.write(sample(2)));
}

}  // namespace
}  // namespace lilacmux::test
