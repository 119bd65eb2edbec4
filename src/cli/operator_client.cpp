#include "cli/operator_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <string_view>
#include <thread>

namespace lilacmux {
namespace {

namespace http = boost::beast::http;
using namespace std::chrono_literals;

constexpr auto kCallTimeout = 6s;   // a primary may wait for its backup
constexpr auto kRetryPeriod = 15s;  // while there is no primary
constexpr auto kRetryInterval = 200ms;
constexpr unsigned kMaxHops = 4;
constexpr std::uint64_t kMaxResponseBytes = 64 << 20;
constexpr unsigned kTemporaryRedirect = 307;
constexpr unsigned kServiceUnavailable = 503;

// The ip:port in http://ip:port/path.
std::optional<Endpoint> endpointOf(const std::string& location) {
  constexpr std::string_view kScheme = "http://";
  if (location.rfind(kScheme, 0) != 0) return std::nullopt;
  const auto end = location.find('/', kScheme.size());
  try {
    return parseAddress(location.substr(kScheme.size(), end - kScheme.size()), "Location");
  } catch (const SettingsError&) {
    return std::nullopt;
  }
}

http::request<http::string_body> toMessage(const Endpoint& server, const HttpRequest& request) {
  http::request<http::string_body> out(request.isPost ? http::verb::post : http::verb::get, request.path, 11);
  out.set(http::field::host, textOf(server));
  if (request.isPost) {
    out.set("X-Base-Revision", std::to_string(request.baseRevision));
    out.body() = request.body;
  }
  out.prepare_payload();
  return out;
}

}  // namespace

std::optional<HttpResponse> exchange(const Endpoint& server, const HttpRequest& request) {
  boost::asio::io_context io;
  boost::beast::tcp_stream stream(io);
  boost::beast::flat_buffer in;
  const auto message = toMessage(server, request);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  bool isComplete = false;
  stream.expires_after(kCallTimeout);
  stream.async_connect(server, [&](boost::system::error_code connectError) {
    if (connectError) return;
    http::async_write(stream, message, [&](boost::system::error_code writeError, std::size_t) {
      if (writeError) return;
      http::async_read(stream, in, parser,
                       [&](boost::system::error_code readError, std::size_t) { isComplete = !readError; });
    });
  });
  io.run();
  if (!isComplete) return std::nullopt;
  auto response = parser.release();
  const auto location = response[http::field::location];
  return HttpResponse{response.result_int(), std::move(response.body()), {location.data(), location.size()}};
}

HttpResponse OperatorClient::call(const HttpRequest& request) const {
  const auto until = std::chrono::steady_clock::now() + kRetryPeriod;
  HttpResponse last;
  for (std::size_t attempt = 0;; ++attempt) {
    Endpoint server = control_[attempt % control_.size()];
    for (unsigned hops = 0; hops < kMaxHops; ++hops) {
      const auto response = exchange(server, request);
      if (!response) break;
      last = *response;
      const auto redirect =
          response->status == kTemporaryRedirect ? endpointOf(response->location) : std::nullopt;
      if (!redirect) break;
      server = *redirect;
    }
    const bool isFinal =
        last.status != 0 && last.status != kServiceUnavailable && last.status != kTemporaryRedirect;
    if (isFinal || std::chrono::steady_clock::now() >= until) return last;
    std::this_thread::sleep_for(kRetryInterval);
  }
}

}  // namespace lilacmux
