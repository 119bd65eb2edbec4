// Parsing a page of the platform's server list.
#include "fleet/server_list_page.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "settings/sample_configuration.hpp"

namespace lilacmux::test {
namespace {

using nlohmann::json;

TEST(ServerListPage, ATruncatedPageOrOneWithAMissingFieldIsRejected) {
  const json page = {{"instances",
                      {{{"instanceId", "i"},
                        {"targetService", "s"},
                        {"address", "127.0.0.1:1"},
                        {"zone", "z"},
                        {"capacity", 2},
                        {"state", "draining"},
                        {"warmupRemainingMs", 0}}}},
                     {"nextPageToken", "p"}};
  const std::string bytes = pack(page);
  const auto parsed = parseServerListPage(bytes);
  ASSERT_TRUE(std::holds_alternative<ServerListPage>(parsed));
  EXPECT_EQ(std::get<ServerListPage>(parsed).nextToken, "p");
  EXPECT_TRUE(std::get<ServerListPage>(parsed).instances.at(0).draining);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_TRUE(std::holds_alternative<ServerListPageError>(parseServerListPage(bytes.substr(0, size))));
  json incomplete = page;
  incomplete["instances"][0].erase("address");
  EXPECT_TRUE(std::holds_alternative<ServerListPageError>(parseServerListPage(pack(incomplete))));
}

// Guards against a control process that ends because the list cannot be told to gateways as JSON.
TEST(ServerListPage, ATextThatIsNotUtf8IsRejected) {
  for (const char* field : {"instanceId", "targetService", "address", "zone"}) {
    json entry = {
        {"instanceId", "i"}, {"targetService", "s"}, {"address", "a"}, {"zone", "z"}, {"state", "x"}};
    entry[field] = "B\xfc";
    const auto parsed = parseServerListPage(pack({{"instances", {entry}}, {"nextPageToken", nullptr}}));
    const auto* error = std::get_if<ServerListPageError>(&parsed);
    ASSERT_NE(error, nullptr) << field;
    EXPECT_EQ(*error, ServerListPageError::malformedText) << field;
  }
}

}  // namespace
}  // namespace lilacmux::test
