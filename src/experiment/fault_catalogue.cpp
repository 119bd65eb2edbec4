#include "experiment/fault_catalogue.hpp"

#include <algorithm>

#include "experiment/days.hpp"

namespace lilacmux {
namespace {

// Seconds that a fault lasts, and the share of the servers, nodes or requests that it strikes.
const FaultParameter kFor{"for_s", 1.0, 8.0};
const FaultParameter kShare{"share", 0.1, 0.5};

}  // namespace

const std::vector<FaultKind>& faultKinds() {
  static const std::vector<FaultKind> all = {
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

const FaultKind& faultKindNamed(const std::string& name) {
  const auto& all = faultKinds();
  const auto found =
      std::find_if(all.begin(), all.end(), [&](const FaultKind& kind) { return kind.name == name; });
  if (found == all.end()) throw DayError(name + ": no kind of trouble that can be drawn");
  return *found;
}

const std::vector<ClosingFaultKind>& closingFaultKinds() {
  static const std::vector<ClosingFaultKind> all = {
      {"power_off_all", {"", "", "timed", "taken"}},
      {"kill_all", {"", "", "timed", "taken"}},
      {"wipe_after_ack", {"", "", "timed", "taken", "oldest"}},
  };
  return all;
}

}  // namespace lilacmux
