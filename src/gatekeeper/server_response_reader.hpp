// How a loan server's responses are read: its load report, the metered use, and its word that it has not run
// a request.
#pragma once

#include <string>
#include <vector>

#include "upstream/connection_pool.hpp"

namespace lilacmux {

// A header that can be read in one way only; else nothing.
std::string_view only(const http::fields& fields, const char* name);

class ServerResponseReader : public ResponseReader {
 public:
  explicit ServerResponseReader(std::vector<std::string> reportFields)
      : reportFields_(std::move(reportFields)) {}
  AttemptResult read(const http::response_header<>& head, AttemptOutcome& outcome) const override;
  http::fields forwardedFields(const http::response_header<>& head) const override;

 private:
  const std::vector<std::string> reportFields_;
};

}  // namespace lilacmux
