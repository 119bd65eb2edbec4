// Runs one role of lilacmux as a process: signals, reloads of the settings file, graceful shutdown.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <exception>
#include <string>

#include "cli/exit_code.hpp"
#include "cli/log.hpp"
#include "settings/settings.hpp"

namespace lilacmux {

// Keeps the process small: freed memory goes back to the system, and there is one arena.
void tuneMemory();

// By which a changed file is recognized; all 0 if there is none.
struct FileStamp {
  long modifiedUs = 0;  // since 1970
  long bytes = 0;

  bool operator==(const FileStamp&) const = default;
};

FileStamp stampOf(const std::string& file);

// `Role` (Gateway or ControlNode) is constructed from an io_context, settings and a log function, and has
// `reload` and `drain`. Everything runs on the thread that calls run().
//
// SIGHUP reloads the settings file; so does a change of the file, looked for once a second. SIGTERM and
// SIGINT drain the role and end the process.
template <class Role>
class RoleProcess {
 public:
  // Throws SettingsError, and whatever the role throws if it cannot start.
  RoleProcess(const std::string& settingsFile, const Logger& log)
      : settingsFile_(settingsFile),
        log_(log),
        stamp_(stampOf(settingsFile)),
        reloadSignal_(io_, SIGHUP),
        endSignals_(io_, SIGTERM, SIGINT),
        checkTimer_(io_),
        role_(io_, readSettings(settingsFile), [&log](const std::string& line) { log.info(line); }) {}

  // Returns when the role has drained.
  void run() {
    log_.info("started");
    awaitReloadSignal();
    checkFileLater();
    endSignals_.async_wait([this](const boost::system::error_code& error, int) {
      if (error) return;
      log_.info("leaves");
      role_.drain([this] { io_.stop(); });
    });
    io_.run();
  }

 private:
  static constexpr std::chrono::milliseconds kCheckInterval{1000};

  // Settings that cannot be read or are invalid change nothing.
  void reload() {
    stamp_ = stampOf(settingsFile_);
    try {
      role_.reload(readSettings(settingsFile_));
    } catch (const std::exception& error) {
      log_.warn(std::string("settings not taken: ") + error.what());
    }
  }

  void awaitReloadSignal() {
    reloadSignal_.async_wait([this](const boost::system::error_code& error, int) {
      if (error) return;
      reload();
      awaitReloadSignal();
    });
  }

  void checkFileLater() {
    checkTimer_.expires_after(kCheckInterval);
    checkTimer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      if (stampOf(settingsFile_) != stamp_) reload();
      checkFileLater();
    });
  }

  const std::string settingsFile_;
  const Logger& log_;
  FileStamp stamp_;  // of the settings that were read last
  boost::asio::io_context io_{1};
  boost::asio::signal_set reloadSignal_;
  boost::asio::signal_set endSignals_;
  boost::asio::steady_timer checkTimer_;
  Role role_;
};

// Throws SettingsError; any other error is logged.
template <class Role>
ExitCode runRole(const std::string& settingsFile, const std::string& logLevel) {
  const Logger log(logLevel);
  try {
    std::signal(SIGPIPE, SIG_IGN);
    tuneMemory();
    RoleProcess<Role>(settingsFile, log).run();
    return kExitSuccess;
  } catch (const SettingsError&) {
    throw;
  } catch (const std::exception& error) {
    log.error(error.what());
    return kExitFailed;
  }
}

}  // namespace lilacmux
