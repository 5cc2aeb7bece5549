#ifndef TREFOILBEND_REGISTRY_INTERNAL_METRICS_H_
#define TREFOILBEND_REGISTRY_INTERNAL_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::registry::internal {

/** @brief Metrics of what is read from the store. */
class Metrics {
 public:
  /**
   * @brief Registers the metrics.
   * @param registry Takes the metrics; outlives them.
   */
  explicit Metrics(prometheus::Registry& registry);

  /**
   * @brief Counts a call of the store.
   * @param kind read, watch or write.
   * @param answered Whether the store answered.
   */
  void CountCall(const std::string& kind, bool answered);

  /**
   * @brief Counts the time between two confirmations of a table.
   * @param table Name of the table.
   * @param gap Time between what was known before and what is known now.
   */
  void CountGap(const std::string& table, core::Duration gap);

 private:
  prometheus::Family<prometheus::Counter>& store_calls;
  prometheus::Family<prometheus::Histogram>& gaps;

 public:
  /** @brief Rows that could not be read. */
  prometheus::Counter& unreadable;
  /** @brief Reads that were older than what is known. */
  prometheus::Counter& stale;
  /** @brief Targets that were kept though their rows were gone. */
  prometheus::Counter& kept;
  /** @brief Times that the store came back from an older copy. */
  prometheus::Counter& eras;
  /** @brief Rows in force otherwise than the store has them. */
  prometheus::Gauge& held;
  /** @brief 1 while a peer tells this entry what the store holds, else 0. */
  prometheus::Gauge& listens;

 private:
  prometheus::Gauge& answered;
  prometheus::Gauge& dropped_lines;
};

}  // namespace trefoilbend::registry::internal

#endif  // TREFOILBEND_REGISTRY_INTERNAL_METRICS_H_
