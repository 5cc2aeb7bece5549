#ifndef TREFOILBEND_IDEMPOTENCY_KEY_H_
#define TREFOILBEND_IDEMPOTENCY_KEY_H_

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "trefoilbend/core/name.h"
#include "trefoilbend/core/number.h"

namespace trefoilbend::idempotency {

/** @brief Wall-clock time at which a key became usable. */
using IssueTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** @brief The one process that may send a key's request to a target. */
struct Home {
  /** @brief Entry of the process. */
  core::InstanceName entry;
  /** @brief Run of the entry. */
  core::Incarnation incarnation;
  /** @brief Time from which the home's retention counts. */
  IssueTime issued{};

  [[nodiscard]] auto operator<=>(const Home&) const = default;
};

/** @brief Identity of a non-idempotent request. */
struct Key {
  /** @brief Process that may run it. */
  Home home;
  /** @brief Service of the request. */
  core::ServiceName service;
  /** @brief Whole text of the key as the caller sent it. */
  std::string text;

  [[nodiscard]] auto operator<=>(const Key&) const = default;
};

/**
 * @brief Writes the prefix with which a caller begins its keys.
 * @param home Home of the keys.
 * @return Text of the form tb1.ENTRY.INCARNATION.ISSUED~ with numbers in
 * hexadecimal digits.
 */
[[nodiscard]] std::string FormatPrefix(const Home& home);

/**
 * @brief Reads the home from a key.
 * @param text Text of the key.
 * @return The home, or nothing if the key has no prefix of trefoilbend or
 * nothing behind it.
 */
[[nodiscard]] std::optional<Home> ParseHome(std::string_view text);

}  // namespace trefoilbend::idempotency

#endif  // TREFOILBEND_IDEMPOTENCY_KEY_H_
