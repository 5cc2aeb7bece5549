#ifndef TREFOILBEND_REGISTRY_INTERNAL_ROW_NOTES_H_
#define TREFOILBEND_REGISTRY_INTERNAL_ROW_NOTES_H_

#include "internal/metrics.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/registry/catalogue.h"

namespace trefoilbend::registry::internal {

/** @brief Counts and logs the rows of which the catalogue makes nothing usual:
 * those that cannot be read, and targets that are kept without a row. */
class RowNotes {
 public:
  /**
   * @brief Makes the notes.
   * @param metrics Counts the rows; outlives the notes.
   */
  explicit RowNotes(Metrics& metrics) : metrics(metrics) {}

  /**
   * @brief Notes the rows since the last call.
   * @param catalogue Catalogue that has met them.
   */
  void Note(Catalogue& catalogue);

 private:
  void NoteUnreadable(Catalogue& catalogue);
  void NoteKept(Catalogue& catalogue);

  Metrics& metrics;
  core::Log log{"registry"};
};

}  // namespace trefoilbend::registry::internal

#endif  // TREFOILBEND_REGISTRY_INTERNAL_ROW_NOTES_H_
