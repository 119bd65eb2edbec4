#include "gatekeeper/operators_state.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include <cmath>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace lilacmux {
namespace {

using nlohmann::json;

constexpr int kForm = 1;
constexpr std::size_t kMostBytes = std::size_t{256} * 1024;
constexpr const char* kName = "operators.json";

Time timeOf(const json& value) {
  const double time = value.get<double>();
  if (!std::isfinite(time) || time < 0) throw std::runtime_error("no time");
  return time;
}

OperatorsState parse(const std::string& text) {
  const json file = json::parse(text);
  if (file.at("form") != kForm) throw std::runtime_error("another form");
  OperatorsState out;
  for (const auto& [id, entry] : file.at("absent").items())
    out.suspensions[id] = {timeOf(entry.at("suspended")), timeOf(entry.at("resumed"))};
  out.front = {timeOf(file.at("front").at("changed")), file.at("front").at("away").get<bool>()};
  return out;
}

std::string format(const OperatorsState& state) {
  json suspensions = json::object();
  for (const auto& [id, entry] : state.suspensions)
    suspensions[id] = {{"suspended", entry.suspended}, {"resumed", entry.resumed}};
  return json{{"form", kForm},
              {"absent", suspensions},
              {"front", {{"changed", state.front.changed}, {"away", state.front.away}}}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

void OperatorsState::merge(const OperatorsState& other) {
  for (const auto& [id, theirs] : other.suspensions) {
    Suspension& mine = suspensions[id];
    if (theirs.changed() > mine.changed()) mine = theirs;
  }
  if (other.front.changed > front.changed) front = other.front;
}

StateFile::StateFile(const std::filesystem::path& folder, Log log)
    : path_(folder.empty() ? folder : folder / kName), log_(std::move(log)) {}

StateFile::Stamp StateFile::stamp() const {
  struct ::stat found {};
  if (path_.empty() || ::stat(path_.c_str(), &found) != 0) return {};
  std::error_code ignored;
  return {found.st_ino, std::filesystem::last_write_time(path_, ignored)};
}

bool StateFile::changed() const { return !path_.empty() && stamp() != seen_; }

OperatorsState StateFile::read() {
  if (path_.empty()) return {};
  seen_ = stamp();
  std::ifstream in(path_, std::ios::binary);
  if (!in) return {};
  std::string text(kMostBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(in.gcount()));
  try {
    return parse(text);
  } catch (const std::exception&) {
    log_("the operators' state cannot be read and counts as none: " + path_.string());
    return {};
  }
}

// Replaced as a whole, so that a process that reads or dies meanwhile never finds half of it.
void StateFile::write(const OperatorsState& state) {
  if (path_.empty()) return;
  std::filesystem::path next = path_;
  next += "." + std::to_string(::getpid());
  std::error_code failed;
  {
    std::ofstream out(next, std::ios::binary | std::ios::trunc);
    out << format(state) << std::flush;
    if (!out) failed = std::make_error_code(std::errc::io_error);
  }
  if (!failed) std::filesystem::rename(next, path_, failed);
  if (failed) log_("the operators' state is not kept: " + failed.message());
  seen_ = stamp();
}

}  // namespace lilacmux
