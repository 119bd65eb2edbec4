// HTTP calls from the command line to control listeners and readiness listeners.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "settings/settings.hpp"

namespace lilacmux {

struct HttpRequest {
  bool isPost = false;
  std::string path;
  std::string body;
  std::uint64_t baseRevision = 0;  // sent with a post
};

struct HttpResponse {
  unsigned status = 0;  // 0: there was none
  std::string body;
  std::string location;  // of a redirect
};

// Sends one request and waits for its response. Nothing without a complete response in time.
std::optional<HttpResponse> exchange(const Endpoint& server, const HttpRequest& request);

// Finds the primary by way of any control listeners.
class OperatorClient {
 public:
  explicit OperatorClient(std::vector<Endpoint> control) : control_(std::move(control)) {}

  // Sends the request to one control listener after the other, follows redirects to the primary, and retries
  // for a while if there is no primary. The primary answers a repeated change as it did the first time.
  HttpResponse call(const HttpRequest& request) const;

 private:
  const std::vector<Endpoint> control_;
};

}  // namespace lilacmux
