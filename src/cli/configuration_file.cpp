#include "cli/configuration_file.hpp"

#include "settings/configuration.hpp"
#include "settings/settings.hpp"

namespace lilacmux {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxValueLength = 60;  // on one line, in characters
constexpr const char* kEllipsis = "...";

std::string abbreviate(const json& value) {
  const std::string out = value.dump();
  return out.size() > kMaxValueLength ? out.substr(0, kMaxValueLength - 3) + kEllipsis : out;
}

}  // namespace

json configurationFrom(const std::string& bytes) {
  json out = json::parse(bytes, nullptr, false);
  if (out.is_discarded()) out = json::from_msgpack(bytes, true, false);
  if (out.is_discarded() || !out.is_object())
    throw SettingsError("is a configuration neither in JSON nor in MessagePack");
  const auto packed = json::to_msgpack(out);
  const auto parsed = parseConfiguration({reinterpret_cast<const char*>(packed.data()), packed.size()});
  if (const auto* problem = std::get_if<std::string>(&parsed)) throw SettingsError(*problem);
  return out;
}

std::vector<std::string> differences(const json& from, const json& to) {
  std::vector<std::string> out;
  for (const json& step : json::diff(from, to)) {
    const auto path = step.at("path").get<std::string>();
    const auto operation = step.at("op").get<std::string>();
    const auto oldValue = [&] { return abbreviate(from.at(json::json_pointer(path))); };
    const auto newValue = [&] { return abbreviate(step.at("value")); };
    if (operation == "add")
      out.push_back("+ " + path + ": " + newValue());
    else if (operation == "remove")
      out.push_back("- " + path + ": " + oldValue());
    else
      out.push_back("~ " + path + ": " + oldValue() + " -> " + newValue());
  }
  return out;
}

}  // namespace lilacmux
