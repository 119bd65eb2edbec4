#include "cli/snapshot.hpp"

#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "settings/settings.hpp"

namespace lilacmux {
namespace {

using nlohmann::json;

constexpr const char* kForm = "lilacmux-snapshot-1";

std::uint64_t checksum(const std::string& body) { return XXH3_64bits(body.data(), body.size()); }

}  // namespace

std::string toBytes(const Snapshot& snapshot) {
  const json head = {{"form", kForm},
                     {"revision", snapshot.revision},
                     {"bytes", snapshot.body.size()},
                     {"xxh3", checksum(snapshot.body)}};
  return head.dump() + "\n" + snapshot.body;
}

Snapshot snapshotFrom(const std::string& bytes) {
  const auto end = bytes.find('\n');
  const json head = json::parse(bytes.substr(0, end), nullptr, false);
  if (end == std::string::npos || !head.is_object() || head.value("form", json()) != kForm)
    throw SettingsError("is no snapshot of this form");
  Snapshot out;
  out.body = bytes.substr(end + 1);
  if (head.value("bytes", json()) != out.body.size())
    throw SettingsError("is cut short, or more was added to it");
  if (head.value("xxh3", json()) != checksum(out.body))
    throw SettingsError("was changed: the checksum is another");
  const json revision = head.value("revision", json());
  const json told = json::from_msgpack(out.body, true, false);
  if (!revision.is_number_unsigned() || !told.is_object() || told.value("revision", json()) != revision)
    throw SettingsError("holds another revision than it says");
  out.revision = revision.get<std::uint64_t>();
  return out;
}

}  // namespace lilacmux
