#ifndef TREFOILBEND_FEED_TABLE_IMAGE_H_
#define TREFOILBEND_FEED_TABLE_IMAGE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <variant>

#include "trefoilbend/platform/messages.h"

namespace trefoilbend::feed {

/** @brief What a reader lacks of a table: changes, or the whole table if some
 * of them are forgotten. */
using TableNews = std::variant<platform::TableChanges, platform::TableState>;

/**
 * @brief Copy of one table of the store, from which this entry tells its peers
 * what they lack.
 *
 * Rows carry their versions, so that no history is needed but that of
 * deletions. A whole table tells nothing of the rows that were deleted before
 * it was read, which a reader may still have. So a reader that knows less than
 * the last whole table gets the whole table, and never a list of changes.
 */
class TableImage {
 public:
  /**
   * @brief Makes the image of an empty table.
   * @param most_deletions Deletions that are remembered; a reader that lacks
   * older ones gets the whole table.
   */
  explicit TableImage(std::size_t most_deletions)
      : most_deletions(most_deletions) {}

  /**
   * @brief Takes what the store, or a peer, has told of the table.
   * @param news Changes or the whole table; what is older than what is known is
   * passed over.
   */
  void Take(const TableNews& news);

  /** @return Version up to which the table is known. */
  [[nodiscard]] platform::RowVersion Version() const noexcept {
    return this->version;
  }

  /** @return Version of the newest row or deletion, known or possible. */
  [[nodiscard]] platform::RowVersion Newest() const noexcept {
    return this->newest;
  }

  /**
   * @brief Tells whether a reader lacks rows or deletions.
   * @param after Version up to which the reader knows the table.
   * @return Whether it does.
   */
  [[nodiscard]] bool HasNews(platform::RowVersion after) const noexcept {
    return after < this->newest;
  }

  /**
   * @brief Lists what a reader lacks.
   * @param after Version up to which the reader knows the table.
   * @return Changes in the order of their versions, or the whole table.
   */
  [[nodiscard]] TableNews After(platform::RowVersion after) const;

 private:
  void TakeState(const platform::TableState& state);
  void TakeChanges(const platform::TableChanges& changes);
  void Put(const platform::Row& row);
  void Delete(const std::string& key, platform::RowVersion at);

  std::size_t most_deletions;
  std::map<std::string, platform::Row> rows;
  std::deque<std::pair<std::string, platform::RowVersion>> deletions;
  platform::RowVersion version;
  /** Version up to which some row or deletion is known or possible. */
  platform::RowVersion newest;
  /** Version up to which deletions may be missing from the list. */
  platform::RowVersion forgotten;
};

}  // namespace trefoilbend::feed

#endif  // TREFOILBEND_FEED_TABLE_IMAGE_H_
