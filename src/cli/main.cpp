// lilacmux: an API gateway. The role is a subcommand.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "cli/experiments.hpp"
#include "cli/operator.hpp"
#include "cli/role_process.hpp"
#include "control/control_node.hpp"
#include "gateway/gateway.hpp"
#include "settings/settings.hpp"

namespace {

using namespace lilacmux;

// The command line: its options and subcommands, and what they have been set to.
class CommandLine {
 public:
  CommandLine() {
    addGlobalOptions();
    addRoles();
    addConfigCommands();
    addSnapshotCommands();
    addControlOptions();
    addStatusCommand();
    experiments_.emplace(app_);
  }

  // Throws CLI::ParseError.
  void parse(int count, char** words) { app_.parse(count, words); }
  int exit(const CLI::ParseError& error) const {
    return app_.exit(error) == 0 ? kExitSuccess : kExitBadInput;
  }

  // Runs the subcommand that was given and returns the exit code. Throws SettingsError and DayError.
  int run() {
    if (check_->parsed()) return checkSettings();
    if (const auto code = experiments_->run()) return *code;
    if (status_->parsed()) return Operator::status(parseAddress(address_, "at"), printsJson_);
    if (snapshotInspect_->parsed()) return Operator::inspect(file_);
    if (snapshot_->parsed()) return runSnapshotCommand();
    if (config_->parsed()) return runConfigCommand();
    return control_->parsed() ? runRole<ControlNode>(settingsFile_, logLevel_)
                              : runRole<Gateway>(settingsFile_, logLevel_);
  }

 private:
  // --- Options. The order is that of the help text.

  void addGlobalOptions() {
    app_.add_option("-c,--config", settingsFile_, "the settings file")
        ->envname("LILACMUX_CONFIG")
        ->capture_default_str();
    app_.add_option("-l,--log-level", logLevel_, "trace, debug, info, warn, error or off")
        ->check(CLI::IsMember({"trace", "debug", "info", "warn", "error", "off"}))
        ->capture_default_str();
    app_.set_version_flag("--version", "lilacmux 0.1.0");
    app_.require_subcommand(1);
    app_.fallthrough();
  }

  void addRoles() {
    app_.add_subcommand("gateway", "carries clients' requests to servers");
    control_ = app_.add_subcommand("control", "keeps the configuration; one of the core");
    check_ = app_.add_subcommand("check", "reads the settings file and says what is wrong with it");
  }

  void addConfigCommands() {
    config_ = app_.add_subcommand("config", "reads and changes the configuration of a running system");
    configGet_ = config_->add_subcommand("get", "prints what is in place, as JSON");
    configPut_ = config_->add_subcommand("put", "puts a file in place of it; exit code 1: refused");
    configDiff_ = config_->add_subcommand("diff", "what a file would change; exit code 1: something");
    for (CLI::App* command : {configPut_, configDiff_})
      command->add_option("file", file_, "JSON or MessagePack")->required();
  }

  void addSnapshotCommands() {
    snapshot_ = app_.add_subcommand("snapshot", "the configuration in a checksummed file");
    snapshotSave_ = snapshot_->add_subcommand("save", "what is in place, into a file");
    snapshotRestore_ =
        snapshot_->add_subcommand("restore", "a file into a system that has none, or an older one");
    snapshotInspect_ = snapshot_->add_subcommand("inspect", "whether a file is whole, and what it holds");
    for (CLI::App* command : {snapshotSave_, snapshotRestore_, snapshotInspect_})
      command->add_option("file", file_, "the file")->required();
  }

  void addControlOptions() {
    for (CLI::App* command : {config_, snapshot_}) {
      command->add_option("--at", address_,
                          "a control listener, ip:port; else the settings file's seed nodes");
      command->require_subcommand(1);
    }
  }

  void addStatusCommand() {
    status_ = app_.add_subcommand("status", "what a running process knows");
    status_->add_option("at", address_, "its control or readiness listener, ip:port")->required();
    status_->add_flag("--json", printsJson_, "as JSON");
  }

  // --- Commands

  int checkSettings() const {
    const NodeSettings settings = readSettings(settingsFile_);
    std::printf("%s: good, node %s in %s\n", settingsFile_.c_str(), settings.name.c_str(),
                settings.zone.c_str());
    return kExitSuccess;
  }

  int runSnapshotCommand() const {
    const Operator commands(controlListeners());
    return snapshotSave_->parsed() ? commands.save(file_) : commands.restore(file_);
  }

  int runConfigCommand() const {
    const Operator commands(controlListeners());
    if (configGet_->parsed()) return commands.get();
    return configPut_->parsed() ? commands.put(file_) : commands.diff(file_);
  }

  // The one that was given, else the seeds of the settings file.
  std::vector<Endpoint> controlListeners() const {
    if (!address_.empty()) return {parseAddress(address_, "--at")};
    const NodeSettings settings = readSettings(settingsFile_);
    if (settings.seeds.empty()) throw SettingsError("seedNodes", "is empty; say --at ip:port");
    return settings.seeds;
  }

  CLI::App app_{"An API gateway: one program, the role is a subcommand.", "lilacmux"};
  CLI::App *control_ = nullptr, *check_ = nullptr, *status_ = nullptr;
  CLI::App *config_ = nullptr, *configGet_ = nullptr, *configPut_ = nullptr, *configDiff_ = nullptr;
  CLI::App *snapshot_ = nullptr, *snapshotSave_ = nullptr, *snapshotRestore_ = nullptr,
           *snapshotInspect_ = nullptr;
  std::optional<ExperimentCommands> experiments_;

  std::string settingsFile_ = "/etc/lilacmux/settings.json";
  std::string logLevel_ = "info";
  std::string address_;  // of a control listener, or of the process whose status is asked for
  std::string file_;     // a configuration or a snapshot
  bool printsJson_ = false;
};

int fail(const std::exception& error) {
  std::fprintf(stderr, "lilacmux: %s\n", error.what());
  return kExitBadInput;
}

}  // namespace

int main(int count, char** words) {
  CommandLine commandLine;
  try {
    commandLine.parse(count, words);
  } catch (const CLI::ParseError& error) {
    return commandLine.exit(error);
  }
  try {
    return commandLine.run();
  } catch (const SettingsError& error) {
    return fail(error);
  } catch (const DayError& error) {
    return fail(error);
  }
}
