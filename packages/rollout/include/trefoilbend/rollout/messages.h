#ifndef TREFOILBEND_ROLLOUT_MESSAGES_H_
#define TREFOILBEND_ROLLOUT_MESSAGES_H_

#include "trefoilbend/rollout/evidence_book.h"
#include "trefoilbend/rollout/release_id.h"

namespace trefoilbend::rollout {

/** @brief Counts of this entry, sent a few times a second. */
struct EvidenceReport {
  /** @brief Counts of each release. */
  Windows windows;
};

/** @brief Order to give a release's version no more calls. */
struct BrakeOrder {
  /** @brief Release to stop. */
  ReleaseId release;
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_MESSAGES_H_
