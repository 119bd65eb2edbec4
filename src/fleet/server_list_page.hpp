// Parses pages of the platform's server list, which are encoded in MessagePack.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/instance.hpp"

namespace lilacmux {

struct ServerListPage {
  std::vector<Instance> instances;
  std::string nextToken;  // requests the next page; empty on the last page
};

enum class ServerListPageError {
  malformedMessage,  // not a complete MessagePack object
  malformedField,    // a field is missing or has the wrong type
  malformedText,     // a text is not UTF-8, so no other process can be told it
};

// Returns a description for the log.
const char* describe(ServerListPageError error);

std::variant<ServerListPage, ServerListPageError> parseServerListPage(std::string_view messagePack);

}  // namespace lilacmux
