#include "cli/role_process.hpp"

#include <malloc.h>
#include <sys/stat.h>

namespace lilacmux {
namespace {

constexpr int kMaxArenas = 1;
constexpr int kMmapThresholdBytes = 64 * 1024;
constexpr int kTrimThresholdBytes = 128 * 1024;
constexpr int kTopPadBytes = 32 * 1024;

}  // namespace

void tuneMemory() {
  mallopt(M_ARENA_MAX, kMaxArenas);
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  mallopt(M_TOP_PAD, kTopPadBytes);
}

FileStamp stampOf(const std::string& file) {
  struct stat status {};
  if (stat(file.c_str(), &status) != 0) return {};
  return {status.st_mtim.tv_sec * 1000000 + status.st_mtim.tv_nsec / 1000, status.st_size};
}

}  // namespace lilacmux
