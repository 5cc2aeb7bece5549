#ifndef TREFOILBEND_STAND_INS_PLATFORM_TABLE_H_
#define TREFOILBEND_STAND_INS_PLATFORM_TABLE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace trefoilbend::stand_ins {

/** @brief Transactional table of the platform stand-in. */
class Table {
 public:
  /**
   * @brief Commits a transaction if all its conditions hold.
   * @param transaction Conditions and writes as in the request's body.
   * @return The rows whose conditions did not hold; empty after a commit.
   */
  [[nodiscard]] nlohmann::json Commit(const nlohmann::json& transaction);

  /**
   * @brief Reads a row.
   * @param key Key of the row.
   * @return The row, or null.
   */
  [[nodiscard]] nlohmann::json Read(const std::string& key) const;

  /**
   * @brief Reads rows in the order of their keys.
   * @param prefix Beginning of the keys.
   * @param after Key after which to begin.
   * @param limit Greatest number of rows.
   * @return The rows.
   */
  [[nodiscard]] nlohmann::json ReadRange(const std::string& prefix,
                                         const std::string& after,
                                         std::size_t limit) const;

 private:
  struct Row {
    std::string value;
    std::uint64_t version{};
  };

  [[nodiscard]] std::uint64_t VersionOf(const std::string& key) const;

  std::map<std::string, Row> rows;
};

}  // namespace trefoilbend::stand_ins

#endif  // TREFOILBEND_STAND_INS_PLATFORM_TABLE_H_
