#include "cli/files.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "consensus/state_store.hpp"
#include "settings/settings.hpp"

namespace lilacmux {
namespace {

constexpr mode_t kOwnerOnly = 0600;

bool writeAll(int descriptor, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t written = ::write(descriptor, bytes.data() + done, bytes.size() - done);
    if (written < 0) return false;
    done += static_cast<std::size_t>(written);
  }
  return true;
}

}  // namespace

std::string readFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw SettingsError(file, "cannot be read");
  return {std::istreambuf_iterator<char>(in), {}};
}

bool writeFileDurably(const std::string& file, const std::string& bytes) {
  const std::string temporary = file + ".new";
  const int descriptor = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kOwnerOnly);
  if (descriptor < 0) return false;
  const bool isWritten = writeAll(descriptor, bytes) && ::fsync(descriptor) == 0;
  ::close(descriptor);
  if (!isWritten || ::rename(temporary.c_str(), file.c_str()) != 0) {
    ::unlink(temporary.c_str());
    return false;
  }
  return syncFolder(std::filesystem::absolute(file).parent_path());
}

}  // namespace lilacmux
