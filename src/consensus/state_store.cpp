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

constexpr const char* kMeta = "meta";  // all but the configuration's bytes, as JSON
constexpr const char* kBody = "body";
// One key per accepted change: this prefix and the revision in 16 hexadecimal digits, so that they are
// ordered and a write touches only new ones; the value is the digest.
constexpr std::string_view kAcceptedPrefix = "accepted/";
constexpr std::size_t kWriteBuffer = 256UL * 1024;

leveldb::Options options() {
  leveldb::Options out;
  out.create_if_missing = true;
  out.paranoid_checks = true;
  out.write_buffer_size = kWriteBuffer;
  out.max_open_files = 16;
  out.max_file_size = 1 << 20;
  out.compression = leveldb::kNoCompression;
  return out;
}

constexpr int kFormat = 2;  // 1: earlier accepted changes were identified by 64-bit hashes

std::string keyOf(std::uint64_t revision) {
  char digits[17];
  std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(revision));
  return std::string(kAcceptedPrefix) + digits;
}

AcceptedChange acceptedFrom(const leveldb::Slice& key, const leveldb::Slice& value) {
  AcceptedChange out;
  const std::string digits = key.ToString().substr(kAcceptedPrefix.size());
  const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), out.revision, 16);
  if (read.ec != std::errc() || value.size() != out.digest.size())
    throw std::invalid_argument("an accepted change cannot be read");
  std::copy_n(value.data(), value.size(), out.digest.begin());
  return out;
}

// Both lists rise by revision. A revision whose digest differs is written over.
void writeDifference(const std::vector<AcceptedChange>& written, const std::vector<AcceptedChange>& next,
                     leveldb::WriteBatch& batch) {
  auto old = written.begin();
  for (const AcceptedChange& entry : next) {
    for (; old != written.end() && old->revision < entry.revision; ++old) batch.Delete(keyOf(old->revision));
    const bool same = old != written.end() && *old == entry;
    if (old != written.end() && old->revision == entry.revision) ++old;
    if (same) continue;
    batch.Put(keyOf(entry.revision),
              leveldb::Slice(reinterpret_cast<const char*>(entry.digest.data()), entry.digest.size()));
  }
  for (; old != written.end(); ++old) batch.Delete(keyOf(old->revision));
}

json metaOf(const DurableState& d) {
  return {
      {"form", kFormat},
      {"members", d.record.members},
      {"leaving", d.record.oldMembers},
      {"promised", d.votedEpoch},
      {"promisedTo", d.votedFor},
      {"epoch", d.record.epoch},
      {"previous", d.record.conservativePrevious()},  // the only demand that versions before `undecided` read
      {"certain", d.record.previous},
      {"uncertain", d.record.undecided},
      {"primary", d.record.primary},
      {"backups", d.record.backups},
      {"dataEpoch", d.dataEpoch},
      {"forgotten", d.lostEpoch},
      {"settled", d.establishedEpoch},
      {"sequence", d.state.sequence},
      {"revision", d.state.revision},
      {"forgottenRevision", d.state.accepted.compactedRevision()},
      {"taken", json::array()},  // what form 1 must have to be read, so that an older build can
      {"holders", d.state.grantHolders}};
}

DurableState fromMeta(const json& in) {
  DurableState out;
  in.at("members").get_to(out.record.members);
  out.record.oldMembers = in.value("leaving", std::vector<NodeId>());  // not in the first files
  in.at("promised").get_to(out.votedEpoch);
  in.at("promisedTo").get_to(out.votedFor);
  in.at("epoch").get_to(out.record.epoch);
  in.at("previous").get_to(out.record.previous);
  in.at("primary").get_to(out.record.primary);
  if (in.contains("backups"))
    in.at("backups").get_to(out.record.backups);
  else if (const std::string one = in.at("backup"); !one.empty())  // as it was kept before there were several
    out.record.backups = {one};
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
  bool good = false;
  try {
    good = open();
    if (good) loadWrittenState();
  } catch (const json::exception& why) {
    log_(std::string("what the store holds cannot be read: ") + why.what());
    good = false;
  } catch (const std::invalid_argument& why) {
    log_(std::string("what the store holds cannot be read: ") + why.what());
    good = false;
  }
  if (!good) moveAside();
  // LevelDB renames a new CURRENT into place at each start and never syncs the folder for it: without this a
  // loss of power may bring back the old name, or none, while the files that it named are gone.
  const auto& sync = disk_.syncFolder ? disk_.syncFolder : syncFolder;
  if (!sync(disk_.folder) || !sync(disk_.folder.parent_path()))
    throw std::runtime_error("cannot sync " + disk_.folder.string());
}

