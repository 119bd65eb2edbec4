// `lilacmux experiment ...`: the system's cores played under a simulated clock, and days drawn for the bench.
#pragma once

#include <CLI/CLI.hpp>
#include <filesystem>
#include <optional>
#include <string>

#include "experiment/capacity.hpp"
#include "experiment/days.hpp"
#include "experiment/discovery.hpp"
#include "experiment/fault_injection.hpp"
#include "experiment/fleet.hpp"

namespace lilacmux {

class ExperimentCommands {
 public:
  // Adds the subcommand and its own ones.
  explicit ExperimentCommands(CLI::App& app);
  // Runs the one that was given, if any, and returns the exit code. Throws DayError.
  std::optional<int> run();

 private:
  void addFleet(CLI::App& experiment);
  void addCapacity(CLI::App& experiment);
  void addDays(CLI::App& experiment);
  void addDiscovery(CLI::App& experiment);
  void addCore(CLI::App& experiment);
  int writeDays();
  int runDiscoveryCommand() const;
  int runFaultInjectionCommand() const;

  CLI::App *fleet_ = nullptr, *capacity_ = nullptr, *days_ = nullptr, *discovery_ = nullptr, *core_ = nullptr;
  FleetPlan fleetPlan_;
  CapacityTarget capacityTarget_;
  DayPlan dayPlan_;
  std::string kindsFile_, always_;
  std::filesystem::path folder_;
  DiscoveryPlan discoveryPlan_;
  std::uint64_t runs_ = 1000;
  unsigned threads_ = 1;
  bool trace_ = false;
  bool digest_ = false;
  FaultInjectionPlan faultInjectionPlan_;
  std::optional<std::uint64_t> explained_;
};

}  // namespace lilacmux
