// What a control node keeps on disk, in LevelDB: its promise, its record and the replicated state.
#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "control/replica.hpp"

namespace leveldb {
class DB;
}

namespace lilacmux {

class Store {
 public:
  using Log = std::function<void(const std::string&)>;

  // An empty folder makes a new store; a damaged one is repaired as far as its files tell, and where that
  // fails it is set aside and the node starts empty, as one that lost its disk. Throws std::runtime_error if
  // nothing can be kept in the folder at all.
  Store(const std::filesystem::path& folder, Log log);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  std::optional<Durable> read() const;  // nothing: empty
  // Returns once a loss of power cannot take it; false: it could not be written.
  bool write(const Durable& durable);

 private:
  void open(const std::filesystem::path& folder);

  const Log log_;
  std::unique_ptr<leveldb::DB> db_;
  std::uint64_t writtenSequence_ = 0;  // of the body that is on disk
  bool written_ = false;
};

}  // namespace lilacmux
