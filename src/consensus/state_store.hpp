// Stores the durable state of a control node in LevelDB.
#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "consensus/durable_state.hpp"

namespace leveldb {
class DB;
class Env;
}  // namespace leveldb

namespace lilacmux {

// The directory of the store and how its entries are made durable. Tests replace both.
struct Disk {
  std::filesystem::path folder;
  leveldb::Env* env = nullptr;  // null: LevelDB's default
  std::function<bool(const std::filesystem::path&)> syncFolder;
};
// Makes the directory's entries durable; false: it cannot be synced.
bool syncFolder(const std::filesystem::path& folder);

class StateStore {
 public:
  using Log = std::function<void(const std::string&)>;

  // An empty folder makes a new store; a damaged one is repaired as far as its files allow, and if that
  // fails it is set aside and the node starts empty, as after a disk loss. Throws std::runtime_error if
  // nothing can be stored in the folder now (for instance, the disk is full); its contents stay as they are.
  StateStore(Disk disk, Log log);
  ~StateStore();
  StateStore(const StateStore&) = delete;
  StateStore& operator=(const StateStore&) = delete;

  std::optional<DurableState> read() const;  // nothing: empty
  // Returns once the state survives a power loss; false: it could not be written, and this object writes
  // nothing more.
  bool write(const DurableState& durable);
  // The store was damaged beyond repair: the node starts as after a disk loss.
  bool wasMovedAside() const { return movedAside_; }

 private:
  bool open();  // false: what is there is damaged
  void moveAside();
  void loadWrittenState();
  std::vector<AcceptedChange> readAcceptedEntries() const;

  const Disk disk_;
  const Log log_;
  std::unique_ptr<leveldb::DB> db_;
  // What the disk holds, so that only what differs is written.
  std::shared_ptr<const std::string> writtenBody_;
  std::vector<AcceptedChange> writtenAccepted_;
  bool movedAside_ = false, failed_ = false;
};

}  // namespace lilacmux
