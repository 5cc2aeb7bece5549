#ifndef TREFOILBEND_CALLERS_INTERNAL_METRICS_H_
#define TREFOILBEND_CALLERS_INTERNAL_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "trefoilbend/core/call.h"

namespace trefoilbend::callers::internal {

/** @brief Metrics of the duty that talks to callers. */
class Metrics {
 public:
  /**
   * @brief Registers the metrics.
   * @param registry Takes the metrics; outlives them.
   */
  explicit Metrics(prometheus::Registry& registry);

  /**
   * @brief Counts a refused call.
   * @param refusal Refusal of the call.
   */
  void CountRefusal(const core::Refusal& refusal);

  /** @brief Calls whose answer came from a target. */
  prometheus::Counter& answered;
  /** @brief Calls that wait or are in flight. */
  prometheus::Gauge& in_progress;
  /** @brief Calls passed on to the home of their key. */
  prometheus::Counter& passed_on;
  /** @brief Keys that this entry remembers. */
  prometheus::Gauge& keys;
  /** @brief Length in bytes of the answers kept for repeats. */
  prometheus::Gauge& key_answer_bytes;

 private:
  prometheus::Family<prometheus::Counter>& refused;
};

}  // namespace trefoilbend::callers::internal

#endif  // TREFOILBEND_CALLERS_INTERNAL_METRICS_H_
