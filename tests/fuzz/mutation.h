#ifndef TREFOILBEND_TESTS_FUZZ_MUTATION_H_
#define TREFOILBEND_TESTS_FUZZ_MUTATION_H_

#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace trefoilbend::fuzz {

/**
 * @brief Draws a damaged copy of a text: bytes replaced, removed, inserted and
 * repeated, and the end cut off.
 * @param text Text to damage.
 * @return The damaged text.
 */
[[nodiscard]] inline std::string DrawDamaged(std::string text) {
  constexpr int kMostChanges = 6;
  constexpr int kKinds = 5;
  constexpr std::size_t kLongestRepeat = 40;
  const int changes = *rc::gen::inRange(0, kMostChanges);
  for (int change = 0; change < changes && !text.empty(); ++change) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const char byte = *rc::gen::arbitrary<char>();
    const auto length = *rc::gen::inRange<std::size_t>(0, kLongestRepeat);
    switch (*rc::gen::inRange(0, kKinds)) {
      case 0:
        text[at] = byte;
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, 1, byte);
        break;
      case 3:
        text.insert(at, text.substr(at, length));
        break;
      default:
        text.resize(at);
        break;
    }
  }
  return text;
}

}  // namespace trefoilbend::fuzz

#endif  // TREFOILBEND_TESTS_FUZZ_MUTATION_H_
