#ifndef TREFOILBEND_CALLERS_INTERNAL_REFUSAL_NOTES_H_
#define TREFOILBEND_CALLERS_INTERNAL_REFUSAL_NOTES_H_

#include <cstddef>
#include <cstdint>

#include "internal/metrics.h"
#include "trefoilbend/core/call.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/core/rate_limit.h"

namespace trefoilbend::callers::internal {

/** @brief What an entry holds when it refuses a call. */
struct Holdings {
  /** @brief Calls that wait or are in flight. */
  std::size_t calls{};
  /** @brief Memory of request bodies in bytes. */
  std::uint64_t body_bytes{};
  /** @brief Revision of the configuration; 0 without one. */
  std::uint64_t revision{};
};

/** @brief Counts the refusals that callers get, and writes lines about those
 * that balancing does not see, a bounded number a second. */
class RefusalNotes {
 public:
  /**
   * @brief Makes the notes.
   * @param metrics Counts the refusals; outlives the notes.
   */
  explicit RefusalNotes(Metrics& metrics) : metrics(metrics) {}

  /**
   * @brief Counts a refusal and writes a line.
   * @param request Call that is refused.
   * @param refusal The refusal.
   * @param holdings What the entry holds.
   * @return The refusal.
   */
  core::Refusal Tell(const core::CallRequest& request,
                     const core::Refusal& refusal, const Holdings& holdings);

  /**
   * @brief Counts a refusal.
   * @param refusal The refusal.
   * @return The refusal.
   */
  core::Refusal Count(const core::Refusal& refusal);

 private:
  static constexpr double kLinesPerSecond = 20;

  Metrics& metrics;
  core::RateLimit lines{kLinesPerSecond};
  core::Log log{"callers"};
};

}  // namespace trefoilbend::callers::internal

#endif  // TREFOILBEND_CALLERS_INTERNAL_REFUSAL_NOTES_H_
