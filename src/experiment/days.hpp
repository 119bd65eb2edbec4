// Draws days for the bench: troubles of any kind that a site knows, several at once, at any hour, up to the
// last moment and into the recovery, by a seed. A day is told as TOML, in the form of a site file's
// `[[day]]`.
#pragma once

#include <cstdint>
#include <filesystem>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace lilacmux {

// What() says which file or field is wrong.
struct DayError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct DayPlan {
  std::filesystem::path site;    // a site file, for the length of a day and its traffic
  std::set<std::string> kinds;   // those that may be drawn; empty: all
  std::set<std::string> always;  // one of each stands in every day
  std::uint64_t seed = 1;        // of the first day; each further one has the next
  unsigned count = 1;
  unsigned fewest = 4, most = 9;  // troubles in a day
  double closing = 1;             // the share of days that end with a closing fault
  double traffic = 1;             // times the traffic of the site's quiet day
};

struct DayTrouble {
  std::string kind;
  bool planned = false;  // stands under `plan`, else under `faults`
  double at = 0;         // s from the start of traffic
  std::string fields;    // the further ones, as TOML
};

struct Day {
  std::string name;
  std::uint64_t seed = 0;
  std::vector<DayTrouble> troubles;
  std::string closing;  // as TOML; empty: none
  std::string traffic;  // as TOML
};

// Throws DayError.
std::vector<Day> drawDays(const DayPlan& plan);
std::string asToml(const Day& day);
// The names of the kinds that the bench lists for a site, one a line: `name: what it means`.
std::set<std::string> kindsIn(const std::string& listing);

}  // namespace lilacmux
