#include "experiment/days.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <cstdio>
#include <sstream>

#include "experiment/fault_catalogue.hpp"
#include "experiment/random.hpp"

namespace lilacmux {
namespace {

constexpr double kEarliestFault = 0.5;          // s from the start of traffic
constexpr double kLatestFault = 0.98;           // of the day; a fault may last into the closing one
constexpr unsigned kConfigurationChanges = 2;   // in each day, at least
constexpr double kMinDown = 0.5, kMaxDown = 2;  // s that the closing fault lasts
constexpr const char* kConfigurationChange = "config_change";

std::string numberText(double value, bool isWhole) {
  char text[32];
  std::snprintf(text, sizeof text, isWhole ? "%.0f" : "%.3f", value);
  return text;
}

// `, name = "word"`, or nothing where an empty word is drawn.
std::string drawnWord(const char* name, const std::vector<const char*>& words, SeededRandom& random) {
  if (words.empty()) return "";
  const std::string word = random.oneOf(words);
  return word.empty() ? "" : std::string(", ") + name + " = \"" + word + "\"";
}

DayFault drawFault(const FaultKind& kind, double at, SeededRandom& random) {
  DayFault out{kind.name, kind.isPlanned, at, ""};
  for (const FaultParameter& parameter : kind.parameters) {
    const double value = random.between(parameter.min, parameter.max);
    out.fields += std::string(", ") + parameter.name + " = " + numberText(value, parameter.isWhole);
  }
  out.fields += drawnWord("how", kind.variants, random);
  out.fields += drawnWord("on", kind.targets, random);
  return out;
}

std::string drawClosing(SeededRandom& random) {
  const ClosingFaultKind& kind = random.oneOf(closingFaultKinds());
  const std::string variant = drawnWord("how", kind.variants, random);
  const std::string downSeconds = numberText(random.between(kMinDown, kMaxDown), false);
  return std::string("{ kind = \"") + kind.name + "\", down_s = " + downSeconds + variant + " }";
}

// --- The site

// What the days of a site have in common.
struct Site {
  double length = 0;  // s
  toml::array traffic;
};

void multiplyTraffic(toml::array& traffic, double factor) {
  for (toml::node& node : traffic)
    if (toml::table* zone = node.as_table())
      zone->insert_or_assign("per_s", (*zone)["per_s"].value_or(0.0) * factor);
}

Site readSite(const DayPlan& plan) {
  toml::table file;
  try {
    file = toml::parse_file(plan.site.string());
  } catch (const toml::parse_error& error) {
    throw DayError(plan.site.string() + ": " + std::string(error.description()));
  }
  Site out;
  out.length = file["length_s"].value_or(0.0);
  const toml::array* traffic = file["day"][0]["traffic"].as_array();
  if (out.length <= 0 || !traffic)
    throw DayError(plan.site.string() + ": tells no length_s, or no day's traffic");
  out.traffic = *traffic;
  if (plan.trafficFactor != 1) multiplyTraffic(out.traffic, plan.trafficFactor);
  return out;
}

std::string trafficText(const toml::array& traffic) {
  std::string out = "[\n";
  for (const toml::node& node : traffic) {
    std::ostringstream line;
    if (const toml::table* zone = node.as_table()) {
      toml::table inlined = *zone;
      inlined.is_inline(true);
      line << inlined;
    }
    out += "  " + line.str() + ",\n";
  }
  return out + "]";
}

// --- A day

std::vector<const FaultKind*> allowedKinds(const DayPlan& plan) {
  std::vector<const FaultKind*> out;
  for (const FaultKind& kind : faultKinds())
    if (plan.kinds.empty() || plan.kinds.contains(kind.name)) out.push_back(&kind);
  return out;
}

std::vector<DayFault> drawFaults(const DayPlan& plan, const Site& site, SeededRandom& random) {
  const auto kinds = allowedKinds(plan);
  std::vector<DayFault> out;
  const auto add = [&](const FaultKind& kind) {
    const double at = random.between(kEarliestFault, kLatestFault * site.length);
    out.push_back(drawFault(kind, at, random));
  };
  for (const std::string& name : plan.always) add(faultKindNamed(name));
  const std::size_t count = plan.minFaults + random.index(plan.maxFaults - plan.minFaults + 1);
  while (out.size() < count) add(*random.oneOf(kinds));
  for (unsigned change = 0; change < kConfigurationChanges; ++change)
    add(faultKindNamed(kConfigurationChange));
  std::sort(out.begin(), out.end(), [](const DayFault& a, const DayFault& b) { return a.at < b.at; });
  return out;
}

Day drawDay(const DayPlan& plan, const Site& site, std::uint64_t seed) {
  SeededRandom random(seed);
  Day out;
  out.name = "drawn-" + std::to_string(seed);
  out.seed = seed;
  out.traffic = trafficText(site.traffic);
  out.faults = drawFaults(plan, site, random);
  if (random.chance() < plan.closingShare) out.closing = drawClosing(random);
  return out;
}

std::string faultList(const Day& day, bool planned) {
  std::string out = planned ? "plan = [\n" : "faults = [\n";
  for (const DayFault& fault : day.faults) {
    if (fault.isPlanned != planned) continue;
    const std::string at = numberText(fault.at, false);
    out += "  { at = " + at + ", kind = \"" + fault.kind + "\"" + fault.fields + " },\n";
  }
  return out + "]\n";
}

}  // namespace

std::vector<Day> drawDays(const DayPlan& plan) {
  if (plan.minFaults > plan.maxFaults) throw DayError("the fewest troubles are more than the most");
  if (allowedKinds(plan).empty()) throw DayError("no kind of trouble is left to draw from");
  const Site site = readSite(plan);
  std::vector<Day> out;
  for (unsigned i = 0; i < plan.count; ++i) out.push_back(drawDay(plan, site, plan.seed + i));
  return out;
}

std::string asToml(const Day& day) {
  std::string out = "[[day]]\nname = \"" + day.name + "\"\nslot = \"trouble\"\n";
  out += "seed = " + std::to_string(day.seed) + "\ntraffic = " + day.traffic + "\n";
  out += faultList(day, true);
  out += faultList(day, false);
  if (!day.closing.empty()) out += "closing = " + day.closing + "\n";
  return out;
}

std::set<std::string> kindsIn(const std::string& listing) {
  std::set<std::string> out;
  std::istringstream lines(listing);
  for (std::string line; std::getline(lines, line);) {
    const std::string name = line.substr(0, line.find(':'));
    const bool isName = name.size() < line.size() && !name.empty() &&
                        name.find_first_not_of("abcdefghijklmnopqrstuvwxyz_") == std::string::npos;
    if (isName) out.insert(name);
  }
  return out;
}

}  // namespace lilacmux
