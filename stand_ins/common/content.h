#ifndef TREFOILBEND_STAND_INS_COMMON_CONTENT_H_
#define TREFOILBEND_STAND_INS_COMMON_CONTENT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace trefoilbend::stand_ins {

/**
 * @brief Makes content that tells by every line what it belongs to.
 * @param subject What the content belongs to.
 * @param length Length in bytes.
 * @return The content: numbered lines that repeat the subject.
 */
[[nodiscard]] inline std::string MakeContent(const std::string_view subject,
                                             const std::size_t length) {
  std::string content;
  content.reserve(length + subject.size() + 32);
  for (std::size_t line = 0; content.size() < length; ++line) {
    content += std::to_string(line);
    content += ' ';
    content += subject;
    content += '\n';
  }
  content.resize(length);
  return content;
}

}  // namespace trefoilbend::stand_ins

#endif  // TREFOILBEND_STAND_INS_COMMON_CONTENT_H_
