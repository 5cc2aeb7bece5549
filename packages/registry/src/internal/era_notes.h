#ifndef TREFOILBEND_REGISTRY_INTERNAL_ERA_NOTES_H_
#define TREFOILBEND_REGISTRY_INTERNAL_ERA_NOTES_H_

#include <cstddef>
#include <optional>

#include "internal/metrics.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/registry/catalogue.h"

namespace trefoilbend::registry::internal {

/** @brief Logs and counts how often the store came back from an older copy, and
 * how long rows of before were held. */
class EraNotes {
 public:
  /**
   * @brief Makes the notes.
   * @param metrics Counts the eras; outlives the notes.
   */
  explicit EraNotes(Metrics& metrics) : metrics(metrics) {}

  /**
   * @brief Notes that a new era has come into force.
   * @param change The eras, and what the store lacks.
   * @param now Current time.
   */
  void NoteChange(const EraChange& change, core::TimePoint now);

  /**
   * @brief Notes how many rows are held.
   * @param held Rows that are in force otherwise than the store has them.
   * @param now Current time.
   */
  void NoteHeld(std::size_t held, core::TimePoint now);

 private:
  Metrics& metrics;
  /** Time at which the era came into force whose rows are not all settled. */
  std::optional<core::TimePoint> unsettled_since;
  core::Log log{"registry"};
};

}  // namespace trefoilbend::registry::internal

#endif  // TREFOILBEND_REGISTRY_INTERNAL_ERA_NOTES_H_
