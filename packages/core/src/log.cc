#include "trefoilbend/core/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <mutex>
#include <vector>

namespace trefoilbend::core {

namespace internal {

/** Lines that wait to be written; the oldest give way to newer ones. */
constexpr std::size_t kMostWaitingLines = 512;

struct LogLevels {
  std::mutex mutex;
  std::string level = "info";
  std::map<std::string, std::string> levels;
  std::vector<std::weak_ptr<spdlog::logger>> loggers;

  [[nodiscard]] spdlog::level::level_enum LevelOf(
      const std::string& part) const {
    const auto found = this->levels.find(part);
    return spdlog::level::from_str(found == this->levels.end() ? this->level
                                                               : found->second);
  }
};

LogLevels& Levels() {
  static LogLevels levels;
  return levels;
}

/** All parts share it, so its pattern is set before the first line. */
const spdlog::sink_ptr& StandardOutput() {
  static const spdlog::sink_ptr kSink = [] {
    auto sink = std::make_shared<spdlog::sinks::stdout_sink_st>();
    sink->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l %n: %v");
    return sink;
  }();
  return kSink;
}

/** One thread writes all lines, so that no duty waits for the reader. It is
 * made after the sink, so that it has ended before the sink does. */
const std::shared_ptr<spdlog::details::thread_pool>& Writer() {
  static const auto kWriter = [] {
    (void)StandardOutput();
    return std::make_shared<spdlog::details::thread_pool>(kMostWaitingLines, 1);
  }();
  return kWriter;
}

}  // namespace internal

Log::Log(const std::string_view part) {
  const std::string name{part};
  this->logger = std::make_shared<spdlog::async_logger>(
      name, internal::StandardOutput(), internal::Writer(),
      spdlog::async_overflow_policy::overrun_oldest);
  internal::LogLevels& all = internal::Levels();
  const std::lock_guard lock(all.mutex);
  this->logger->set_level(all.LevelOf(name));
  all.loggers.push_back(this->logger);
}

std::uint64_t DroppedLogLines() {
  return internal::Writer()->overrun_counter();
}

void ConfigureLogs(const std::string& level,
                   const std::map<std::string, std::string>& levels) {
  internal::LogLevels& all = internal::Levels();
  const std::lock_guard lock(all.mutex);
  all.level = level;
  all.levels = levels;
  for (const std::weak_ptr<spdlog::logger>& weak : all.loggers) {
    if (const auto logger = weak.lock()) {
      logger->set_level(all.LevelOf(logger->name()));
    }
  }
}

}  // namespace trefoilbend::core
