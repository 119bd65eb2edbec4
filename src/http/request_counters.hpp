// What the operators' metrics tell: counted where an outcome becomes final, since the program's start.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "http/http.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux {

class RequestCounters {
 public:
  explicit RequestCounters(const std::vector<std::string>& classes)
      : classes_(classes), byClass_(classes.size()) {}

  // A final response that has been written whole.
  void responded(unsigned klass, http::status status) {
    ClassCounters& c = byClass_[klass];
    const bool refusal =
        status == http::status::too_many_requests || status == http::status::service_unavailable;
    ++(status == http::status::ok ? c.ok : refusal ? c.shed : c.errors);
  }
  // A request that ended without a whole response, through no fault of its client's.
  void failed(unsigned klass) { ++byClass_[klass].errors; }
  // An attempt whose last byte has been written to a server.
  void attempted(unsigned klass) { ++byClass_[klass].tries; }

  // Calls `look` with each kind's name and its answers so far: good, refused, failed; and its attempts.
  template <class Look>
  void each(Look look) const {
    for (std::size_t i = 0; i < byClass_.size(); ++i)
      look(classes_[i], byClass_[i].ok, byClass_[i].shed, byClass_[i].errors, byClass_[i].tries);
  }

  std::string text(std::size_t active, PoolView pool) const {
    std::string out;
    const auto line = [&](std::string_view name, std::uint64_t value) {
      out.append("edge_balancer.").append(name).append("=").append(std::to_string(value)).append("\n");
    };
    for (std::size_t i = 0; i < byClass_.size(); ++i) {
      line("ok." + classes_[i], byClass_[i].ok);
      line("shed." + classes_[i], byClass_[i].shed);
      line("errors." + classes_[i], byClass_[i].errors);
      line("tries." + classes_[i], byClass_[i].tries);
    }
    line("active", active);
    line("pool_size", pool.listed);
    line("pool_ejected", pool.avoided);
    return out;
  }

 private:
  struct ClassCounters {
    std::uint64_t ok = 0, shed = 0, errors = 0, tries = 0;
  };
  const std::vector<std::string> classes_;
  std::vector<ClassCounters> byClass_;
};

}  // namespace lilacmux
