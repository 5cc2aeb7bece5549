#ifndef TREFOILBEND_SETTINGS_MISTAKE_H_
#define TREFOILBEND_SETTINGS_MISTAKE_H_

#include <string>
#include <vector>

namespace trefoilbend::settings {

/** @brief A mistake in an INI file. */
struct Mistake {
  /** @brief File in which it stands. */
  std::string file;
  /** @brief Section or line in which it stands. */
  std::string place;
  /** @brief Key that is wrong; empty if it is the section itself. */
  std::string key;
  /** @brief What was expected. */
  std::string expected;
};

/** @brief All mistakes found, in the order of the file. */
using Mistakes = std::vector<Mistake>;

/**
 * @brief Writes a mistake as one line for a person.
 * @param mistake Mistake to write.
 * @return File, section, key and what was expected.
 */
[[nodiscard]] std::string ToString(const Mistake& mistake);

}  // namespace trefoilbend::settings

#endif  // TREFOILBEND_SETTINGS_MISTAKE_H_
