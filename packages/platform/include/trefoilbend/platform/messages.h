#ifndef TREFOILBEND_PLATFORM_MESSAGES_H_
#define TREFOILBEND_PLATFORM_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/core/position.h"

namespace trefoilbend::platform {

using core::Era;
using core::Position;
using core::RowVersion;

/** @brief Position of a row that does not exist. */
inline constexpr Position kAbsent{};

/** @brief A row of the platform's table. */
struct Row {
  /** @brief Key of the row. */
  std::string key;
  /** @brief Value of the row. */
  std::string value;
  /** @brief Position at which the row was written, in the era in which it was
   * read. */
  Position position;
};

/** @brief Requirement that a row is as it was written last when a transaction
 * commits. It holds in the era of its position only. */
struct Condition {
  /** @brief Key of the row. */
  std::string key;
  /** @brief Position that the row must have; kAbsent for no such row. */
  Position position;
};

/** @brief Change of one row. */
struct Write {
  /** @brief Key of the row. */
  std::string key;
  /** @brief New value, or nothing to delete the row. */
  std::optional<std::string> value;
};

/** @brief Changes that take effect together or not at all. */
struct Transaction {
  /** @brief Requirements, all checked before the first write. */
  std::vector<Condition> conditions;
  /** @brief Changes. */
  std::vector<Write> writes;
};

/** @brief The transaction has taken effect. */
struct Committed {
  /** @brief Position of all rows that were written, if the store tells it. */
  std::optional<Position> position;
};

/** @brief The transaction has had no effect because a condition did not hold.
 */
struct Conflict {
  /** @brief Rows whose conditions did not hold, as they are; absent ones with
   * an empty value. Empty if the conditions are of an earlier era, so that the
   * rows are not known. */
  std::vector<Row> rows;
};

/** @brief The platform gave no usable answer. */
struct Unavailable {
  /** @brief Whether a write may have taken effect all the same. */
  bool effect_unknown{};
  /** @brief Cause in words. */
  std::string message;
};

/** @brief State of an instance in the platform's list. */
enum class InstanceState : std::uint8_t { kLive, kLeaving };

/** @brief An instance in the platform's list. */
struct ListedInstance {
  /** @brief Name of the instance. */
  core::InstanceName name;
  /** @brief State of the instance. */
  InstanceState state = InstanceState::kLive;
  /** @brief Time until which a target is cold by its own account. */
  core::TimePoint cold_until{};
  /** @brief Run of the instance's process, if it tells it. */
  core::Incarnation incarnation{};

  [[nodiscard]] bool operator==(const ListedInstance&) const = default;
};

/** @brief Result of a transaction. */
using TransactOutcome = std::variant<Committed, Conflict, Unavailable>;

/** @brief What the store holds under a key. */
struct FoundRow {
  /** @brief The row; nothing if it is absent. */
  std::optional<Row> row;
  /** @brief Era in which it was read. */
  core::Era era;
};

/** @brief Result of reading a row that may be absent. */
using ReadOutcome = std::variant<FoundRow, Unavailable>;

/** @brief Result of reading an object that may be absent. */
using ObjectOutcome = std::variant<std::optional<std::string>, Unavailable>;

/** @brief Result of reading the rows of a range. */
using RangeOutcome = std::variant<std::vector<Row>, Unavailable>;

/** @brief All rows of a table as of one moment. */
struct TableState {
  /** @brief Rows in the order of their keys. */
  std::vector<Row> rows;
  /** @brief Position of the store at that moment. */
  Position position;
};

/** @brief Result of reading a whole table. */
using TableOutcome = std::variant<TableState, Unavailable>;

/** @brief A row that was written or deleted. */
struct RowChange {
  /** @brief The row; without a value if it was deleted. */
  Row row;
  /** @brief Whether the row was deleted. */
  bool deleted{};
};

/** @brief Changes of a table in their order. */
struct TableChanges {
  /** @brief Rows that changed. */
  std::vector<RowChange> changes;
  /** @brief Position after which the next changes follow. */
  Position position;
};

/** @brief The store has forgotten the changes that were asked for; the table
 * has to be read anew. */
struct HistoryLost {};

/** @brief Result of waiting for changes of a table. */
using ChangesOutcome = std::variant<TableChanges, HistoryLost, Unavailable>;

/** @brief The list is as it was when it was read last. */
struct NotModified {};

/** @brief Result of reading the list of instances. */
using ListOutcome =
    std::variant<std::vector<ListedInstance>, Unavailable, NotModified>;

}  // namespace trefoilbend::platform

#endif  // TREFOILBEND_PLATFORM_MESSAGES_H_