StateStore::~StateStore() = default;

void StateStore::loadWrittenState() {
  const auto kept = read();
  if (!kept) return;
  writtenBody_ = kept->state.body;
  writtenAccepted_ = readAcceptedEntries();
}

bool StateStore::open() {
  std::error_code ignored;
  std::filesystem::create_directories(disk_.folder, ignored);
  leveldb::Options how = options();
  if (disk_.env) how.env = disk_.env;
  leveldb::DB* db = nullptr;
  leveldb::Status status = leveldb::DB::Open(how, disk_.folder.string(), &db);
  if (status.IsCorruption()) {
    log_("the store is damaged (" + status.ToString() + "): repaired");
    if (leveldb::RepairDB(disk_.folder.string(), how).ok())
      status = leveldb::DB::Open(how, disk_.folder.string(), &db);
    if (status.IsCorruption()) return false;
  }
  if (!status.ok()) throw std::runtime_error("cannot keep anything in dataDirectory: " + status.ToString());
  db_.reset(db);
  return true;
}

void StateStore::moveAside() {
  db_.reset();
  writtenBody_.reset();
  writtenAccepted_.clear();
  const std::string aside = disk_.folder.string() + ".damaged";
  log_("the store is set aside as " + aside + ": this node starts as one that lost its disk");
  std::error_code ignored;
  std::filesystem::remove_all(aside, ignored);  // one is enough to look at; the disk is small
  std::filesystem::rename(disk_.folder, aside, ignored);
  movedAside_ = true;
  if (!open()) throw std::runtime_error("cannot keep anything in dataDirectory: it stays damaged");
}

std::optional<DurableState> StateStore::read() const {
  std::string text, body;
  const leveldb::Status status = db_->Get({}, kMeta, &text);
  if (status.IsNotFound()) return std::nullopt;
  if (!status.ok()) throw std::runtime_error("cannot read what is kept: " + status.ToString());
  const json meta = json::parse(text);
  DurableState out = fromMeta(meta);
  if (out.state.revision > 0) {
    const leveldb::Status found = db_->Get({}, kBody, &body);
    if (!found.ok()) throw std::runtime_error("cannot read what is kept: " + found.ToString());
    out.state.body = std::make_shared<const std::string>(std::move(body));
  }
  // Form 1 tells older changes by hashes that are too short to rest an acknowledgement on. An older build
  // that has written in between leaves the keys of form 2 behind: they may be out of date.
  if (meta.value("form", 1) >= 2)
    out.state.accepted =
        AcceptedChanges(meta.at("forgottenRevision").get<std::uint64_t>(), readAcceptedEntries());
  else if (out.state.body)
    out.state.accepted = AcceptedChanges::onlyCurrent(out.state.revision, *out.state.body);
  return out;
}

std::vector<AcceptedChange> StateStore::readAcceptedEntries() const {
  std::vector<AcceptedChange> out;
  const std::unique_ptr<leveldb::Iterator> at(db_->NewIterator({}));
  const leveldb::Slice prefix(kAcceptedPrefix.data(), kAcceptedPrefix.size());
  for (at->Seek(prefix); at->Valid() && at->key().starts_with(prefix); at->Next())
    out.push_back(acceptedFrom(at->key(), at->value()));
  if (!at->status().ok()) throw std::runtime_error("cannot read what is kept: " + at->status().ToString());
  return out;
}

bool StateStore::write(const DurableState& durable) {
  if (failed_) return false;  // LevelDB's log may lack its alignment: what follows could not be read back
  const auto& body = durable.state.body;
  const bool newBody = body && body != writtenBody_ && (!writtenBody_ || *body != *writtenBody_);
  leveldb::WriteBatch batch;
  batch.Put(kMeta, metaOf(durable).dump());
  if (newBody) batch.Put(kBody, *body);
  const auto& accepted = durable.state.accepted.entries();
  writeDifference(writtenAccepted_, accepted, batch);
  leveldb::WriteOptions sync;
  sync.sync = true;
  const leveldb::Status status = db_->Write(sync, &batch);
  if (!status.ok()) {
    log_("the state cannot be stored: " + status.ToString());
    failed_ = true;
    return false;
  }
  writtenBody_ = body;
  if (accepted != writtenAccepted_) writtenAccepted_ = accepted;
  return true;
}

}  // namespace lilacmux
