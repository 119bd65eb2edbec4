// Reads the head of a client's request into a Call, by the classes, plans and limits of the configuration.
#pragma once

#include <variant>

#include "gatekeeper/config.hpp"
#include "http/call.hpp"

namespace lilacmux {

// By the head alone, so that what is wrong is rejected before its body comes.
std::variant<Call, Rejection> readCall(const http::request_header<>& head, const Config& config);

}  // namespace lilacmux
