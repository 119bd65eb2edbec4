#include "consensus/state_store.hpp"

#include <fcntl.h>
#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/write_batch.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "consensus/member_message_codec.hpp"

namespace lilacmux {
namespace {

using nlohmann::json;

constexpr const char* kMeta = "meta";  // as JSON: all but the configuration and the accepted changes
constexpr const char* kBody = "body";  // the configuration
constexpr const char* kOwnership = "ownership";  // the ownership table
// Prefix of the keys of accepted changes, one key per change: the prefix and the revision in 16 hexadecimal
// digits. The keys are thus ordered by revision, and a write adds only new changes. The value is the digest.
constexpr std::string_view kAcceptedPrefix = "accepted/";
constexpr std::size_t kWriteBufferBytes = 256UL * 1024;

leveldb::Options options() {
  leveldb::Options out;
  out.create_if_missing = true;
  out.paranoid_checks = true;
  out.write_buffer_size = kWriteBufferBytes;
  out.max_open_files = 16;
  out.max_file_size = 1 << 20;
  out.compression = leveldb::kNoCompression;
  return out;
}

constexpr int kFormatVersion = 2;  // version 1 identified earlier accepted changes by 64-bit hashes

std::string acceptedKey(std::uint64_t revision) {
  char digits[17];
  std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(revision));
  return std::string(kAcceptedPrefix) + digits;
}

AcceptedChange decodeAcceptedChange(const leveldb::Slice& key, const leveldb::Slice& value) {
  AcceptedChange out;
  const std::string digits = key.ToString().substr(kAcceptedPrefix.size());
  const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), out.revision, 16);
  if (read.ec != std::errc() || value.size() != out.digest.size())
    throw std::invalid_argument("malformed entry of an accepted change: key " + key.ToString() +
                                ", value of " + std::to_string(value.size()) + " bytes");
  std::copy_n(value.data(), value.size(), out.digest.begin());
  return out;
}

// Adds to `batch` the changes that turn the entries `written` into `next`. Both lists are sorted by ascending
// revision. A revision with another digest is overwritten.
void writeDifference(const std::vector<AcceptedChange>& written, const std::vector<AcceptedChange>& next,
                     leveldb::WriteBatch& batch) {
  auto old = written.begin();
  for (const AcceptedChange& entry : next) {
    for (; old != written.end() && old->revision < entry.revision; ++old)
      batch.Delete(acceptedKey(old->revision));
    const bool same = old != written.end() && *old == entry;
    if (old != written.end() && old->revision == entry.revision) ++old;
    if (same) continue;
    batch.Put(acceptedKey(entry.revision),
              leveldb::Slice(reinterpret_cast<const char*>(entry.digest.data()), entry.digest.size()));
  }
  for (; old != written.end(); ++old) batch.Delete(acceptedKey(old->revision));
}

// Adds to `batch` what turns the text under the key from `written` into `next`.
void writeText(const char* key, const std::shared_ptr<const std::string>& written,
               const std::shared_ptr<const std::string>& next, leveldb::WriteBatch& batch) {
  if (next == written || (next && written && *next == *written)) return;
  next ? batch.Put(key, *next) : batch.Delete(key);
}

json encodeMeta(const DurableState& durable) {
  return {{"form", kFormatVersion},
          {"members", durable.record.members},
          {"leaving", durable.record.oldMembers},
          {"promised", durable.votedEpoch},
          {"promisedTo", durable.votedFor},
          {"epoch", durable.record.epoch},
          {"previous", durable.record.conservativePrevious()},  // for versions that do not know `undecided`
          {"certain", durable.record.previous},
          {"uncertain", durable.record.undecided},
          {"primary", durable.record.primary},
          {"backups", durable.record.backups},
          {"dataEpoch", durable.dataEpoch},
          {"forgotten", durable.lostEpoch},
          {"settled", durable.establishedEpoch},
          {"sequence", durable.state.sequence},
          {"revision", durable.state.revision},
          {"forgottenRevision", durable.state.accepted.compactedRevision()},
          {"taken", json::array()},  // required by builds that read format version 1
          {"holders", durable.state.grantHolders}};
}

