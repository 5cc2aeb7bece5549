#ifndef TREFOILBEND_CORE_POSITION_H_
#define TREFOILBEND_CORE_POSITION_H_

#include <cstdint>
#include <ostream>

#include "trefoilbend/core/number.h"

namespace trefoilbend::core {

/** @brief Number of a store's history; it rises each time the store comes back
 * from an older copy of itself. A store that tells none is in era 0. */
using Era = Number<struct EraTag>;

/**
 * @brief Version that a store has given to a row or to itself.
 *
 * The store gives versions out again after it has come back from a copy, so a
 * version alone has no order; see Position.
 */
class RowVersion {
 public:
  /** @brief Makes the version of a row that does not exist. */
  constexpr RowVersion() noexcept = default;

  /**
   * @brief Makes a version from its value.
   * @param value Value of the version.
   */
  constexpr explicit RowVersion(const std::uint64_t value) noexcept
      : value(value) {}

  /** @return The value of the version. */
  [[nodiscard]] constexpr std::uint64_t Value() const noexcept {
    return this->value;
  }

  /** @return The version that follows this one. */
  [[nodiscard]] constexpr RowVersion Next() const noexcept {
    return RowVersion{this->value + 1};
  }

  [[nodiscard]] constexpr bool operator==(const RowVersion&) const noexcept =
      default;

  friend std::ostream& operator<<(std::ostream& out,
                                  const RowVersion& version) {
    return out << version.value;
  }

 private:
  std::uint64_t value{};
};

/**
 * @brief Point in a store's history: the era, then the version within it.
 *
 * Positions have no operators that order them. Versions of two eras say nothing
 * of each other, so each comparison is a function that says what it means over
 * eras.
 */
class Position {
 public:
  /** @brief Makes the position before all history, which is that of a row that
   * does not exist. */
  constexpr Position() noexcept = default;

  /**
   * @brief Makes a position.
   * @param era Era of the store.
   * @param version Version within the era.
   */
  constexpr Position(const core::Era era, const RowVersion version) noexcept
      : era(era), version(version) {}

  /**
   * @brief Makes a position in the history of a store that tells no era.
   * @param version Version that the store has told.
   * @return The position in era 0.
   */
  [[nodiscard]] static constexpr Position WithoutEra(
      const std::uint64_t version) noexcept {
    return {core::Era{}, RowVersion{version}};
  }

  /** @return The era. */
  [[nodiscard]] constexpr core::Era Era() const noexcept { return this->era; }

  /** @return The version, which has a meaning within the era only. */
  [[nodiscard]] constexpr RowVersion Version() const noexcept {
    return this->version;
  }

  /** @return The next position of the same era. */
  [[nodiscard]] constexpr Position Next() const noexcept {
    return {this->era, this->version.Next()};
  }

  /**
   * @brief Tells whether this position lies in the same era as another.
   * @param other Position to compare with.
   * @return Whether their versions may be compared.
   */
  [[nodiscard]] constexpr bool SharesEraWith(
      const Position& other) const noexcept {
    return this->era == other.era;
  }

  /**
   * @brief Tells whether this position lies in an earlier era than another.
   * @param other Position to compare with.
   * @return Whether the store has come back from a copy in between.
   */
  [[nodiscard]] constexpr bool IsOfEarlierEraThan(
      const Position& other) const noexcept {
    return this->era < other.era;
  }

  /**
   * @brief Tells whether the store was here first: in an earlier era, or at a
   * lower version of the same one. What was written at a position of an earlier
   * era may be lost all the same.
   * @param other Position to compare with.
   * @return Whether this one comes first.
   */
  [[nodiscard]] constexpr bool Precedes(const Position& other) const noexcept {
    return this->era < other.era ||
           (this->era == other.era &&
            this->version.Value() < other.version.Value());
  }

  /**
   * @brief Tells whether the version is lower, whatever the eras. A row of a
   * later era whose version is higher than that of an earlier era was written
   * in the later one, as a copy holds none above its own.
   * @param other Position to compare with.
   * @return Whether the number of this one is lower.
   */
  [[nodiscard]] constexpr bool HasLowerNumberThan(
      const Position& other) const noexcept {
    return this->version.Value() < other.version.Value();
  }

  [[nodiscard]] constexpr bool operator==(const Position&) const noexcept =
      default;

  friend std::ostream& operator<<(std::ostream& out, const Position& position) {
    return out << position.era << '/' << position.version;
  }

 private:
  core::Era era;
  RowVersion version;
};

/**
 * @brief Returns the later of two points in a store's history.
 * @param a One position.
 * @param b The other one.
 * @return The one that the other precedes; the first if they are equal.
 */
[[nodiscard]] constexpr Position LaterOf(const Position& a,
                                         const Position& b) noexcept {
  return a.Precedes(b) ? b : a;
}

}  // namespace trefoilbend::core

#endif  // TREFOILBEND_CORE_POSITION_H_
