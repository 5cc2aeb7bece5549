#ifndef TREFOILBEND_SETTINGS_SECTION_H_
#define TREFOILBEND_SETTINGS_SECTION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilbend/http/address.h"
#include "trefoilbend/settings/document.h"
#include "trefoilbend/settings/mistake.h"

namespace trefoilbend::settings {

/** @brief Bounds of a number or a length of time, both allowed. */
template <typename Value>
struct Range {
  /** @brief Least value. */
  Value least;
  /** @brief Greatest value. */
  Value most;
};

/**
 * @brief Reads the keys of one section and gathers every mistake.
 *
 * A key that is wrong yields its default or an empty value and adds a mistake.
 */
class Section {
 public:
  /**
   * @brief Begins to read a section.
   * @param file Name of the file for messages.
   * @param name Name of the section for messages.
   * @param entries Keys and values; outlives the reader.
   * @param mistakes Takes the mistakes; outlives the reader.
   */
  Section(std::string file, std::string name, const Document::Entries& entries,
          Mistakes& mistakes);

  /**
   * @brief Reads text.
   * @param key Key to read.
   * @param fallback Value if the key is missing; without one the key is
   * required.
   * @return The value.
   */
  [[nodiscard]] std::string Text(
      const std::string& key,
      const std::optional<std::string>& fallback = std::nullopt);

  /**
   * @brief Reads one word of a list.
   * @param key Key to read.
   * @param words Words that are allowed.
   * @param fallback Value if the key is missing; without one the key is
   * required.
   * @return The word.
   */
  [[nodiscard]] std::string Word(
      const std::string& key, const std::vector<std::string>& words,
      const std::optional<std::string>& fallback = std::nullopt);

  /**
   * @brief Reads an IP number with a port.
   * @param key Key to read.
   * @return The address.
   */
  [[nodiscard]] http::Address Address(const std::string& key);

  /**
   * @brief Reads an IP number with a port that may be missing.
   * @param key Key to read.
   * @return The address, or nothing.
   */
  [[nodiscard]] std::optional<http::Address> OptionalAddress(
      const std::string& key);

  /**
   * @brief Reads a whole number.
   * @param key Key to read.
   * @param range Bounds of the number.
   * @param fallback Value if the key is missing; without one the key is
   * required.
   * @return The number.
   */
  [[nodiscard]] std::uint64_t Integer(
      const std::string& key, Range<std::uint64_t> range,
      std::optional<std::uint64_t> fallback = std::nullopt);

  /**
   * @brief Reads a number that may have decimals, such as 0.2.
   * @param key Key to read.
   * @param range Bounds of the number.
   * @param fallback Value if the key is missing.
   * @return The number.
   */
  [[nodiscard]] double Decimal(const std::string& key, Range<double> range,
                               double fallback);

  /**
   * @brief Reads a number of bytes with a unit: B, KiB or MiB.
   * @param key Key to read.
   * @param range Bounds in bytes.
   * @param fallback Value if the key is missing.
   * @return The number of bytes.
   */
  [[nodiscard]] std::uint64_t Bytes(const std::string& key,
                                    Range<std::uint64_t> range,
                                    std::uint64_t fallback);

  /**
   * @brief Reads a length of time with a unit: us, ms, s, min or h.
   * @param key Key to read.
   * @param range Bounds of the time.
   * @param fallback Value if the key is missing; without one the key is
   * required.
   * @return The time.
   */
  [[nodiscard]] std::chrono::microseconds Time(
      const std::string& key, Range<std::chrono::microseconds> range,
      std::optional<std::chrono::microseconds> fallback = std::nullopt);

  /**
   * @brief Reads a length of time that may be missing.
   * @param key Key to read.
   * @param range Bounds of the time.
   * @return The time, or nothing.
   */
  [[nodiscard]] std::optional<std::chrono::microseconds> OptionalTime(
      const std::string& key, Range<std::chrono::microseconds> range);

  /**
   * @brief Reads a wall-clock time with its zone, which is required.
   * @param key Key to read.
   * @return The time.
   */
  [[nodiscard]] std::chrono::sys_seconds WallTime(const std::string& key);

  /**
   * @brief Reads yes or no.
   * @param key Key to read.
   * @param fallback Value if the key is missing.
   * @return True for yes.
   */
  [[nodiscard]] bool YesNo(const std::string& key, bool fallback);

  /** @brief Adds a mistake for each key that was not read. */
  void RefuseOtherKeys();

  /**
   * @brief Adds a mistake of the caller's own finding.
   * @param key Key that is wrong; empty for the section.
   * @param expected What was expected.
   */
  void Refuse(const std::string& key, std::string expected);

 private:
  [[nodiscard]] std::optional<std::string> Find(const std::string& key);
  [[nodiscard]] std::optional<std::string> Require(const std::string& key,
                                                   bool has_fallback,
                                                   std::string_view expected);

  std::string file;
  std::string name;
  const Document::Entries& entries;
  Mistakes& mistakes;
  std::set<std::string> known;
};

}  // namespace trefoilbend::settings

#endif  // TREFOILBEND_SETTINGS_SECTION_H_
