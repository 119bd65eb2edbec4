#include "fleet/server_list_page.hpp"

#include <nlohmann/json.hpp>

#include "net/json_text.hpp"

namespace lilacmux {
namespace {

using nlohmann::json;

constexpr const char* kAvailable = "available";  // a server in any other state is draining

// A text of an entry that cannot be told to other processes; does not leave this file.
struct NotUtf8 {};

Instance parseInstance(const json& entry) {
  Instance out;
  entry.at("instanceId").get_to(out.id);
  entry.at("targetService").get_to(out.service);
  entry.at("address").get_to(out.address);
  if (entry.contains("zone") && entry["zone"].is_string()) entry["zone"].get_to(out.zone);
  if (entry.contains("capacity") && entry["capacity"].is_number()) entry["capacity"].get_to(out.capacity);
  if (entry.contains("warmupRemainingMs") && entry["warmupRemainingMs"].is_number())
    entry["warmupRemainingMs"].get_to(out.warmupMs);
  for (const std::string* text : {&out.id, &out.service, &out.address, &out.zone})
    if (!isUtf8(*text)) throw NotUtf8();
  out.draining = entry.at("state").get<std::string>() != kAvailable;
  return out;
}

}  // namespace

const char* describe(ServerListPageError error) {
  switch (error) {
    case ServerListPageError::malformedMessage:
      return "the page is not a complete MessagePack object";
    case ServerListPageError::malformedField:
      return "a field is missing or has the wrong type";
    case ServerListPageError::malformedText:
      return "a text is not UTF-8";
  }
  return "";
}

std::variant<ServerListPage, ServerListPageError> parseServerListPage(std::string_view messagePack) {
  const json root = json::from_msgpack(messagePack.begin(), messagePack.end(), true, false);
  if (!root.is_object()) return ServerListPageError::malformedMessage;
  try {
    ServerListPage out;
    for (const json& entry : root.at("instances")) out.instances.push_back(parseInstance(entry));
    const auto next = root.find("nextPageToken");
    if (next != root.end() && !next->is_null()) out.nextToken = next->get<std::string>();
    return out;
  } catch (const json::exception&) {
    return ServerListPageError::malformedField;
  } catch (const NotUtf8&) {
    return ServerListPageError::malformedText;
  }
}

}  // namespace lilacmux
