// The classes of requests that a gateway's decision engines tell apart: one for each pair of route type and
// latency target among the routes that have been used. Classes are only ever added, so that an index stays
// valid for the life of the process.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "lilacmux/decision_engine.hpp"
#include "settings/configuration.hpp"

namespace lilacmux {

class RequestClasses {
 public:
  // The index of the route's class in settings(); adds the class where it is new.
  unsigned classOf(const Route& route);
  const std::vector<ClassSettings>& settings() const { return settings_; }

 private:
  std::map<std::pair<RouteType, double>, unsigned> index_;  // by type and latency target in ms
  std::vector<ClassSettings> settings_;
};

}  // namespace lilacmux
