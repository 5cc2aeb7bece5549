#ifndef TREFOILBEND_CONFIGURATION_FOLLOWER_H_
#define TREFOILBEND_CONFIGURATION_FOLLOWER_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/platform/messages.h"

namespace trefoilbend::configuration {

/** @brief Follows the revisions in the platform's table and prepares new ones.
 */
class Follower {
 public:
  /** @brief Begins with an empty configuration at revision 0. */
  Follower();

  /** @return Key after which the next revisions are read. */
  [[nodiscard]] std::string After() const;

  /**
   * @brief Takes revisions that were read, in their order; those that are in
   * force already are passed over.
   * @param rows Rows of revisions.
   * @return Nothing, or why the first row that could not be taken is unusable.
   */
  [[nodiscard]] std::optional<std::string> Take(
      const std::vector<platform::Row>& rows);

  /**
   * @brief Takes a whole configuration if it is newer than the one in force.
   * @param configuration Configuration of a snapshot.
   * @return Whether it was taken.
   */
  bool Restore(const inventory::ConfigurationPtr& configuration);

  /** @return The newest configuration. */
  [[nodiscard]] const inventory::ConfigurationPtr& Current() const noexcept {
    return this->current;
  }

  /** @return The newest revisions, the oldest of them first. */
  [[nodiscard]] const std::vector<inventory::Revised>& Recent() const noexcept {
    return this->recent;
  }

  /**
   * @brief Finds a recent revision by its change id.
   * @param change_id Identity of the change.
   * @return The revision, or null.
   */
  [[nodiscard]] const inventory::Revised* FindChange(
      const std::string& change_id) const noexcept;

  /**
   * @brief Prepares the transaction of a change.
   * @param request Request to prepare.
   * @param at Wall-clock time, ISO 8601.
   * @param by Entry that accepts the change.
   * @return The transaction, or the clash with a change that came before.
   */
  [[nodiscard]] std::variant<platform::Transaction, ChangeClash> Prepare(
      const ChangeRequest& request, const std::string& at,
      const core::InstanceName& by) const;

 private:
  static constexpr std::size_t kRecent = 256;

  inventory::ConfigurationPtr current;
  std::vector<inventory::Revised> recent;
};

}  // namespace trefoilbend::configuration

#endif  // TREFOILBEND_CONFIGURATION_FOLLOWER_H_
