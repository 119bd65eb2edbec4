#include "experiment/days.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <cstdio>
#include <sstream>

#include "experiment/random.hpp"

namespace lilacmux {
namespace {

constexpr double kLatestOfLength =
    0.98;                         // of the day: troubles may still last when the closing fault strikes
constexpr unsigned kChanges = 2;  // of the configuration in each day, at least

// A field of a trouble and the range that it is drawn from.
struct Range {
  const char* name;
  double least, most;
  bool isWhole = false;
};

// One kind of trouble, as the bench names it, with what may be drawn for it. `how`: one of them is drawn;
// several words, parted by blanks, belong together.
struct Kind {
  const char* name;
  bool planned;
  std::vector<Range> ranges;
  std::vector<const char*> how;
  std::vector<const char*> on;  // where it may strike; empty: as the bench draws it
};

const Range kFor{"for_s", 1.0, 8.0};
const Range kShare{"share", 0.1, 0.5};

const std::vector<Kind>& catalogue() {
  static const std::vector<Kind> all = {
      {"burst", false, {{"x", 1.3, 2.2}, kFor}, {}, {}},
      {"retry_abuse", false, {{"share", 0.05, 0.3}, {"x", 1, 3, true}, kFor}, {}, {}},
      {"give_up", false, {{"share", 0.1, 0.4}, kFor}, {}, {}},
      {"hot_tenant", false, {{"x", 3, 10}, kFor}, {}, {}},
      {"srv_crash", false, {{"share", 0.1, 0.3}, kFor}, {"", "dark", "gone", "dark gone"}, {}},
      {"srv_grey",
       false,
       {{"share", 0.1, 0.3}, {"x", 0.2, 0.7}, kFor},
       {"errors", "shed", "hang", "reset", "mute", "errors one_zone"},
       {}},
      {"srv_lying_health", false, {{"share", 0.1, 0.3}, kFor}, {"errors", "hang", "reset", "bad"}, {}},
      {"srv_flap", false, {{"share", 0.1, 0.3}, {"gap_s", 0.4, 2}, kFor}, {}, {}},
      {"srv_slow", false, {{"share", 0.1, 0.3}, {"x", 2, 5}, kFor}, {}, {}},
      {"idle_race", false, {kShare, {"x", 100, 600}, kFor}, {}, {}},
      {"answer_lost", false, {kShare, {"x", 0.01, 0.1}, kFor}, {}, {}},
      {"garble",
       false,
       {kShare, {"x", 0.02, 0.3}, {"for_s", 3, 15}},
       {"", "extra", "unframed", "early", "extra unframed", "extra unframed early"},
       {}},
      {"node_kill",
       false,
       {{"count", 1, 2, true}, kFor},
       {"", "power", "leader", "power leader", "power turn", "power seed", "turn meet", "power meet drain"},
       {"", "core"}},
      {"node_freeze",
       false,
       {{"count", 1, 1, true}, {"for_s", 0.5, 6}},
       {"", "leader", "reader", "turn"},
       {"", "core"}},
      {"node_slow", false, {{"count", 1, 2, true}, {"x", 2, 6}, kFor}, {"", "leader"}, {"", "core"}},
      {"herd_kill",
       false,
       {{"share", 0.3, 1}, {"for_s", 0.5, 3}},
       {"", "power", "power taken", "power all taken"},
       {"", "core"}},
      {"replace_core",
       false,
       {{"x", 0.2, 3}},
       {"", "leader", "oldest", "planned", "leader planned", "planned drain", "turn"},
       {}},
      {"after_ack_kill",
       false,
       {{"count", 1, 1, true}, kFor},
       {"", "kill", "timed", "kill timed", "taken"},
       {}},
      {"after_ack_wipe", false, {{"count", 1, 1, true}, kFor}, {"", "oldest", "timed"}, {}},
      {"disk_slow", false, {{"count", 1, 2, true}, {"x", 5, 40}, kFor}, {"", "leader"}, {}},
      {"disk_full", false, {{"count", 1, 1, true}, kFor}, {"", "leader"}, {}},
      {"disk_stall", false, {{"count", 1, 1, true}, {"for_s", 0.5, 4}}, {"", "leader"}, {}},
      {"clock_step",
       false,
       {{"share", 0.1, 0.6}, {"x", 500, 5000}, kFor},
       {"", "leader", "back", "ahead"},
       {}},
      {"core_cut",
       false,
       {{"count", 1, 1, true}, kFor},
       {"", "leader", "all", "near", "oldest", "one_way", "leader one_way", "seeds", "both", "lure",
        "leader lure", "reset", "refuse", "leader meet", "turn race", "all meet drain"},
       {}},
      {"node_cut", false, {{"share", 0.1, 0.4}, kFor}, {"", "all", "servers", "reset", "refuse"}, {}},
      {"reset_conns", false, {kShare, {"x", 0.2, 1}}, {}, {"", "core"}},
      {"seed_turnover", false, {}, {}, {}},
      {"ack_lost", false, {{"x", 0.3, 0.9}, kFor}, {}, {}},
      {"release", true, {kShare, {"x", 1, 3, true}, {"gap_s", 0.4, 1.2}}, {}, {}},
      {"replace_with_reuse", true, {{"share", 0.1, 0.3}}, {"", "drain", "dark"}, {}},
      {"scale_in", true, {{"share", 0.1, 0.3}}, {"", "spot"}, {}},
      {"scale_out", true, {{"share", 0.1, 0.4}, {"gap_s", 0.5, 2}}, {}, {}},
      {"roll_term",
       true,
       {{"share", 0.2, 1}, {"x", 1, 2, true}, {"gap_s", 0.5, 2}},
       {"", "remove", "busy", "turn", "meet"},
       {}},
      {"hup", true, {{"share", 0.2, 1}, {"gap_s", 0.2, 2}}, {}, {}},
      {"config_storm", true, {{"for_s", 2, 5}, {"gap_s", 0.2, 0.8}}, {}, {}},
      {"config_race", true, {{"count", 1, 4, true}, {"gap_s", 0.3, 1.5}}, {}, {}},
      {"bad_config",
       true,
       {{"count", 1, 3, true}, {"gap_s", 0.3, 1}},
       {"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version",
        "same_version", "shared_key"},
       {}},
      {"revoke", true, {{"count", 1, 2, true}, {"gap_s", 0.5, 1.5}}, {}, {}},
      {"config_change", true, {}, {"route", "weights", "timeout", "tenant", "quota", "idle"}, {}},
  };
  return all;
}

const std::vector<const char*> kClosings = {"power_off_all", "kill_all", "wipe_after_ack"};
const std::vector<const char*> kClosingHows = {"", "", "timed", "taken"};
const std::vector<const char*> kWipeHows = {"", "", "timed", "taken", "oldest"};

std::string numberText(double value, bool isWhole) {
  char text[32];
  std::snprintf(text, sizeof text, isWhole ? "%.0f" : "%.3f", value);
  return text;
}

DayTrouble draw(const Kind& kind, double at, SeededRandom& random) {
  DayTrouble out{kind.name, kind.planned, at, ""};
  for (const Range& range : kind.ranges)
    out.fields += std::string(", ") + range.name + " = " +
                  numberText(random.between(range.least, range.most), range.isWhole);
  if (!kind.how.empty())
    if (const std::string how = random.oneOf(kind.how); !how.empty()) out.fields += ", how = \"" + how + "\"";
  if (!kind.on.empty())
    if (const std::string on = random.oneOf(kind.on); !on.empty()) out.fields += ", on = \"" + on + "\"";
  return out;
}

// What the days of a site have in common.
struct Site {
  double length = 0;
  toml::array traffic;
};

Site readSite(const DayPlan& plan) {
  toml::table file;
  try {
    file = toml::parse_file(plan.site.string());
  } catch (const toml::parse_error& why) {
    throw DayError(plan.site.string() + ": " + std::string(why.description()));
  }
  Site out;
  out.length = file["length_s"].value_or(0.0);
  const toml::array* traffic = file["day"][0]["traffic"].as_array();
  if (out.length <= 0 || !traffic)
    throw DayError(plan.site.string() + ": tells no length_s, or no day's traffic");
  out.traffic = *traffic;
  for (toml::node& each : out.traffic) {
    toml::table* zone = each.as_table();
    if (zone && plan.traffic != 1)
      zone->insert_or_assign("per_s", (*zone)["per_s"].value_or(0.0) * plan.traffic);
  }
  return out;
}

std::string asText(const toml::array& traffic) {
  std::string out = "[\n";
  for (const toml::node& each : traffic) {
    std::ostringstream line;
    if (const toml::table* zone = each.as_table()) {
      toml::table inlined = *zone;
      inlined.is_inline(true);
      line << inlined;
    }
    out += "  " + line.str() + ",\n";
  }
  return out + "]";
}

std::vector<const Kind*> allowedKinds(const DayPlan& plan) {
  std::vector<const Kind*> out;
  for (const Kind& kind : catalogue())
    if (plan.kinds.empty() || plan.kinds.contains(kind.name)) out.push_back(&kind);
  return out;
}

const Kind& kindNamed(const std::string& name) {
  const auto& all = catalogue();
  const auto found =
      std::find_if(all.begin(), all.end(), [&](const Kind& kind) { return kind.name == name; });
  if (found == all.end()) throw DayError(name + ": no kind of trouble that can be drawn");
  return *found;
}

std::string drawClosing(SeededRandom& random) {
  const std::string kind = random.oneOf(kClosings);
  const std::string how = random.oneOf(kind == "wipe_after_ack" ? kWipeHows : kClosingHows);
  return "{ kind = \"" + kind + "\", down_s = " + numberText(random.between(0.5, 2), false) +
         (how.empty() ? "" : ", how = \"" + how + "\"") + " }";
}

Day drawDay(const DayPlan& plan, const Site& site, std::uint64_t seed) {
  SeededRandom random(seed);
  const auto kinds = allowedKinds(plan);
  Day out;
  out.name = "drawn-" + std::to_string(seed);
  out.seed = seed;
  out.traffic = asText(site.traffic);
  const auto add = [&](const Kind& kind) {
    out.troubles.push_back(draw(kind, random.between(0.5, kLatestOfLength * site.length), random));
  };
  for (const std::string& name : plan.always) add(kindNamed(name));
  const std::size_t count = plan.fewest + random.index(plan.most - plan.fewest + 1);
  while (out.troubles.size() < count) add(*random.oneOf(kinds));
  for (unsigned change = 0; change < kChanges; ++change) add(kindNamed("config_change"));
  std::sort(out.troubles.begin(), out.troubles.end(),
            [](const DayTrouble& a, const DayTrouble& b) { return a.at < b.at; });
  if (random.chance() < plan.closing) out.closing = drawClosing(random);
  return out;
}

void addList(const Day& day, bool planned, std::string& out) {
  out += planned ? "plan = [\n" : "faults = [\n";
  for (const DayTrouble& each : day.troubles)
    if (each.planned == planned)
      out +=
          "  { at = " + numberText(each.at, false) + ", kind = \"" + each.kind + "\"" + each.fields + " },\n";
  out += "]\n";
}

}  // namespace

std::vector<Day> drawDays(const DayPlan& plan) {
  if (plan.fewest > plan.most) throw DayError("the fewest troubles are more than the most");
  if (allowedKinds(plan).empty()) throw DayError("no kind of trouble is left to draw from");
  const Site site = readSite(plan);
  std::vector<Day> out;
  for (unsigned i = 0; i < plan.count; ++i) out.push_back(drawDay(plan, site, plan.seed + i));
  return out;
}

std::string asToml(const Day& day) {
  std::string out = "[[day]]\nname = \"" + day.name +
                    "\"\nslot = \"trouble\"\nseed = " + std::to_string(day.seed) +
                    "\ntraffic = " + day.traffic + "\n";
  addList(day, true, out);
  addList(day, false, out);
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
