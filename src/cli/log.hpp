// Lines on standard error: time, level, text.
#pragma once

#include <memory>
#include <string>

namespace spdlog {
class logger;
}

namespace lilacmux {

class Logger {
 public:
  explicit Logger(const std::string& level);
  void info(const std::string& line) const;
  void warn(const std::string& line) const;
  void error(const std::string& line) const;

 private:
  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace lilacmux
