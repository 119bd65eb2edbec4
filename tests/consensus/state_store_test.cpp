// The state store after power loss, on a full disk and after damage.
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
  Disk disk(UnreliableDisk& weak) {
    return {folder, &weak, [&weak](const std::filesystem::path&) { return weak.syncFolder(); }};
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
    out.state = {number, number, std::make_shared<const std::string>(std::move(body)), {}, {"g"}};
    out.state.accepted = AcceptedChanges(number / 2, {{number, sha256(*out.state.body)}});
    return out;
  }

  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("lilacmux-store-" + std::to_string(::getpid())) / "control";
  std::vector<std::string> said;
  const StateStore::Log log = [this](const std::string& line) { said.push_back(line); };
};

TEST_F(StateStoreTest, GivesBackWhatWasWritten) {
  const DurableState kept = sample(4);
  {
    StateStore store(disk(), log);
    EXPECT_FALSE(store.read());
    EXPECT_TRUE(store.write(kept));
  }
  StateStore store(disk(), log);
  const auto read = store.read();
  ASSERT_TRUE(read);
  EXPECT_EQ(read->record.members, kept.record.members);
  EXPECT_EQ(read->record.oldMembers, kept.record.oldMembers);
  EXPECT_EQ(read->record.previous, kept.record.previous);
  EXPECT_EQ(read->record.undecided, kept.record.undecided);
  EXPECT_EQ(read->votedEpoch, 4u);
  EXPECT_EQ(read->record.epoch, 4u);
  EXPECT_EQ(*read->state.body, *kept.state.body);
  EXPECT_EQ(read->state.accepted, kept.state.accepted);
  EXPECT_EQ(read->state.grantHolders, kept.state.grantHolders);
  EXPECT_TRUE(said.empty());
}

// A change that was proposed and never held may carry the number that another primary's change has got.
TEST_F(StateStoreTest, AnotherBodyUnderTheSameSequenceIsWritten) {
  DurableState kept = sample(4);
  {
    StateStore store(disk(), log);
    EXPECT_TRUE(store.write(kept));
    kept.state.body = std::make_shared<const std::string>("another");
    EXPECT_TRUE(store.write(kept));
  }
  EXPECT_EQ(*StateStore(disk(), log).read()->state.body, "another");
}

// Files of form 1 told older changes by hashes of 64 bits. The current one is known by its bytes; each other
// one counts as possibly accepted.
TEST_F(StateStoreTest, FormOneIsReadAndItsOlderChangesAreNeitherConfirmedNorRejected) {
  DurableState kept = sample(7);
  const Digest digest = sha256(*kept.state.body);
  kept.state.accepted = AcceptedChanges(0, {{3, sha256("three")}, {7, digest}});
  {
    StateStore store(disk(), log);
    EXPECT_TRUE(store.write(kept));
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
    kept = store.read().value();
    EXPECT_EQ(kept.state.accepted, expected);
    EXPECT_TRUE(kept.state.accepted.mayHaveCompacted(3));
    EXPECT_TRUE(store.write(kept));
  }
  EXPECT_EQ(StateStore(disk(), log).read()->state.accepted, expected) << "what an older build left is gone";
  EXPECT_TRUE(said.empty());
}

// Whichever state follows another, what is read is what was written last.
TEST_F(StateStoreTest, AcceptedChangesAreKeptInStep) {
  std::mt19937_64 random(1);
  std::optional<StateStore> store(std::in_place, disk(), log);
  for (int round = 0; round < 200; ++round) {
    DurableState next = sample(40);
    std::vector<AcceptedChange> entries;
    for (std::uint64_t revision = 10; revision < 40; ++revision)
      if (random() % 3 > 0) entries.push_back({revision, sha256(std::to_string(random() % 2))});
    next.state.accepted = AcceptedChanges(random() % 10, entries);
    ASSERT_TRUE(store->write(next));
    if (round % 10 == 0) store.emplace(disk(), log);
    ASSERT_EQ(store->read()->state.accepted, next.state.accepted);
  }
}

TEST_F(StateStoreTest, ALossOfPowerTakesNothingThatWasWritten) {
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    std::filesystem::remove_all(folder.parent_path());
    UnreliableDisk weak(seed);
    std::mt19937_64 random(seed);
    std::uint64_t number = 0;
    for (int life = 0; life < 5; ++life) {
      {
        StateStore store(disk(weak), log);
        const auto read = store.read();
        ASSERT_EQ(read ? read->votedEpoch : 0, number) << "seed " << seed << " life " << life;
        if (read) {
          ASSERT_EQ(*read->state.body, *sample(number, 20000).state.body);
        }
        ASSERT_FALSE(store.wasMovedAside());
        for (auto writes = random() % 20; writes > 0; --writes)
          ASSERT_TRUE(store.write(sample(++number, 20000)));
      }
      weak.losePower();
    }
  }
}

TEST_F(StateStoreTest, AFullDiskIsReportedAndLosesNothingAndIsUsedAgain) {
  UnreliableDisk weak(1);
  {
    StateStore store(disk(weak), log);
    EXPECT_TRUE(store.write(sample(1)));
    weak.full = true;
    EXPECT_FALSE(store.write(sample(2)));
    weak.full = false;
    EXPECT_FALSE(store.write(sample(2))) << "nothing more through what has failed";
  }
  weak.full = true;
  EXPECT_THROW(StateStore(disk(weak), log), std::runtime_error);
  weak.full = false;
  StateStore store(disk(weak), log);
  EXPECT_FALSE(store.wasMovedAside());
  ASSERT_TRUE(store.read());
  EXPECT_GE(store.read()->votedEpoch, 1u);
  EXPECT_TRUE(store.write(sample(3)));
}

TEST_F(StateStoreTest, WhatIsDamagedBeyondRepairIsSetAsideAndLogged) {
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
  EXPECT_FALSE(said.empty());
  EXPECT_TRUE(store.write(sample(2)));
}

}  // namespace
}  // namespace lilacmux::test
