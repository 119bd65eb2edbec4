// The times of the last reports of all grant holders, ordered by age, so that expired and unresponsive
// holders are found without a walk over all holders.
#pragma once

#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lilacmux {

class HolderActivity {
 public:
  using Millis = double;

  bool contains(const std::string& holder) const { return lastReport_.contains(holder); }
  // Returns the time of the holder's last report. Requires `contains(holder)`.
  Millis lastReport(const std::string& holder) const { return lastReport_.at(holder); }

  void reported(Millis now, const std::string& holder);
  void erase(const std::string& holder);

  // Returns a holder whose last report is at least `lease` ms old, or null if there is none.
  const std::string* expired(Millis now, Millis lease) const;
  // Returns the number of holders that are not expired.
  std::size_t count(Millis now, Millis lease) const;
  // Returns whether any incarnation of the holder with this name is present.
  bool containsName(const std::string& name) const;
  // Returns all other incarnations of this holder.
  std::vector<std::string> otherIncarnations(const std::string& holder) const;

  // Calls `visit(holder, lastReport)` for each holder whose last report is more than `age` ms old, the oldest
  // first.
  template <class Visit>
  void forEachOlder(Millis now, Millis age, Visit visit) const {
    for (const auto& [lastReport, holder] : byAge_) {
      if (lastReport + age >= now) break;
      visit(holder, lastReport);
    }
  }

 private:
  std::unordered_map<std::string, Millis> lastReport_;  // by holder
  std::set<std::pair<Millis, std::string>> byAge_;      // the same entries, the oldest first
};

}  // namespace lilacmux
