// Draws days for the bench: faults of any kind that a site knows, several at once, at any time, up to the
// last moment and into the recovery, by a seed. A day is written as TOML, in the form of `[[day]]` in a
// site's file.
#pragma once

#include <cstdint>
#include <filesystem>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace lilacmux {

// what() says which file or field is wrong.
struct DayError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct DayPlan {
  std::filesystem::path site;    // a site's file, for the length of a day and its traffic
  std::set<std::string> kinds;   // of faults, which may be drawn; empty: all
  std::set<std::string> always;  // kinds of which each day has one at least
  std::uint64_t seed = 1;        // of the first day; each further one has the next
  unsigned count = 1;            // of days
  unsigned minFaults = 4;        // in a day, beside two changes of the configuration
  unsigned maxFaults = 9;
  double closingShare = 1;   // of the days, those that end with a closing fault; 0 to 1
  double trafficFactor = 1;  // times the traffic of the site's first day
};

struct DayFault {
  std::string kind;
  bool isPlanned = false;  // listed under `plan`, else under `faults`
  double at = 0;           // s from the start of traffic
  std::string fields;      // the further ones, as TOML
};

struct Day {
  std::string name;
  std::uint64_t seed = 0;
  std::vector<DayFault> faults;  // by time
  std::string closing;           // as TOML; empty: none
  std::string traffic;           // as TOML
};

// Throws DayError.
std::vector<Day> drawDays(const DayPlan& plan);
std::string asToml(const Day& day);
// The names of the kinds that the bench lists for a site, one a line: `name: what it means`.
std::set<std::string> kindsIn(const std::string& listing);

}  // namespace lilacmux
