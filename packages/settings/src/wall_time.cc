#include "trefoilbend/settings/wall_time.h"

#include <ctime>
#include <iomanip>
#include <sstream>

namespace trefoilbend::settings {

namespace {

using std::chrono::seconds;
using std::chrono::sys_seconds;

constexpr const char* kFormat = "%Y-%m-%dT%H:%M:%S";
constexpr std::size_t kLocalLength = 19;
constexpr std::size_t kOffsetLength = 6;

/** Reads a time by a format; one that is not written back alike is refused. */
std::optional<sys_seconds> ParseExactly(const std::string& text,
                                        const char* format) {
  std::tm read{};
  std::istringstream in{text};
  in >> std::get_time(&read, format);
  if (in.fail()) {
    return std::nullopt;
  }
  read.tm_isdst = 0;
  const sys_seconds time{seconds{timegm(&read)}};
  std::ostringstream again;
  again << std::put_time(&read, format);
  return again.str() == text ? std::optional{time} : std::nullopt;
}

std::optional<seconds> ParseZone(const std::string& text) {
  if (text == "Z") {
    return seconds{0};
  }
  const bool signed_offset =
      text.size() == kOffsetLength && (text[0] == '+' || text[0] == '-');
  const auto offset =
      signed_offset
          ? ParseExactly("1970-01-01T" + text.substr(1) + ":00", kFormat)
          : std::nullopt;
  if (!offset) {
    return std::nullopt;
  }
  const seconds east = offset->time_since_epoch();
  return text[0] == '+' ? east : -east;
}

}  // namespace

std::optional<sys_seconds> ParseWallTime(const std::string& text) {
  if (text.size() <= kLocalLength) {
    return std::nullopt;
  }
  const auto local = ParseExactly(text.substr(0, kLocalLength), kFormat);
  const auto east = ParseZone(text.substr(kLocalLength));
  return local && east ? std::optional{*local - *east} : std::nullopt;
}

}  // namespace trefoilbend::settings
