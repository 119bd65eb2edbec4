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

// The directory of the store and the function that makes its entries durable. Tests replace both.
struct Disk {
  std::filesystem::path folder;
  leveldb::Env* env = nullptr;  // null: leveldb::Env::Default()
  std::function<bool(const std::filesystem::path&)> syncFolder;
};
// Syncs the directory, so that its entries are durable. Returns false on failure.
bool syncFolder(const std::filesystem::path& folder);

class StateStore {
 public:
  using Log = std::function<void(const std::string&)>;

  // Opens the store, or creates it if the directory is empty. A corrupt store is repaired as far as its files
  // allow; if that fails, it is moved aside and the node starts empty, as after a disk loss. Throws
  // std::runtime_error if the directory cannot be written to (for instance, the disk is full); its contents
  // stay unchanged.
  StateStore(Disk disk, Log log);
  ~StateStore();
  StateStore(const StateStore&) = delete;
  StateStore& operator=(const StateStore&) = delete;

  std::optional<DurableState> read() const;  // nullopt: the store is empty
  // Returns true once the state survives a power loss. Returns false if it cannot be written; all later
  // writes through this object fail too.
  bool write(const DurableState& durable);
  // Returns whether the store was corrupt beyond repair, so that the node starts as after a disk loss.
  bool wasMovedAside() const { return movedAside_; }

 private:
  bool open();  // false: the store is corrupt beyond repair
  void moveAside();
  void loadWrittenState();
  std::vector<AcceptedChange> readAcceptedEntries() const;

  const Disk disk_;
  const Log log_;
  std::unique_ptr<leveldb::DB> db_;
  // The state on disk, so that only differences are written.
  std::shared_ptr<const std::string> writtenBody_, writtenOwnership_;
  std::vector<AcceptedChange> writtenAccepted_;
  bool movedAside_ = false, failed_ = false;
};

}  // namespace lilacmux
