#include "cli/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace lilacmux {

Logger::Logger(const std::string& level)
    : logger_(
          std::make_shared<spdlog::logger>("lilacmux", std::make_shared<spdlog::sinks::stderr_sink_st>())) {
  logger_->set_level(spdlog::level::from_str(level));
  logger_->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
}

void Logger::info(const std::string& line) const { logger_->info("{}", line); }
void Logger::warn(const std::string& line) const { logger_->warn("{}", line); }
void Logger::error(const std::string& line) const { logger_->error("{}", line); }

}  // namespace lilacmux
