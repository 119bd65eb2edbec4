// A disk over real files with exactly the guarantees stated in DEPLOY.md: the bytes of a file are durable
// once the file is synced, and a renaming or removal is durable once its directory is synced. A simulated
// power loss drops a part of everything else, drawn from the seed.
#pragma once

#include <leveldb/env.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace lilacmux::test {

class UnreliableDisk : public leveldb::EnvWrapper {
 public:
  explicit UnreliableDisk(std::uint64_t seed) : EnvWrapper(leveldb::Env::Default()), random_(seed) {}

  std::atomic<bool> full = false;  // rejects further writes

  bool syncFolder() {
    const std::lock_guard lock(mutex_);
    nameChanges_.clear();
    return !full;
  }

  // Simulates a power loss. No store may be open.
  void losePower() {
    // Reverts changes of names first, from the newest to the oldest; a restored file has its bytes of that
    // time.
    std::reverse(nameChanges_.begin(), nameChanges_.end());
    for (const auto& change : nameChanges_) {
      if (chance() < 0.5) continue;
      if (!change.from.empty() && std::filesystem::exists(change.to))
        std::filesystem::rename(change.to, change.from);
      if (change.existed) write(change.to, change.bytes);
    }
    nameChanges_.clear();
    for (const auto& [file, synced] : synced_) {
      if (!std::filesystem::exists(file)) continue;
      std::string bytes = read(file);
      if (bytes.size() <= synced.bytes) continue;
      if (!synced.wasEverSynced && chance() < 0.5) {
        std::filesystem::remove(file);
        continue;
      }
      const auto remaining = synced.bytes + static_cast<std::size_t>(
                                                chance() * static_cast<double>(bytes.size() - synced.bytes));
      if (chance() < 0.3 && remaining < bytes.size())
        bytes[remaining] = static_cast<char>(bytes[remaining] ^ 0x55);  // a torn write
      else
        bytes.resize(remaining);
      write(file, bytes);
    }
    synced_.clear();
  }

  leveldb::Status NewWritableFile(const std::string& file, leveldb::WritableFile** out) override {
    const std::lock_guard lock(mutex_);
    if (full) return leveldb::Status::IOError(file, "No space left on device");
    leveldb::Status status = target()->NewWritableFile(file, out);
    if (status.ok()) *out = new File(*this, file, *out), synced_[file] = {};
    return status;
  }
  leveldb::Status NewAppendableFile(const std::string& file, leveldb::WritableFile** out) override {
    const std::lock_guard lock(mutex_);
    const std::size_t existingBytes = std::filesystem::exists(file) ? std::filesystem::file_size(file) : 0;
    leveldb::Status status = target()->NewAppendableFile(file, out);
    if (status.ok())
      *out = new File(*this, file, *out), synced_.try_emplace(file, Synced{existingBytes, existingBytes > 0});
    return status;
  }
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
    const std::lock_guard lock(mutex_);
    NameChange change{from, to, std::filesystem::exists(to), {}};
    if (change.existed) change.bytes = read(to);
    leveldb::Status status = target()->RenameFile(from, to);
    if (status.ok()) nameChanges_.push_back(std::move(change));
    if (const auto found = synced_.find(from); status.ok() && found != synced_.end()) {
      synced_[to] = found->second;
      synced_.erase(found);
    }
    return status;
  }
  leveldb::Status RemoveFile(const std::string& file) override {
    const std::lock_guard lock(mutex_);
    NameChange change{{}, file, true, std::filesystem::exists(file) ? read(file) : std::string()};
    leveldb::Status status = target()->RemoveFile(file);
    if (status.ok()) nameChanges_.push_back(std::move(change));
    synced_.erase(file);
    return status;
  }

 private:
  struct Synced {
    std::size_t bytes = 0;
    bool wasEverSynced = false;
  };
  struct NameChange {  // a renaming or removal that is not durable yet
    std::string from, to;
    bool existed = false;  // there was a file of this name before
    std::string bytes;
  };
  class File : public leveldb::WritableFile {
   public:
    File(UnreliableDisk& disk, std::string name, leveldb::WritableFile* file)
        : disk_(disk), name_(std::move(name)), file_(file) {}
    leveldb::Status Append(const leveldb::Slice& data) override {
      if (disk_.full) return leveldb::Status::IOError(name_, "No space left on device");
      return file_->Append(data);
    }
    leveldb::Status Close() override { return file_->Close(); }
    leveldb::Status Flush() override { return file_->Flush(); }
    leveldb::Status Sync() override {
      if (disk_.full) return leveldb::Status::IOError(name_, "No space left on device");
      leveldb::Status status = file_->Sync();
      const std::lock_guard lock(disk_.mutex_);
      // LevelDB's default environment syncs the directory together with the MANIFEST.
      if (status.ok() && name_.find("MANIFEST") != std::string::npos) disk_.nameChanges_.clear();
      if (status.ok()) disk_.synced_[name_] = {std::filesystem::file_size(name_), true};
      return status;
    }

   private:
    UnreliableDisk& disk_;
    const std::string name_;
    const std::unique_ptr<leveldb::WritableFile> file_;
  };

  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  static std::string read(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  static void write(const std::string& file, const std::string& bytes) {
    std::ofstream(file, std::ios::binary | std::ios::trunc) << bytes;
  }

  std::mutex mutex_;  // LevelDB compacts in a background thread
  std::mt19937_64 random_;
  std::map<std::string, Synced> synced_;
  std::vector<NameChange> nameChanges_;
};

}  // namespace lilacmux::test
