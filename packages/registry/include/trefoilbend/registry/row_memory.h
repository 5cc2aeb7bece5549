#ifndef TREFOILBEND_REGISTRY_ROW_MEMORY_H_
#define TREFOILBEND_REGISTRY_ROW_MEMORY_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/platform/messages.h"

namespace trefoilbend::registry {

/** @brief Time for which a removed row is remembered; longer than any copy of
 * the store is old. */
inline constexpr std::chrono::milliseconds kRemovalMemory{60'000};

/** @brief What the store has of a row whose content of an earlier era stays in
 * force. */
struct HeldRow {
  /** @brief The row as the store has it; nothing if it has none. */
  std::optional<platform::Row> in_store;
  /** @brief Time up to which it may be written again. */
  core::TimePoint until{};

  /**
   * @brief Tells whether the store still has the same of the row.
   * @param row The row as it was read now; null if it is missing.
   * @return Whether nothing was written since.
   */
  [[nodiscard]] bool IsAgainst(const platform::Row* row) const {
    const bool same_presence = this->in_store.has_value() == (row != nullptr);
    return same_presence &&
           (row == nullptr || this->in_store->position == row->position);
  }
};

/**
 * @brief The rows of one table that are in force, and those that were removed
 * of late.
 *
 * Once the store has come back from an older copy, rows that it lacks or has in
 * an older form are held: what is known of them stays in force until they are
 * written again or a time is over.
 */
class RowMemory {
 public:
  /**
   * @brief Takes a row into force.
   * @param row Row as the store has it.
   */
  void Put(const platform::Row& row);

  /**
   * @brief Takes note that a row is gone.
   * @param key Key of the row.
   * @param now Current time.
   */
  void Remove(const std::string& key, core::TimePoint now);

  /**
   * @brief Keeps what is known of a row, or that it is gone, in force.
   * @param key Key of the row.
   * @param row What the store has of it, and until when it is held.
   */
  void Hold(const std::string& key, HeldRow row);

  /**
   * @brief Tells whether a row that was read in a later era may be from before
   * what is known of its key.
   *
   * A copy has no row with a higher version than the key's last one, so a row
   * with a higher version, or with the same version and another value, was
   * written since.
   *
   * @param row Row that the store has.
   * @return False if it was written later, or says the same.
   */
  [[nodiscard]] bool MayBeOlder(const platform::Row& row) const;

  /**
   * @brief Tells whether a row is in force as it was read now.
   * @param row Row that the store has.
   * @return Whether nothing was written since it was put.
   */
  [[nodiscard]] bool Has(const platform::Row& row) const;

  /**
   * @brief Tells whether any row of a key is in force.
   * @param key Key of the row.
   * @return False for one that is held as gone.
   */
  [[nodiscard]] bool Knows(const std::string& key) const {
    return this->rows.contains(key);
  }

  /** @return Keys of the rows that are in force or held. */
  [[nodiscard]] std::set<std::string> Keys() const;

  /**
   * @brief Finds out whether a row is held.
   * @param key Key of the row.
   * @return What the store has of it; null if it is not held.
   */
  [[nodiscard]] const HeldRow* FindHeld(const std::string& key) const;

  /**
   * @brief Returns the position that a row has in the store.
   * @param key Key of the row.
   * @return Its position, or platform::kAbsent.
   */
  [[nodiscard]] platform::Position InStore(const std::string& key) const;

  /**
   * @brief Lists the held rows whose time is over.
   * @param as_of Time as of which the table is known.
   * @return Keys with what the store has of them.
   */
  [[nodiscard]] std::map<std::string, HeldRow> DueAt(
      core::TimePoint as_of) const;

  /**
   * @brief Finds a row that is in force.
   * @param key Key of the row.
   * @return The row; null if there is none.
   */
  [[nodiscard]] const platform::Row* Find(const std::string& key) const;

  /** @return Number of the rows that are held. */
  [[nodiscard]] std::size_t HeldCount() const noexcept {
    return this->held.size();
  }

 private:
  struct Removal {
    platform::Position last;
    core::TimePoint at{};
  };

  std::map<std::string, platform::Row> rows;
  std::map<std::string, Removal> removals;
  std::map<std::string, HeldRow> held;
};

}  // namespace trefoilbend::registry

#endif  // TREFOILBEND_REGISTRY_ROW_MEMORY_H_
