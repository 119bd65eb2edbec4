// A sharded service from end to end: the control nodes grant its keys to servers, and the gateway sends each
// request to the owner of its key.
#include <map>

#include "experiment/key_holder.hpp"
#include "net/steady.hpp"
#include "system_test.hpp"

namespace lilacmux::test {
namespace {

// A server that holds keys, on a socket of its own.
class ShardedServer {
 public:
  ShardedServer(asio::io_context& io, std::string id)
      : id_(std::move(id)),
        holder_(id_, 1),
        server_(
            io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0), CallServer::Limits{},
            [this](CallServer::Call&& call, const CallServer::Respond& respond) { respond(reply(call)); }) {}

  json listEntry() const {
    const auto endpoint = server_.address();
    return {{"instanceId", id_},
            {"targetService", "s"},
            {"address", endpoint.address().to_string() + ":" + std::to_string(endpoint.port())},
            {"zone", "z"},
            {"capacity", 3},
            {"state", draining ? "draining" : "available"},
            {"warmupRemainingMs", 0}};
  }
  bool holds(Key key) const { return holder_.holds(steadyMs(), key); }

  bool draining = false;
  unsigned served = 0, misdirected = 0, grants = 0;
  std::string lastHandoff;  // of the newest grant that brought one

 private:
  CallReply reply(const CallServer::Call& call) {
    if (call["X-Expected-Instance"] != id_) return callReply(http::status::misdirected_request, "");
    if (call.target() == "/api/grant") return grant(json::from_msgpack(call.body()));
    if (call.target() == "/api/release") return release(json::from_msgpack(call.body()));
    const auto key = static_cast<Key>(std::stoul(std::string(call["X-Shard-Key"])));
    const bool isHeld = holds(key);
    ++(isHeld ? served : misdirected);
    auto out = isHeld ? callReply(http::status::ok, id_) : callReply(http::status::misdirected_request, "");
    out.set(isHeld ? "X-Server-Seal" : "X-Not-Executed", "1");
    out.set("X-Attempt-Id", call["X-Attempt-Id"]);
    return out;
  }
  CallReply grant(const json& in) {
    ++grants;
    if (in.contains("handoff")) lastHandoff = in.at("handoff");
    const KeyRange keys{in.at("fromRevision").get<Key>(), in.at("targetRevision").get<Key>()};
    return callReply(http::status(holder_.grant(steadyMs(), keys, in.at("fence").get<Fence>(),
                                                in.at("holdDurationMs").get<double>())),
                     "");
  }
  CallReply release(const json& in) {
    const KeyRange keys{in.at("fromRevision").get<Key>(), in.at("targetRevision").get<Key>()};
    auto out = callReply(http::status::ok, "");
    out.set("X-Handover-Token", holder_.release(steadyMs(), keys));
    return out;
  }

  const std::string id_;
  KeyHolder holder_;
  CallServer server_;
};

class ShardedServiceTest : public SystemTest {
 protected:
  ShardedServiceTest() : first(io, "i-1"), second(io, "i-2") {}
  json serverList() const override {
    return {{"instances", {first.listEntry(), second.listEntry()}}, {"nextPageToken", nullptr}};
  }
  json shardedConfiguration() {
    json out = configuration(2, "k");
    out["backendServices"][0]["sharded"] = true;
    return out;
  }
  std::string getKey(Key key) { return get("/a/x", "k", "X-Shard-Key: " + std::to_string(key) + "\r\n"); }
  // Sends requests for the key until one is served; returns the id of the server.
  std::string serverOf(Key key) {
    std::string response;
    runUntil([&] { return containsText(response = getKey(key), "HTTP/1.1 200"); }, "the key is served");
    return response.substr(response.find("\r\n\r\n") + 4);
  }

  ShardedServer first, second;
};

// Guards against SHORT on sites with owners: no server was ever given a key, so none served a request.
TEST_F(ShardedServiceTest, ServersAreGrantedTheKeysAndServeThem) {
  ASSERT_EQ(replace(shardedConfiguration(), 0), 200u);
  runUntil([&] { return gateway->ready(); }, "the gateway is ready");
  EXPECT_NE(serverOf(0), serverOf(kKeyCount - 1));
  for (Key key = 0; key < kKeyCount; key += 4096) {
    EXPECT_NE(first.holds(key), second.holds(key)) << key;
    EXPECT_EQ(serverOf(key), first.holds(key) ? "i-1" : "i-2");
  }
  EXPECT_GT(first.grants, 0u);
  EXPECT_TRUE(containsText(get("/a/x", "k"), "HTTP/1.1 503")) << "a request without a key";
}

TEST_F(ShardedServiceTest, TheKeysOfADrainingServerAreHandedOverWithItsToken) {
  ASSERT_EQ(replace(shardedConfiguration(), 0), 200u);
  runUntil([&] { return gateway->ready(); }, "the gateway is ready");
  const std::string leaving = serverOf(0);
  ShardedServer& old = leaving == "i-1" ? first : second;
  ShardedServer& heir = leaving == "i-1" ? second : first;
  old.draining = true;
  runUntil([&] { return heir.holds(0); }, "the other server holds the keys");
  EXPECT_FALSE(old.holds(0));
  EXPECT_FALSE(heir.lastHandoff.empty());
  EXPECT_NE(serverOf(0), leaving);
}

TEST_F(ShardedServiceTest, TheNextPrimaryKeepsTheOwners) {
  ASSERT_EQ(replace(shardedConfiguration(), 0), 200u);
  runUntil([&] { return gateway->ready(); }, "the gateway is ready");
  const std::string owner = serverOf(0);
  nodes.front().reset();  // the first candidate, most likely the primary
  const unsigned before = first.grants + second.grants;
  runUntil([&] { return first.grants + second.grants > before + 4; }, "the next primary renews");
  EXPECT_EQ(serverOf(0), owner);
}

}  // namespace
}  // namespace lilacmux::test