DurableState decodeMeta(const json& in) {
  DurableState out;
  in.at("members").get_to(out.record.members);
  out.record.oldMembers = in.value("leaving", std::vector<NodeId>());  // absent in the first version's files
  in.at("promised").get_to(out.votedEpoch);
  in.at("promisedTo").get_to(out.votedFor);
  in.at("epoch").get_to(out.record.epoch);
  in.at("previous").get_to(out.record.previous);
  in.at("primary").get_to(out.record.primary);
  if (in.contains("backups"))
    in.at("backups").get_to(out.record.backups);
  else if (const std::string backup = in.at("backup"); !backup.empty())  // stored when there was a single one
    out.record.backups = {backup};
  in.at("dataEpoch").get_to(out.dataEpoch);
  out.lostEpoch = in.value("forgotten", std::uint64_t{0});
  out.establishedEpoch = in.value("settled", std::uint64_t{0});
  if (in.contains("uncertain")) {
    in.at("certain").get_to(out.record.previous);
    in.at("uncertain").get_to(out.record.undecided);
  }
  in.at("sequence").get_to(out.state.sequence);
  in.at("revision").get_to(out.state.revision);
  in.at("holders").get_to(out.state.grantHolders);
  return out;
}

}  // namespace

bool syncFolder(const std::filesystem::path& folder) {
  const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return false;
  const bool synced = ::fsync(fd) == 0;
  ::close(fd);
  return synced;
}

StateStore::StateStore(Disk disk, Log log) : disk_(std::move(disk)), log_(std::move(log)) {
  bool isReadable = false;
  try {
    isReadable = open();
    if (isReadable) loadWrittenState();
  } catch (const json::exception& error) {
    log_(std::string("cannot decode the stored state: ") + error.what());
    isReadable = false;
  } catch (const std::invalid_argument& error) {
    log_(std::string("cannot decode the stored state: ") + error.what());
    isReadable = false;
  }
  if (!isReadable) moveAside();
  // LevelDB renames a new CURRENT file into place at each start and does not sync the directory for it.
  // Without this sync a power loss may bring back the old CURRENT, or none, after the files that it names are
  // deleted.
  const auto& sync = disk_.syncFolder ? disk_.syncFolder : syncFolder;
  if (!sync(disk_.folder) || !sync(disk_.folder.parent_path()))
    throw std::runtime_error("cannot sync the directory " + disk_.folder.string() + " or its parent");
}

StateStore::~StateStore() = default;

void StateStore::loadWrittenState() {
  const auto stored = read();
  if (!stored) return;
  writtenBody_ = stored->state.body;
  writtenOwnership_ = stored->state.ownership;
  writtenAccepted_ = readAcceptedEntries();
}

bool StateStore::open() {
  std::error_code ignored;
  std::filesystem::create_directories(disk_.folder, ignored);
  leveldb::Options openOptions = options();
  if (disk_.env) openOptions.env = disk_.env;
  leveldb::DB* db = nullptr;
  leveldb::Status status = leveldb::DB::Open(openOptions, disk_.folder.string(), &db);
  if (status.IsCorruption()) {
    log_("the state store is corrupt and is being repaired: " + status.ToString());
    if (leveldb::RepairDB(disk_.folder.string(), openOptions).ok())
      status = leveldb::DB::Open(openOptions, disk_.folder.string(), &db);
    if (status.IsCorruption()) return false;
  }
  if (!status.ok())
    throw std::runtime_error("cannot open the state store in dataDirectory: " + status.ToString());
  db_.reset(db);
  return true;
}

