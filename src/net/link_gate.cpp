#include "net/link_gate.hpp"

#include <chrono>
#include <utility>

#include "net/steady.hpp"

namespace lilacmux {

double LinkGate::queue() const { return pace_.queue(steadyMs()); }

void LinkGate::passed(std::size_t bytes) { pace_.passed(steadyMs(), bytes); }

void LinkGate::enter(std::function<void()> step) {
  if (waiting_.empty() && pace_.wait(steadyMs()) <= 0) return step();
  waiting_.push_back(std::move(step));
  if (waiting_.size() == 1) open();
}

void LinkGate::open() {
  const double wait = pace_.wait(steadyMs());
  timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(wait)));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    const auto step = std::move(waiting_.front());
    waiting_.pop_front();
    if (!waiting_.empty()) open();
    step();
  });
}

}  // namespace lilacmux
