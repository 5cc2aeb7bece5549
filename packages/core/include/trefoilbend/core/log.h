#ifndef TREFOILBEND_CORE_LOG_H_
#define TREFOILBEND_CORE_LOG_H_

#include <spdlog/spdlog.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace trefoilbend::core {

/** @brief Log of one part of the process; each line carries the part's prefix.
 */
class Log {
 public:
  /**
   * @brief Makes the log of a part.
   * @param part Prefix of each line.
   */
  explicit Log(std::string_view part);

  /**
   * @brief Writes a line that needs nobody's attention.
   * @param format Format of the line.
   * @param arguments Values for the format.
   */
  template <typename... Arguments>
  void Info(spdlog::format_string_t<Arguments...> format,
            Arguments&&... arguments) const {
    this->logger->info(format, std::forward<Arguments>(arguments)...);
  }

  /** @copydoc Info */
  template <typename... Arguments>
  void Debug(spdlog::format_string_t<Arguments...> format,
             Arguments&&... arguments) const {
    this->logger->debug(format, std::forward<Arguments>(arguments)...);
  }

  /**
   * @brief Writes a line that calls for an operator's attention.
   * @param format Format of the line.
   * @param arguments Values for the format.
   */
  template <typename... Arguments>
  void Warn(spdlog::format_string_t<Arguments...> format,
            Arguments&&... arguments) const {
    this->logger->warn(format, std::forward<Arguments>(arguments)...);
  }

 private:
  std::shared_ptr<spdlog::logger> logger;
};

/**
 * @brief Sets the log levels of the parts.
 * @param level Level of the parts that are not listed: trace, debug, info,
 * warn, error or off.
 * @param levels Level for each listed part.
 */
void ConfigureLogs(const std::string& level,
                   const std::map<std::string, std::string>& levels);

/** @return Lines that were dropped since the start because the reader of
 * standard output was too slow. */
[[nodiscard]] std::uint64_t DroppedLogLines();

}  // namespace trefoilbend::core

#endif  // TREFOILBEND_CORE_LOG_H_
