#include "cli/experiments.hpp"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace lilacmux {
namespace {

const std::map<std::string, DiscoveryMutant> kMutants = {
    {"none", DiscoveryMutant::none},
    {"announcements", DiscoveryMutant::noAnnouncements},
    {"hints", DiscoveryMutant::disklessForgets},
    {"reload", DiscoveryMutant::reloadIgnoresSeeds},
};

// `-` stands for standard input.
std::string contentsOf(const std::string& file) {
  if (file == "-") return {std::istreambuf_iterator<char>(std::cin), {}};
  std::ifstream in(file, std::ios::binary);
  if (!in) throw DayError(file + ": cannot be read");
  return {std::istreambuf_iterator<char>(in), {}};
}

std::set<std::string> wordsOf(const std::string& list) {
  std::istringstream in(list);
  std::set<std::string> out;
  for (std::string word; std::getline(in, word, ',');)
    if (!word.empty()) out.insert(word);
  return out;
}

std::string asHex(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

}  // namespace

ExperimentCommands::ExperimentCommands(CLI::App& app) {
  auto* experiment = app.add_subcommand("experiment", "plays the system's cores under a simulated clock");
  experiment->require_subcommand(1);
  addFleet(*experiment);
  addCapacity(*experiment);
  addDays(*experiment);
  addDiscovery(*experiment);
  addCore(*experiment);
}

void ExperimentCommands::addFleet(CLI::App& experiment) {
  fleet_ = experiment.add_subcommand("fleet", "quotas and news over a fleet, and what they cost");
  fleet_->add_option("--gatekeepers", fleetPlan_.gatekeepers)
      ->check(CLI::Range(1, 5000))
      ->capture_default_str();
  fleet_->add_option("--tenants", fleetPlan_.tenants)->check(CLI::Range(1, 500000))->capture_default_str();
  fleet_->add_option("--relays", fleetPlan_.relays)->check(CLI::Range(1, 500))->capture_default_str();
  fleet_->add_option("--zones", fleetPlan_.zones)->check(CLI::Range(1, 100))->capture_default_str();
  fleet_->add_option("--requests", fleetPlan_.perGatekeeper, "a second and gatekeeper")
      ->capture_default_str();
  fleet_->add_option("--headroom", fleetPlan_.headroom, "quotas, of what is asked for")
      ->capture_default_str();
  fleet_->add_option("--flood", fleetPlan_.flood, "the largest tenant, times its quota")
      ->capture_default_str();
  fleet_->add_option("--seconds", fleetPlan_.seconds)->check(CLI::Range(1.0, 3600.0))->capture_default_str();
  fleet_->add_option("--seed", fleetPlan_.seed)->capture_default_str();
  fleet_->add_option("--cut-relay-at", fleetPlan_.cutRelayAtS, "s; 0: never")->capture_default_str();
  fleet_->add_option("--new-primary-at", fleetPlan_.newPrimaryAtS, "s; 0: never")->capture_default_str();
  fleet_->add_option("--link-mbps", fleetPlan_.linkMbps, "of a gatekeeper, inwards; 0: without a limit")
      ->capture_default_str();
  fleet_->add_option("--downloads", fleetPlan_.downloadsPerS, "a second and gatekeeper, through its link")
      ->capture_default_str();
  fleet_->add_option("--download-kb", fleetPlan_.downloadKb, "of each, mean")->capture_default_str();
  fleet_->add_option("--primary-gap", fleetPlan_.primaryGapS, "s without one before that")
      ->capture_default_str();
  fleet_->add_option("--servers", fleetPlan_.servers, "on the list; 0: three a gatekeeper")
      ->capture_default_str();
}

void ExperimentCommands::addCapacity(CLI::App& experiment) {
  capacity_ = experiment.add_subcommand("capacity", "bytes, memory and processor time by size, as a table");
  capacity_->add_option("--routes", capacityTarget_.routes)
      ->check(CLI::Range(1, 1000000))
      ->capture_default_str();
  capacity_->add_option("--tenants", capacityTarget_.tenants)
      ->check(CLI::Range(1, 1000000))
      ->capture_default_str();
  capacity_->add_option("--services", capacityTarget_.services)
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  capacity_->add_option("--servers", capacityTarget_.servers)
      ->check(CLI::Range(1, 1000000))
      ->capture_default_str();
  capacity_->add_option("--gatekeepers", capacityTarget_.gatekeepers)
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  capacity_->add_option("--relays", capacityTarget_.relays)
      ->check(CLI::Range(1, 10000))
      ->capture_default_str();
}

void ExperimentCommands::addDays(CLI::App& experiment) {
  days_ = experiment.add_subcommand("days", "draws days for the bench, as TOML files");
  days_->add_option("site", dayPlan_.site, "the site's file")->required()->check(CLI::ExistingFile);
  days_->add_option("folder", folder_, "where the days are written, one file each")
      ->required()
      ->check(CLI::ExistingDirectory);
  days_->add_option("--seed", dayPlan_.seed, "of the first day; each further one has the next")
      ->capture_default_str();
  days_->add_option("--count", dayPlan_.count)->check(CLI::Range(1, 10000))->capture_default_str();
  days_->add_option("--kinds", kindsFile_,
                    "what `fleetbench kinds` prints for the site, - for standard input");
  days_->add_option("--always", always_, "kinds that stand in each day, parted by commas");
  days_->add_option("--fewest", dayPlan_.minFaults, "troubles in a day")
      ->check(CLI::Range(0, 50))
      ->capture_default_str();
  days_->add_option("--most", dayPlan_.maxFaults, "troubles in a day")
      ->check(CLI::Range(0, 50))
      ->capture_default_str();
  days_->add_option("--closing", dayPlan_.closingShare, "the share of days that end with a closing fault")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  days_->add_option("--traffic", dayPlan_.trafficFactor, "times the traffic of the site's first day")
      ->check(CLI::Range(0.01, 10.0))
      ->capture_default_str();
}

void ExperimentCommands::addDiscovery(CLI::App& experiment) {
  discovery_ =
      experiment.add_subcommand("discovery", "whether all find the core after their seeds have changed");
  discovery_->add_option("--seed", discoveryPlan_.seed, "of the first play")->capture_default_str();
  discovery_->add_option("--count", runs_, "plays")->capture_default_str();
  discovery_->add_option("--threads", threads_)->check(CLI::Range(1, 256))->capture_default_str();
  discovery_->add_option("--members", discoveryPlan_.members)->check(CLI::Range(1, 9))->capture_default_str();
  discovery_->add_option("--spares", discoveryPlan_.spares)->check(CLI::Range(0, 9))->capture_default_str();
  discovery_->add_option("--diskless", discoveryPlan_.diskless)
      ->check(CLI::Range(0, 50))
      ->capture_default_str();
  discovery_->add_option("--gatekeepers", discoveryPlan_.gatekeepers)
      ->check(CLI::Range(0, 1000))
      ->capture_default_str();
  discovery_->add_option("--bound", discoveryPlan_.boundMs, "ms until all must follow the primary")
      ->capture_default_str();
  discovery_->add_option("--without", discoveryPlan_.mutant, "leaves a part out, to see that plays find it")
      ->transform(CLI::CheckedTransformer(kMutants));
  discovery_->add_flag("--trace", trace_, "tells of the first play alone, line by line");
}

void ExperimentCommands::addCore(CLI::App& experiment) {
  core_ = experiment.add_subcommand("core", "storms over the core's agreement, drawn by seed");
  core_->add_option("--seed", faultInjectionPlan_.seed, "of the first storm")->capture_default_str();
  core_->add_option("--count", faultInjectionPlan_.count, "storms; without an end if not told");
  core_->add_option("--seconds", faultInjectionPlan_.seconds, "for so long at most")
      ->check(CLI::PositiveNumber);
  core_->add_option("--threads", faultInjectionPlan_.threads)
      ->check(CLI::Range(1, 256))
      ->capture_default_str();
  core_->add_flag("--all", faultInjectionPlan_.all, "goes on after a storm that fails");
  core_->add_flag("--digest", digest_, "prints a digest over all that happened, to compare two versions by");
  core_->add_option("--explain", explained_, "one storm again: what it needs to fail, and all that was said");
}

std::optional<int> ExperimentCommands::run() {
  if (fleet_->parsed()) {
    std::printf("%s\n", asJson(fleetPlan_, playFleet(fleetPlan_)).c_str());
    return 0;
  }
  if (capacity_->parsed()) {
    std::printf("%s", asTable(measureCapacity(capacityTarget_)).c_str());
    return 0;
  }
  if (days_->parsed()) return writeDays();
  if (discovery_->parsed()) return runDiscoveryCommand();
  if (core_->parsed()) return runFaultInjectionCommand();
  return std::nullopt;
}

int ExperimentCommands::writeDays() {
  if (!kindsFile_.empty()) dayPlan_.kinds = kindsIn(contentsOf(kindsFile_));
  dayPlan_.always = wordsOf(always_);
  for (const Day& day : drawDays(dayPlan_)) {
    const auto file = folder_ / (day.name + ".toml");
    std::ofstream out(file, std::ios::binary);
    out << asToml(day);
    if (!out.flush()) throw DayError(file.string() + ": cannot be written");
    std::printf("%s\n", file.c_str());
  }
  return 0;
}

// A line of JSON for each storm that fails, and one in the end. Exit code 1: one has failed.
int ExperimentCommands::runFaultInjectionCommand() const {
  if (explained_) {
    const auto lines = explainFaultRun(*explained_);
    for (const std::string& line : lines) std::printf("%s\n", line.c_str());
    return lines.empty() ? 0 : 1;
  }
  const FaultInjectionSummary sums =
      runFaultInjection(faultInjectionPlan_, [](const FaultInjectionFailure& failure) {
        const nlohmann::json told = {{"seed", failure.seed}, {"failed", failure.reason}};
        std::printf("%s\n", told.dump().c_str());
        std::fflush(stdout);
      });
  nlohmann::json told = {{"seed", faultInjectionPlan_.seed},
                         {"played", sums.runs},
                         {"failures", sums.failures.size()},
                         {"perSecond", sums.perSecond}};
  if (digest_) told["digest"] = asHex(sums.digest);
  std::printf("%s\n", told.dump().c_str());
  return sums.failures.empty() ? 0 : 1;
}

// Exit code 1: a play broke the bound.
int ExperimentCommands::runDiscoveryCommand() const {
  if (trace_) {
    const DiscoveryRun run = runDiscovery(discoveryPlan_);
    for (const std::string& line : run.trace) std::printf("%s\n", line.c_str());
    std::printf("connected %d, found after %.0f ms\n", run.connected, run.convergenceMs);
    for (const std::string& line : run.violations) std::printf("wrong: %s\n", line.c_str());
    return run.violations.empty() ? 0 : 1;
  }
  const DiscoverySummary summary = runDiscoveries(discoveryPlan_, runs_, threads_);
  std::printf("%s\n", asJson(discoveryPlan_, summary).c_str());
  return summary.failedSeeds.empty() ? 0 : 1;
}

}  // namespace lilacmux
