#include "agreement/store.hpp"

#include <fcntl.h>
#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/write_batch.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "agreement/messages.hpp"

namespace lilacmux {
namespace {

using nlohmann::json;

constexpr const char* kMeta = "meta";  // all but the configuration's bytes, as JSON
constexpr const char* kBody = "body";
constexpr std::size_t kWriteBuffer = 256 * 1024;

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

json metaOf(const Durable& d) {
  return {{"form", 1},
          {"members", d.record.members},
          {"leaving", d.record.leaving},
          {"promised", d.promised},
          {"promisedTo", d.promisedTo},
          {"epoch", d.record.epoch},
          {"previous", d.record.strictPrevious()},  // all that versions before `uncertain` read
          {"certain", d.record.previous},
          {"uncertain", d.record.uncertain},
          {"primary", d.record.primary},
          {"backups", d.record.backups},
          {"dataEpoch", d.dataEpoch},
          {"forgotten", d.forgotten},
          {"settled", d.settledEpoch},
          {"sequence", d.state.sequence},
          {"revision", d.state.revision},
          {"taken", d.state.fingerprint},
          {"holders", d.state.holders}};
}

Durable fromMeta(const json& in) {
  Durable out;
  in.at("members").get_to(out.record.members);
  out.record.leaving = in.value("leaving", std::vector<NodeId>());  // not in the first files
  in.at("promised").get_to(out.promised);
  in.at("promisedTo").get_to(out.promisedTo);
  in.at("epoch").get_to(out.record.epoch);
  in.at("previous").get_to(out.record.previous);
  in.at("primary").get_to(out.record.primary);
  if (in.contains("backups"))
    in.at("backups").get_to(out.record.backups);
  else if (const std::string one = in.at("backup"); !one.empty())  // as it was kept before there were several
    out.record.backups = {one};
  in.at("dataEpoch").get_to(out.dataEpoch);
  out.forgotten = in.value("forgotten", std::uint64_t{0});
  out.settledEpoch = in.value("settled", std::uint64_t{0});
  if (in.contains("uncertain")) {
    in.at("certain").get_to(out.record.previous);
    in.at("uncertain").get_to(out.record.uncertain);
  }
  in.at("sequence").get_to(out.state.sequence);
  in.at("revision").get_to(out.state.revision);
  in.at("holders").get_to(out.state.holders);
  in.at("taken").get_to(out.state.fingerprint);
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

Store::Store(Disk disk, Log log) : disk_(std::move(disk)), log_(std::move(log)) {
  bool good = false;
  try {
    good = open();
    if (good)
      if (const auto kept = read()) writtenBody_ = kept->state.body;
  } catch (const json::exception& why) {
    log_(std::string("what the store holds cannot be read: ") + why.what());
    good = false;
  }
  if (!good) setAside();
  // LevelDB renames a new CURRENT into place at each start and never syncs the folder for it: without this a
  // loss of power may bring back the old name, or none, while the files that it told of are gone.
  const auto& sync = disk_.syncFolder ? disk_.syncFolder : syncFolder;
  if (!sync(disk_.folder) || !sync(disk_.folder.parent_path()))
    throw std::runtime_error("cannot sync " + disk_.folder.string());
}

Store::~Store() = default;

bool Store::open() {
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

void Store::setAside() {
  db_.reset();
  const std::string aside = disk_.folder.string() + ".damaged";
  log_("the store is set aside as " + aside + ": this node starts as one that lost its disk");
  std::error_code ignored;
  std::filesystem::remove_all(aside, ignored);  // one is enough to look at; the disk is small
  std::filesystem::rename(disk_.folder, aside, ignored);
  setAside_ = true;
  if (!open()) throw std::runtime_error("cannot keep anything in dataDirectory: it stays damaged");
}

std::optional<Durable> Store::read() const {
  std::string meta, body;
  const leveldb::Status status = db_->Get({}, kMeta, &meta);
  if (status.IsNotFound()) return std::nullopt;
  if (!status.ok()) throw std::runtime_error("cannot read what is kept: " + status.ToString());
  Durable out = fromMeta(json::parse(meta));
  if (out.state.revision > 0) {
    const leveldb::Status found = db_->Get({}, kBody, &body);
    if (!found.ok()) throw std::runtime_error("cannot read what is kept: " + found.ToString());
    out.state.body = std::make_shared<const std::string>(std::move(body));
  }
  return out;
}

bool Store::write(const Durable& durable) {
  if (failed_) return false;  // LevelDB's log may lack its alignment: what follows could not be read back
  const auto& body = durable.state.body;
  const bool newBody = body && body != writtenBody_ && (!writtenBody_ || *body != *writtenBody_);
  leveldb::WriteBatch batch;
  batch.Put(kMeta, metaOf(durable).dump());
  if (newBody) batch.Put(kBody, *body);
  leveldb::WriteOptions sync;
  sync.sync = true;
  const leveldb::Status status = db_->Write(sync, &batch);
  if (!status.ok()) {
    log_("the state cannot be stored: " + status.ToString());
    failed_ = true;
    return false;
  }
  writtenBody_ = body;
  return true;
}

}  // namespace lilacmux
