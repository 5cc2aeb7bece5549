#include "internal/era_notes.h"

#include <chrono>

namespace trefoilbend::registry::internal {

void EraNotes::NoteChange(const EraChange& change, const core::TimePoint now) {
  this->metrics.eras.Increment();
  this->unsettled_since = now;
  this->log.Warn(
      "Store came back from an older copy. era_before={} version_before={} "
      "era={} version={} missing={} older={}",
      change.before.Era().Value(), change.before.Version().Value(),
      change.after.Era().Value(), change.after.Version().Value(),
      change.missing, change.older);
}

void EraNotes::NoteHeld(const std::size_t held, const core::TimePoint now) {
  this->metrics.held.Set(static_cast<double>(held));
  if (held > 0 || !this->unsettled_since) {
    return;
  }
  this->log.Info(
      "All rows of the era before are written again or given up. after_ms={}",
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now - *this->unsettled_since)
          .count());
  this->unsettled_since.reset();
}

}  // namespace trefoilbend::registry::internal
