// The settings file of a process: types, validation and reading.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lilacmux {

using Endpoint = boost::asio::ip::tcp::endpoint;

// A setting that is missing or invalid. what() is `path: problem`, one line for operators.
class SettingsError : public std::runtime_error {
 public:
  SettingsError(std::string path, std::string problem)
      : std::runtime_error(path + ": " + problem), path_(std::move(path)), problem_(std::move(problem)) {}
  // Of a file as a whole, which the caller names: what() is the problem alone.
  explicit SettingsError(std::string problem) : std::runtime_error(problem), problem_(std::move(problem)) {}

  // The setting's path in the file (`listeners.readiness`), or what was read instead of a setting; may be
  // empty.
  const std::string& path() const { return path_; }
  // What is wrong with it, or what was expected.
  const std::string& problem() const { return problem_; }

 private:
  std::string path_;
  std::string problem_;
};

// `bounds`: what the operators ask of the whole system. All are 0 or more.
struct ServiceBounds {
  double drainTimeoutMs = 3000;   // until no request is sent any more to a server that drains
  double gracePeriodS = 6;        // until a process that was told to end must have ended
  double ackTimeoutMs = 5000;     // until a change of the configuration must have been answered
  bool revocationGlobal = false;  // whether a revoked API key must end at partitioned gateways, too
  double revocationMs = 5000;     // until a revoked API key is refused; at least 1000 if revocationGlobal
  double quotaWindowS = 5;        // above 0
  double quotaOverage = 0;        // ratio of a tenant's quota by which it may be exceeded in a window
  double quotaSlack = 0;          // requests in a window by which it may be exceeded besides
  double retryBudgetRatio = 0;    // of a service's requests; with no slack either: no budget
  double retryBudgetSlack = 0;    // retries in a window
  double maxHoldMs = 10000;       // the longest lease of keys that a server may be granted; above 0

  // How long (ms) a gateway may serve after it asked the primary for the state that it goes by, if revocation
  // is global.
  double servingLeaseMs() const { return revocationMs - kRevocationReserveMs; }

 private:
  static constexpr double kRevocationReserveMs = 800;  // for the requests that are in flight
};

// Of one machine; its processes share the file.
struct NodeSettings {
  std::string name;
  std::string address;  // the machine's IP address
  std::string zone;
  std::optional<Endpoint> frontend;      // where clients connect to the gateway
  std::optional<Endpoint> readiness;     // the gateway's readiness and status; set if `frontend` is
  std::optional<Endpoint> controlPlane;  // where operators reach the control process
  unsigned short firstPort = 0;          // internal ports, both included
  unsigned short lastPort = 0;
  std::vector<Endpoint> seeds;  // control listeners of other machines
  bool bootstrap = false;       // whether the seeds form a new core
  unsigned memoryMb = 256;
  unsigned maxFileDescriptors = 1024;
  double networkMbps = 0;  // of the machine's link; 0: unknown
  std::optional<std::filesystem::path> dataDirectory;
  ServiceBounds bounds;
  unsigned machineFailures = 1;      // machines with a disk that may be lost at the same time
  std::optional<Endpoint> platform;  // the platform's API
  double platformRatePerS = 1;       // requests to it a second
};

// All throw SettingsError.
NodeSettings parseSettings(std::string_view json);
NodeSettings readSettings(const std::filesystem::path& file);
// An `ip:port` text; `path` names it in the error.
Endpoint parseAddress(std::string_view hostPort, const std::string& path);

// The internal port of the control process.
inline unsigned short controlPort(const NodeSettings& settings) { return settings.firstPort; }
// The internal addresses of the seeds' control processes.
std::vector<Endpoint> controlSeeds(const NodeSettings& settings);
// The seeds as a log line states them.
std::string seedsText(const NodeSettings& settings);
// `ip:port`, as in messages and on disk.
std::string textOf(const Endpoint& endpoint);

}  // namespace lilacmux
