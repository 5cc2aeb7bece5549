#include "internal/row_notes.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace trefoilbend::registry::internal {

namespace {

constexpr std::size_t kMostNamed = 8;

}  // namespace

void RowNotes::Note(Catalogue& catalogue) {
  this->NoteUnreadable(catalogue);
  this->NoteKept(catalogue);
}

void RowNotes::NoteUnreadable(Catalogue& catalogue) {
  const auto keys = catalogue.TakeUnreadable();
  this->metrics.unreadable.Increment(static_cast<double>(keys.size()));
  for (std::size_t at = 0; at < std::min(keys.size(), kMostNamed); ++at) {
    this->log.Warn("Row cannot be read, passed over. row={}", keys[at]);
  }
}

void RowNotes::NoteKept(Catalogue& catalogue) {
  const std::vector<KeptTarget> kept = catalogue.TakeKept();
  this->metrics.kept.Increment(static_cast<double>(kept.size()));
  for (std::size_t at = 0; at < std::min(kept.size(), kMostNamed); ++at) {
    this->log.Info(
        "Row of a target is gone, keeps the target. row={} left_ms={}",
        kept[at].key,
        std::chrono::duration_cast<std::chrono::milliseconds>(kept[at].left)
            .count());
  }
}

}  // namespace trefoilbend::registry::internal
