// The peer file is read back, and an invalid file is ignored.
#include "discovery/peer_file.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "discovery/addresses.hpp"

namespace lilacmux::test {
namespace {

class PeerFileTest : public ::testing::Test {
 protected:
  PeerFileTest() { std::filesystem::create_directories(folder); }
  ~PeerFileTest() override { std::filesystem::remove_all(folder); }
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("peer_file_test." + std::to_string(getpid()));
  const std::filesystem::path file = folder / "peers.json";
};

TEST_F(PeerFileTest, IsReadBackAndAnInvalidFileIsReadAsEmpty) {
  EXPECT_TRUE(readPeerFile(file).empty());
  ASSERT_TRUE(writePeerFile(file, {nodeId(1), nodeId(2)}));
  EXPECT_EQ(readPeerFile(file), (std::vector<NodeId>{nodeId(1), nodeId(2)}));
  for (const char* invalid : {"", "[\"10.0.0.1:7560\"", "[7]", "{}", "[\"nowhere\"]"}) {
    std::ofstream(file, std::ios::trunc) << invalid;
    EXPECT_TRUE(readPeerFile(file).empty()) << invalid;
  }
  EXPECT_FALSE(writePeerFile(folder / "missing" / "peers.json", {}));
}

}  // namespace
}  // namespace lilacmux::test