void StateStore::moveAside() {
  db_.reset();
  writtenBody_.reset();
  writtenOwnership_.reset();
  writtenAccepted_.clear();
  const std::string damagedFolder = disk_.folder.string() + ".damaged";
  log_("the unreadable state store is moved to " + damagedFolder + "; this node starts as after a disk loss");
  std::error_code ignored;
  std::filesystem::remove_all(damagedFolder, ignored);  // only the newest is retained: the disk is small
  std::filesystem::rename(disk_.folder, damagedFolder, ignored);
  movedAside_ = true;
  if (!open())
    throw std::runtime_error("cannot open the state store in dataDirectory: the new store is corrupt too");
}

std::optional<DurableState> StateStore::read() const {
  std::string text, body;
  const leveldb::Status status = db_->Get({}, kMeta, &text);
  if (status.IsNotFound()) return std::nullopt;
  if (!status.ok()) throw std::runtime_error("cannot read the stored state: " + status.ToString());
  const json meta = json::parse(text);
  DurableState out = decodeMeta(meta);
  if (out.state.revision > 0) {
    const leveldb::Status bodyStatus = db_->Get({}, kBody, &body);
    if (!bodyStatus.ok())
      throw std::runtime_error("cannot read the stored configuration: " + bodyStatus.ToString());
    out.state.body = std::make_shared<const std::string>(std::move(body));
  }
  std::string ownership;
  const leveldb::Status ownershipStatus = db_->Get({}, kOwnership, &ownership);
  if (ownershipStatus.ok())
    out.state.ownership = std::make_shared<const std::string>(std::move(ownership));
  else if (!ownershipStatus.IsNotFound())
    throw std::runtime_error("cannot read the stored ownership table: " + ownershipStatus.ToString());
  // The 64-bit hashes of format version 1 are too short to base an acknowledgement on. An older build that
  // has written in the meantime leaves the keys of version 2 unchanged, so they may be out of date.
  if (meta.value("form", 1) >= 2)
    out.state.accepted =
        AcceptedChanges(meta.at("forgottenRevision").get<std::uint64_t>(), readAcceptedEntries());
  else if (out.state.body)
    out.state.accepted = AcceptedChanges::onlyCurrent(out.state.revision, *out.state.body);
  return out;
}

std::vector<AcceptedChange> StateStore::readAcceptedEntries() const {
  std::vector<AcceptedChange> out;
  const std::unique_ptr<leveldb::Iterator> iterator(db_->NewIterator({}));
  const leveldb::Slice prefix(kAcceptedPrefix.data(), kAcceptedPrefix.size());
  for (iterator->Seek(prefix); iterator->Valid() && iterator->key().starts_with(prefix); iterator->Next())
    out.push_back(decodeAcceptedChange(iterator->key(), iterator->value()));
  if (!iterator->status().ok())
    throw std::runtime_error("cannot read the accepted changes: " + iterator->status().ToString());
  return out;
}

bool StateStore::write(const DurableState& durable) {
  // After a failed write LevelDB's log may be misaligned, and later records could not be read back.
  if (failed_) return false;
  const auto& body = durable.state.body;
  const auto& ownership = durable.state.ownership;
  leveldb::WriteBatch batch;
  batch.Put(kMeta, encodeMeta(durable).dump());
  if (body) writeText(kBody, writtenBody_, body, batch);
  writeText(kOwnership, writtenOwnership_, ownership, batch);
  const auto& accepted = durable.state.accepted.entries();
  writeDifference(writtenAccepted_, accepted, batch);
  leveldb::WriteOptions writeOptions;
  writeOptions.sync = true;
  const leveldb::Status status = db_->Write(writeOptions, &batch);
  if (!status.ok()) {
    log_("cannot write the state to disk: " + status.ToString());
    failed_ = true;
    return false;
  }
  writtenBody_ = body;
  writtenOwnership_ = ownership;
  if (accepted != writtenAccepted_) writtenAccepted_ = accepted;
  return true;
}

}  // namespace lilacmux
