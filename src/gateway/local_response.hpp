// Responses that a gateway makes itself, in place of a server's.
#pragma once

#include <chrono>
#include <string>

#include "http/client_server.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux {

constexpr Time kDefaultRetryAfter = 250;  // ms, advice to clients where nothing better is known

inline Response textResponse(http::status status, const char* text) {
  Response out;
  out.status = status;
  out.body = std::string(text) + "\n";
  out.fields = plainText();
  return out;
}

inline Response textResponse(http::status status, const char* text, Time retryAfter) {
  Response out = textResponse(status, text);
  out.retryAfter = retryAfter;
  return out;
}

inline std::chrono::steady_clock::duration toDuration(Time ms) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace lilacmux
