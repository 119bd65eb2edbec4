#include "fleet/platform_watcher.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

#include "net/steady.hpp"

namespace lilacmux {
namespace {

using namespace std::chrono_literals;

// Bounds the delay until a draining server is noticed; each request to the platform has a price.
constexpr auto kScanInterval = 500ms;
constexpr auto kResponseTimeout = 900ms;
constexpr auto kMaxPause = 2000ms;
constexpr unsigned kMaxPauseFactor = 4;  // the pause is one scan interval per consecutive failure, up to this
constexpr unsigned kRateLimitPauseFactor = 2;  // multiplies the pause after status 429
constexpr unsigned kMaxPages = 200;
constexpr unsigned kMinEmptyScans = 4;  // consecutive, before an empty list is accepted
constexpr double kShareOfRate = 0.5;    // of the rate that the platform accepts from all clients together
constexpr double kMinRatePerS = 0.1;

constexpr unsigned kOk = 200;
constexpr unsigned kTooManyRequests = 429;

std::string percentEncoded(const std::string& token) {
  static const char* digits = "0123456789ABCDEF";
  std::string out;
  for (const char c : token) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) || c == '-' || c == '_' || c == '.' || c == '~')
      out += c;
    else
      out.append({'%', digits[byte >> 4], digits[byte & 15]});
  }
  return out;
}

}  // namespace

PlatformWatcher::PlatformWatcher(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                                 double ratePerS, OnList onList, Log log)
    : fetcher_(io, address),
      timer_(io),
      minInterval_(static_cast<long>(1000 / std::max(kMinRatePerS, kShareOfRate * ratePerS))),
      onList_(std::move(onList)),
      log_(std::move(log)) {
  beginScan();
}

void PlatformWatcher::scheduleScan(std::chrono::milliseconds wait) {
  after(std::max<std::chrono::milliseconds>(wait, minInterval_), [this] { beginScan(); });
}

void PlatformWatcher::after(std::chrono::milliseconds wait, std::function<void()> callback) {
  timer_.expires_after(wait);
  timer_.async_wait([alive = alive_, callback = std::move(callback)](const boost::system::error_code& error) {
    if (!error && *alive) callback();
  });
}

void PlatformWatcher::beginScan() {
  scannedServers_.clear();
  pages_ = 0;
  age_.beginScan(steadyMs());
  requestPage("");
}

void PlatformWatcher::requestPage(const std::string& token) {
  const std::string target = token.empty() ? "/instances" : "/instances?pageToken=" + percentEncoded(token);
  fetcher_.get(target, kResponseTimeout,
               [this](std::optional<Fetched> response) { handlePage(std::move(response)); });
}

void PlatformWatcher::handlePage(std::optional<Fetched> response) {
  if (!response) return handleScanFailure("no response");
  if (response->status == kTooManyRequests) return handleRateLimit();
  if (response->status != kOk) return handleScanFailure("status " + std::to_string(response->status));
  const auto parsed = parseServerListPage(response->body);
  if (const auto* error = std::get_if<ServerListPageError>(&parsed))
    return handleScanFailure(describe(*error));
  age_.pageReceived();
  const auto& page = std::get<ServerListPage>(parsed);
  scannedServers_.insert(scannedServers_.end(), page.instances.begin(), page.instances.end());
  if (!page.nextToken.empty() && ++pages_ < kMaxPages)
    return after(minInterval_, [this, next = page.nextToken] { requestPage(next); });
  completeScan();
}

void PlatformWatcher::completeScan() {
  failedScans_ = 0;
  // It is unlikely that all servers disappear at once, so an empty list is presumably an error of the
  // platform.
  if (scannedServers_.empty() && lastListSize_ > 0 && ++emptyScans_ < kMinEmptyScans)
    return scheduleScan(kScanInterval);
  emptyScans_ = 0;
  lastListSize_ = scannedServers_.size();
  age_.completeScan();
  onList_(scannedServers_);
  scheduleScan(kScanInterval);
}

// While the platform does not respond, its draining servers cannot be known; ServerListAge accounts for that.
void PlatformWatcher::handleScanFailure(const std::string& reason) {
  age_.requestFailed(steadyMs());
  retryAfterPause(reason, 1);
}

void PlatformWatcher::handleRateLimit() {
  retryAfterPause("rate limited, status 429", kRateLimitPauseFactor);
}

void PlatformWatcher::retryAfterPause(const std::string& reason, unsigned pauseFactor) {
  if (failedScans_++ == 0)
    log_("reading the platform's server list failed (" + reason + "); retaining the previous list");
  const auto pause = kScanInterval * std::min(failedScans_, kMaxPauseFactor) * pauseFactor;
  scheduleScan(std::min<std::chrono::milliseconds>(pause, kMaxPause));
}

}  // namespace lilacmux
