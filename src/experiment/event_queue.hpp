// The clock of a simulation and what is to happen when. Events of the same time happen in the order in which
// they were scheduled, so a run is repeatable.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace lilacmux {

class EventQueue {
 public:
  using Millis = double;

  // The simulated time, ms from the start.
  Millis now() const { return now_; }
  void at(Millis when, std::function<void()> action) {
    events_.push({when, ++scheduled_, std::move(action)});
  }
  void after(Millis wait, std::function<void()> action) { at(now_ + wait, std::move(action)); }

  // Runs all events before `end`; the clock then shows the last one's time.
  void runBefore(Millis end) {
    while (!events_.empty() && events_.top().at < end) runNext();
  }
  // The same with those at `end`.
  void runThrough(Millis end) {
    while (!events_.empty() && events_.top().at <= end) runNext();
  }

 private:
  struct Event {
    Millis at = 0;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void runNext() {
    const Event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.action();
  }

  std::priority_queue<Event> events_;
  std::uint64_t scheduled_ = 0;
  Millis now_ = 0;
};

}  // namespace lilacmux
