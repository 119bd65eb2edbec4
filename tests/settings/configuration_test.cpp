// Parsing a configuration: an invalid one is rejected as a whole, and fields come in any order.
#include "settings/configuration.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "settings/sample_configuration.hpp"

namespace lilacmux::test {
namespace {

using nlohmann::json;

bool valid(const json& told) { return std::holds_alternative<Configuration>(parseConfiguration(pack(told))); }

TEST(Configurations, WhatIsInvalidIsRefusedWhole) {
  EXPECT_TRUE(valid(sampleConfiguration()));
  const auto broken = [](const std::function<void(json&)>& how) {
    json told = sampleConfiguration();
    how(told);
    return !valid(told);
  };
  EXPECT_TRUE(broken([](json& c) { c["routeRules"][0]["targetService"] = "none"; }));
  EXPECT_TRUE(broken([](json& c) { c["routeRules"][1]["pathPrefix"] = "/a/"; }));
  EXPECT_TRUE(broken([](json& c) {
    for (auto& part : c["routeRules"][1]["trafficSplit"]) part["weight"] = 0;
  }));
  EXPECT_TRUE(broken([](json& c) { c["routeRules"][0]["timeoutMs"] = 0; }));
  EXPECT_TRUE(broken([](json& c) { c["routeRules"][0]["timeoutMs"] = "800"; }));
  EXPECT_TRUE(broken([](json& c) { c["routeRules"][0]["pathPrefix"] = "a/"; }));
  EXPECT_TRUE(broken([](json& c) { c["tenants"].push_back({{"name", "y"}, {"apiKeys", {"k2"}}}); }));
  EXPECT_TRUE(broken([](json& c) { c.erase("revision"); }));
  const std::string whole = pack(sampleConfiguration());
  for (std::size_t size = 0; size < whole.size(); ++size)
    EXPECT_TRUE(std::holds_alternative<std::string>(parseConfiguration(whole.substr(0, size)))) << size;
}

// Guards against a gateway that ends at each request of a tenant whose name cannot be told as JSON: no text
// of a configuration may be other than UTF-8, wherever it stands.
TEST(Configurations, ATextThatIsNotUtf8IsRefused) {
  const std::string latin1 =
      "B\xfc"
      "cherei";
  const auto valid = [](const json& told) {
    return std::holds_alternative<Configuration>(parseConfiguration(pack(told)));
  };
  const std::function<void(json&)> places[] = {
      [&](json& c) { c["tenants"][0]["name"] = latin1; },
      [&](json& c) { c["tenants"][0]["apiKeys"][0] = latin1; },
      [&](json& c) { c["routeRules"][0]["name"] = latin1; },
      [&](json& c) { c["routeRules"][0]["hostname"] = latin1; },
      [&](json& c) { c["routeRules"][0]["pathPrefix"] = "/" + latin1 + "/"; },
      [&](json& c) { c["backendServices"][0]["healthCheckPath"] = "/" + latin1; },
      [&](json& c) {
        c["backendServices"].push_back({{"name", latin1}});
      },
      [&](json& c) {
        c["unknown"] = {{"deep", {latin1}}};
      },
      [&](json& c) {
        c["unknown"] = {{latin1, 1}};
      }};
  for (const auto& put : places) {
    json told = sampleConfiguration();
    put(told);
    EXPECT_FALSE(valid(told)) << told.dump(-1, ' ', false, json::error_handler_t::replace);
    EXPECT_TRUE(std::holds_alternative<Configuration>(parseAcceptedConfiguration(pack(told))));
  }
  json told = sampleConfiguration();
  told["tenants"][0]["name"] =
      "B\xc3\xbc"
      "cherei";
  EXPECT_TRUE(valid(told));
}

// Guards against a route whose clients get another route's service: hosts that differ in letter case or port
// alone are one host to a request.
TEST(Configurations, TwoRoutesOfOneHostAndPrefixAreRefusedHoweverTheHostIsWritten) {
  for (const char* host : {"A.Example", "a.exampLe", "a.example:80", "A.EXAMPLE:8080"}) {
    json told = sampleConfiguration();
    told["routeRules"][1]["pathPrefix"] = told["routeRules"][0]["pathPrefix"];
    told["routeRules"][1]["hostname"] = host;
    EXPECT_TRUE(std::holds_alternative<std::string>(parseConfiguration(pack(told)))) << host;
    EXPECT_TRUE(std::holds_alternative<Configuration>(parseAcceptedConfiguration(pack(told)))) << host;
    told["routeRules"][1]["hostname"] = "b.example";
    EXPECT_TRUE(std::holds_alternative<Configuration>(parseConfiguration(pack(told)))) << host;
  }
}

// Fields come in any order, and what is told twice counts once.
TEST(Configurations, AreReadInAnyOrder) {
  const json told = sampleConfiguration();
  nlohmann::ordered_json turned;
  for (const char* name : {"tenants", "routeRules", "revision", "backendServices"}) turned[name] = told[name];
  const auto bytes = nlohmann::ordered_json::to_msgpack(turned);
  const auto read = parseConfiguration({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  ASSERT_TRUE(std::holds_alternative<Configuration>(read)) << std::get<std::string>(read);
  EXPECT_EQ(std::get<Configuration>(read).routes.size(), 2u);
  // A map of one more entry than `told`, with the routes once more at its end.
  std::string twice = pack(told);
  const auto routes = json::to_msgpack(json{{"routeRules", told["routeRules"]}});
  twice[0] = static_cast<char>(twice[0] + 1);
  twice.append(routes.begin() + 1, routes.end());
  const auto once = parseConfiguration(twice);
  ASSERT_TRUE(std::holds_alternative<Configuration>(once)) << std::get<std::string>(once);
  EXPECT_EQ(std::get<Configuration>(once).routes.size(), 2u);
  EXPECT_FALSE(valid({{"revision", 1}, {"backendServices", json::array()}, {"routeRules", {1}}}));
  EXPECT_FALSE(valid({{"revision", 1}, {"backendServices", json::array()}, {"routeRules", json::object()}}));
  json deep = 1;
  for (int i = 0; i < 1000; ++i) deep = json::array({deep});
  EXPECT_FALSE(valid({{"revision", 1}, {"x", deep}}));
}

}  // namespace
}  // namespace lilacmux::test
