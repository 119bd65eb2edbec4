// What the files of the Gateway class share: answers of its own, and what an attempt's end proves.
#pragma once

#include <chrono>
#include <string>

#include "irisring/decide.hpp"
#include "node/client_server.hpp"

namespace lilacmux {

constexpr double kRetryAfter = 250;  // ms advised where nothing better is known

inline std::chrono::steady_clock::duration span(double ms) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

inline burlwind::Answer textAnswer(burlwind::http::status status, const char* what) {
  burlwind::Answer out;
  out.status = status;
  out.body = std::string(what) + "\n";
  out.fields = burlwind::plainText();
  return out;
}

// Whether an attempt that ended so may have run the request.
inline bool ranOf(irisring::Result result) {
  return result != irisring::Result::full && result != irisring::Result::connectFailed &&
         result != irisring::Result::moot;
}

}  // namespace lilacmux
