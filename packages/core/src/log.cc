#include "trefoilbend/core/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <mutex>

namespace trefoilbend::core {

namespace internal {

struct LogLevels {
  std::mutex mutex;
  std::string level = "info";
  std::map<std::string, std::string> levels;
};

LogLevels& Levels() {
  static LogLevels levels;
  return levels;
}

std::string LevelOf(const std::string& part) {
  LogLevels& all = Levels();
  const std::lock_guard lock(all.mutex);
  const auto found = all.levels.find(part);
  return found == all.levels.end() ? all.level : found->second;
}

}  // namespace internal

Log::Log(const std::string_view part) {
  static const auto kSink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  const std::string name{part};
  this->logger = std::make_shared<spdlog::logger>(name, kSink);
  this->logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l %n: %v");
  this->logger->set_level(spdlog::level::from_str(internal::LevelOf(name)));
  this->logger->flush_on(spdlog::level::info);
}

void ConfigureLogs(const std::string& level,
                   const std::map<std::string, std::string>& levels) {
  internal::LogLevels& all = internal::Levels();
  const std::lock_guard lock(all.mutex);
  all.level = level;
  all.levels = levels;
}

}  // namespace trefoilbend::core
