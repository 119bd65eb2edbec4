// Polls the platform's server list, page by page, within the platform's rate limit. Only the primary polls
// it. A scan reads all pages; if any page fails, the whole scan is discarded. Runs on the thread of its
// io_context.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/server_list_age.hpp"
#include "fleet/server_list_page.hpp"
#include "net/fetch.hpp"

namespace lilacmux {

class PlatformWatcher {
 public:
  using OnList = std::function<void(const std::vector<Instance>&)>;
  using Log = std::function<void(const std::string&)>;

  // `ratePerS`: requests per second that the platform accepts from all clients together. `onList` is called
  // with the complete list after each successful scan.
  PlatformWatcher(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, double ratePerS,
                  OnList onList, Log log);
  ~PlatformWatcher() { *alive_ = false; }
  PlatformWatcher(const PlatformWatcher&) = delete;
  PlatformWatcher& operator=(const PlatformWatcher&) = delete;

  // Returns the time up to which the list is known, ms of the steady clock; see ServerListAge::asOf.
  std::optional<double> listAsOf() const { return age_.asOf(); }

 private:
  void beginScan();
  void requestPage(const std::string& token);
  void handlePage(std::optional<Fetched> response);
  void completeScan();
  void handleScanFailure(const std::string& reason);
  void handleRateLimit();
  void retryAfterPause(const std::string& reason, unsigned pauseFactor);
  void scheduleScan(std::chrono::milliseconds wait);
  // Calls `callback` after `wait`, unless this object has been destroyed by then.
  void after(std::chrono::milliseconds wait, std::function<void()> callback);

  Fetcher fetcher_;
  boost::asio::steady_timer timer_;
  const std::chrono::milliseconds minInterval_;  // between two requests
  const OnList onList_;
  const Log log_;
  std::vector<Instance> scannedServers_;  // servers on the pages read in this scan
  std::size_t lastListSize_ = 0;          // servers in the last complete list
  unsigned emptyScans_ = 0;               // consecutive
  unsigned failedScans_ = 0;              // consecutive
  unsigned pages_ = 0;                    // pages read in this scan
  ServerListAge age_;
  // False after destruction. A timer that expired before the destructor ran still invokes its handler later,
  // without an error.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lilacmux
