#ifndef TREFOILBEND_BALANCING_INTERNAL_CALL_METRICS_H_
#define TREFOILBEND_BALANCING_INTERNAL_CALL_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>

#include "trefoilbend/balancing/call_trace.h"

namespace trefoilbend::balancing::internal {

/** @brief Metrics of finished calls by service. They carry no labels for
 * targets or requests, so that the number of time series is bounded by the
 * number of services. */
class CallMetrics {
 public:
  /**
   * @brief Registers the metrics.
   * @param registry Registry for the metrics; must outlive this object.
   */
  explicit CallMetrics(prometheus::Registry& registry);

  /**
   * @brief Counts a finished call, its duration and its attempts.
   * @param trace Trace of the call.
   */
  void Count(const CallTrace& trace);

  /**
   * @brief Counts a probe that ended.
   * @param answered Whether the target answered in time.
   */
  void CountProbe(bool answered);

  /**
   * @brief Sets the revision of the configuration in force.
   * @param revision Revision of the configuration.
   */
  void SetRevision(core::Revision revision);

  /**
   * @brief Counts traces that were dropped to stay within the budget.
   * @param traces Number of traces.
   */
  void CountDroppedTraces(std::uint64_t traces);

 private:
  prometheus::Family<prometheus::Counter>& calls;
  prometheus::Family<prometheus::Histogram>& durations;
  prometheus::Family<prometheus::Counter>& attempts;
  prometheus::Family<prometheus::Counter>& probes;
  prometheus::Counter& dropped_traces;
  prometheus::Gauge& revision;
};

}  // namespace trefoilbend::balancing::internal

#endif  // TREFOILBEND_BALANCING_INTERNAL_CALL_METRICS_H_
