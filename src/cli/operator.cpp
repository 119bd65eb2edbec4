#include "cli/operator.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>

#include "cli/files.hpp"
#include "cli/snapshot.hpp"

namespace lilacmux {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;  // there is no configuration yet

ExitCode fail(ExitCode code, const std::string& problem) {
  std::fprintf(stderr, "lilacmux: %s\n", problem.c_str());
  return code;
}

std::string withoutLineEnd(std::string text) {
  while (!text.empty() && text.back() == '\n') text.pop_back();
  return text;
}

std::string problemOf(const HttpResponse& response) {
  return response.status == 0 ? "no control node answers" : withoutLineEnd(response.body);
}

bool holdsConfigurationOrNone(const HttpResponse& response) {
  return response.status == kOk || response.status == kNotFound;
}

std::uint64_t revisionOf(const json& configuration) {
  return configuration.value("revision", std::uint64_t{0});
}

// Each value on a line, after its path.
void print(const std::string& path, const json& value) {
  if (!value.is_structured()) {
    std::printf("%-40s %s\n", path.c_str(),
                value.is_string() ? value.get<std::string>().c_str() : value.dump().c_str());
    return;
  }
  for (const auto& [key, item] : value.items())
    print(path.empty() ? key : std::string(path).append(".").append(key), item);
}

}  // namespace

ExitCode Operator::get() const {
  const HttpResponse current = describe();
  if (current.status != kOk) return fail(kExitRefused, problemOf(current));
  std::printf("%s\n", json::from_msgpack(current.body).dump(2).c_str());
  return kExitSuccess;
}

ExitCode Operator::put(const std::string& file) const {
  try {
    const json next = configurationFrom(readFile(file));
    const auto packed = json::to_msgpack(next);
    return replace(revisionOf(next), {packed.begin(), packed.end()});
  } catch (const SettingsError& error) {
    return fail(kExitBadInput, file + ": " + error.what());
  }
}

ExitCode Operator::diff(const std::string& file) const {
  json next;
  try {
    next = configurationFrom(readFile(file));
  } catch (const SettingsError& error) {
    return fail(kExitBadInput, file + ": " + error.what());
  }
  const HttpResponse current = describe();
  if (!holdsConfigurationOrNone(current)) return fail(kExitBadInput, problemOf(current));
  const auto lines =
      differences(current.status == kNotFound ? json::object() : json::from_msgpack(current.body), next);
  for (const std::string& line : lines) std::printf("%s\n", line.c_str());
  return lines.empty() ? kExitSuccess : kExitDiffers;
}

ExitCode Operator::save(const std::string& file) const {
  const HttpResponse current = describe();
  if (current.status != kOk) return fail(kExitRefused, problemOf(current));
  const Snapshot snapshot{revisionOf(json::from_msgpack(current.body)), current.body};
  if (!writeFileDurably(file, toBytes(snapshot))) return fail(kExitBadInput, file + ": cannot be written");
  std::printf("revision %llu is saved\n", static_cast<unsigned long long>(snapshot.revision));
  return kExitSuccess;
}

ExitCode Operator::restore(const std::string& file) const {
  try {
    const Snapshot snapshot = snapshotFrom(readFile(file));
    return replace(snapshot.revision, snapshot.body);
  } catch (const SettingsError& error) {
    return fail(kExitBadInput, file + ": " + error.what());
  }
}

ExitCode Operator::inspect(const std::string& file) {
  try {
    const Snapshot snapshot = snapshotFrom(readFile(file));
    std::printf("revision %llu, %zu bytes, whole\n%s\n", static_cast<unsigned long long>(snapshot.revision),
                snapshot.body.size(), json::from_msgpack(snapshot.body).dump(2).c_str());
    return kExitSuccess;
  } catch (const SettingsError& error) {
    return fail(kExitBadInput, file + ": " + error.what());
  }
}

ExitCode Operator::status(const Endpoint& server, bool asJson) {
  const auto response = exchange(server, {false, "/api/status", {}, 0});
  if (!response) return fail(kExitRefused, "nobody answers there");
  const json status = json::parse(response->body, nullptr, false);
  if (response->status != kOk || !status.is_object())
    return fail(kExitRefused, "what answers there is no lilacmux");
  if (asJson)
    std::printf("%s\n", status.dump(2).c_str());
  else
    print({}, status);
  return kExitSuccess;
}

// Based on whatever configuration is in place.
ExitCode Operator::replace(std::uint64_t revision, const std::string& packed) const {
  const HttpResponse current = describe();
  if (!holdsConfigurationOrNone(current)) return fail(kExitRefused, problemOf(current));
  const std::uint64_t base = current.status == kNotFound ? 0 : revisionOf(json::from_msgpack(current.body));
  const HttpResponse response = control_.call({true, "/api/Configuration.Replace", packed, base});
  if (response.status == 0) return fail(kExitRefused, "no control node answers: it may have been taken");
  if (response.status != kOk) return fail(kExitRefused, withoutLineEnd(response.body));
  std::printf("revision %llu is taken, in place of %llu\n", static_cast<unsigned long long>(revision),
              static_cast<unsigned long long>(base));
  return kExitSuccess;
}

}  // namespace lilacmux
