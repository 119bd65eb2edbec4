#include "settings/host_name.hpp"

#include <algorithm>
#include <cctype>

namespace lilacmux {

std::string normalizedHost(std::string_view host) {
  const auto colon = host.find(':');
  if (colon != std::string_view::npos && host.front() != '[') host = host.substr(0, colon);
  std::string out(host);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

}  // namespace lilacmux
