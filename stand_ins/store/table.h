#ifndef TREFOILBEND_STAND_INS_STORE_TABLE_H_
#define TREFOILBEND_STAND_INS_STORE_TABLE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace trefoilbend::stand_ins {

/** @brief Table and key of a row; every part is empty in this stand-in. */
using Place = std::pair<std::string, std::string>;

/** @brief Rows with one counter of versions and a history, as the users' store
 * keeps them. */
class VersionedTable {
 public:
  /**
   * @brief Applies a transaction if its expectations hold.
   * @param transaction Body with ExpectedRev, Writes and Remove.
   * @return Nothing, or the rows that are not as expected.
   */
  [[nodiscard]] std::optional<nlohmann::json> Commit(
      const nlohmann::json& transaction);

  /**
   * @brief Lists the rows of a table.
   * @param table Name of the table.
   * @param from First key.
   * @param limit Greatest number of rows.
   * @return Rows by key, and whether more follow.
   */
  [[nodiscard]] nlohmann::json Range(const std::string& table,
                                     const std::string& from,
                                     std::size_t limit) const;

  /**
   * @brief Lists the changes of a table.
   * @param table Name of the table.
   * @param after Version after which they begin.
   * @return Changed rows in their order; nothing if the history is gone, or
   * has not come as far.
   */
  [[nodiscard]] std::optional<nlohmann::json> Changes(
      const std::string& table, std::uint64_t after) const;

  /** @brief Forgets all changes so far. */
  void ForgetHistory();

  /**
   * @brief Lists the rows of a table that differ from those of a copy.
   * @param table Name of the table.
   * @param copy Copy of these rows.
   * @return Keys and values; without a value where the copy has a row that was
   * removed.
   */
  [[nodiscard]] std::map<std::string, std::optional<std::string>> Since(
      const std::string& table, const VersionedTable& copy) const;

  /** @return Newest version. */
  [[nodiscard]] std::uint64_t Version() const noexcept { return this->version; }

 private:
  struct Row {
    std::string value;
    std::uint64_t version{};
  };

  struct Change {
    Place place;
    std::optional<std::string> value;
    std::uint64_t version{};
  };

  [[nodiscard]] static nlohmann::json Encode(const Place& place,
                                             const std::string& value,
                                             std::uint64_t version);

  std::map<Place, Row> rows;
  std::vector<Change> history;
  std::uint64_t version{};
  std::uint64_t forgotten{};
};

}  // namespace trefoilbend::stand_ins

#endif  // TREFOILBEND_STAND_INS_STORE_TABLE_H_
