#ifndef TREFOILBEND_IDEMPOTENCY_CLAIM_SWEEP_H_
#define TREFOILBEND_IDEMPOTENCY_CLAIM_SWEEP_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "trefoilbend/idempotency/key.h"
#include "trefoilbend/platform/messages.h"

namespace trefoilbend::idempotency {

/** @brief Beginning of the rows that hold claims. */
inline constexpr const char* kClaimRows = "keys/";

/**
 * @brief Decides which claims of callers' own keys are deleted from the
 * platform's table.
 *
 * It goes through all claims page by page, again and again, so that claims of
 * entries that are gone are found too. Several sweeps do not disturb each
 * other: a row is deleted only in the version that was read.
 */
class ClaimSweep {
 public:
  /** @brief Greatest number of rows of a page. */
  static constexpr std::size_t kPage = 100;

  /**
   * @brief Makes a sweep that begins at the first claim.
   * @param retention Time after which a claim is deleted.
   */
  explicit ClaimSweep(std::chrono::milliseconds retention)
      : retention(retention) {}

  /** @return Key of the row after which the next page begins. */
  [[nodiscard]] const std::string& After() const noexcept {
    return this->after;
  }

  /**
   * @brief Takes the next page.
   * @param rows Rows behind After, at most kPage.
   * @param now Current time.
   * @return Deletion of the claims whose retention has passed, without writes
   * if there are none.
   */
  [[nodiscard]] platform::Transaction Take(
      const std::vector<platform::Row>& rows, IssueTime now);

 private:
  std::chrono::milliseconds retention;
  std::string after;
};

}  // namespace trefoilbend::idempotency

#endif  // TREFOILBEND_IDEMPOTENCY_CLAIM_SWEEP_H_
