// Host names as routes are selected by them.
#pragma once

#include <string>
#include <string_view>

namespace lilacmux {

// In lower case and without a port: host names are case-insensitive (RFC 9110, 4.2.3), and the port is no
// part of them.
std::string normalizedHost(std::string_view host);

}  // namespace lilacmux
