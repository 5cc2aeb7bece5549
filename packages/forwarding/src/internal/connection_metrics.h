#ifndef TREFOILBEND_FORWARDING_INTERNAL_CONNECTION_METRICS_H_
#define TREFOILBEND_FORWARDING_INTERNAL_CONNECTION_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace trefoilbend::forwarding::internal {

/** @brief Metrics of the connections to targets. */
class ConnectionMetrics {
 public:
  /**
   * @brief Registers the metrics.
   * @param registry Takes the metrics; outlives them.
   */
  explicit ConnectionMetrics(prometheus::Registry& registry);

  /** @brief Connections open to all targets. */
  prometheus::Gauge& open;
  /** @brief New connections. */
  prometheus::Counter& opened;
  /** @brief Exchanges that waited for a connection. */
  prometheus::Counter& waits;
  /** @brief Answers to other requests that came where one was due. */
  prometheus::Counter& skipped;
  /** @brief Connections closed because they had refused the request at hand.
   */
  prometheus::Counter& avoided;
};

}  // namespace trefoilbend::forwarding::internal

#endif  // TREFOILBEND_FORWARDING_INTERNAL_CONNECTION_METRICS_H_
