#include "store/store.hpp"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <stdexcept>

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
  json prints = json::array();
  for (const auto& [revision, print] : d.state.fingerprint) prints.push_back({revision, print});
  return {{"form", 1},
          {"members", d.record.members},
          {"leaving", d.record.leaving},
          {"promised", d.promised},
          {"promisedTo", d.promisedTo},
          {"epoch", d.record.epoch},
          {"previous", d.record.previous},
          {"primary", d.record.primary},
          {"backup", d.record.backup},
          {"dataEpoch", d.dataEpoch},
          {"sequence", d.state.sequence},
          {"revision", d.state.revision},
          {"taken", prints},
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
  in.at("backup").get_to(out.record.backup);
  in.at("dataEpoch").get_to(out.dataEpoch);
  in.at("sequence").get_to(out.state.sequence);
  in.at("revision").get_to(out.state.revision);
  in.at("holders").get_to(out.state.holders);
  for (const json& entry : in.at("taken"))
    out.state.fingerprint[entry.at(0).get<std::uint64_t>()] = entry.at(1).get<std::uint64_t>();
  return out;
}

}  // namespace

Store::Store(const std::filesystem::path& folder, Log log) : log_(std::move(log)) {
  try {
    open(folder);
    if (const auto kept = read()) writtenSequence_ = kept->state.sequence, written_ = true;
  } catch (const std::exception& why) {
    log_(std::string("the store is damaged (") + why.what() + "): set aside");
    db_.reset();
    std::error_code ignored;
    const auto stamp = std::chrono::system_clock::now().time_since_epoch().count();
    std::filesystem::rename(folder, folder.string() + ".damaged-" + std::to_string(stamp), ignored);
    open(folder);
  }
}

Store::~Store() = default;

void Store::open(const std::filesystem::path& folder) {
  std::error_code ignored;
  std::filesystem::create_directories(folder, ignored);
  leveldb::DB* db = nullptr;
  leveldb::Status status = leveldb::DB::Open(options(), folder.string(), &db);
  if (!status.ok()) {
    log_("the store does not open (" + status.ToString() + "): repaired");
    if (leveldb::RepairDB(folder.string(), options()).ok())
      status = leveldb::DB::Open(options(), folder.string(), &db);
  }
  if (!status.ok()) throw std::runtime_error("cannot keep anything in dataDirectory: " + status.ToString());
  db_.reset(db);
}

std::optional<Durable> Store::read() const {
  std::string meta, body;
  const leveldb::Status status = db_->Get({}, kMeta, &meta);
  if (status.IsNotFound()) return std::nullopt;
  if (!status.ok()) throw std::runtime_error(status.ToString());
  Durable out = fromMeta(json::parse(meta));
  if (out.state.revision > 0) {
    const leveldb::Status found = db_->Get({}, kBody, &body);
    if (!found.ok()) throw std::runtime_error(found.ToString());
    out.state.body = std::make_shared<const std::string>(std::move(body));
  }
  return out;
}

bool Store::write(const Durable& durable) {
  leveldb::WriteBatch batch;
  batch.Put(kMeta, metaOf(durable).dump());
  if (durable.state.body && (!written_ || durable.state.sequence != writtenSequence_))
    batch.Put(kBody, *durable.state.body);
  leveldb::WriteOptions sync;
  sync.sync = true;
  const leveldb::Status status = db_->Write(sync, &batch);
  if (!status.ok()) {
    log_("the state cannot be stored: " + status.ToString());
    return false;
  }
  written_ = true;
  writtenSequence_ = durable.state.sequence;
  return true;
}

}  // namespace lilacmux
