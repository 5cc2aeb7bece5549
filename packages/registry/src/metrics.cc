#include "internal/metrics.h"

#include <chrono>

#include "trefoilbend/core/log.h"

namespace trefoilbend::registry::internal {

namespace {

/** Upper bounds of the buckets of confirmation gaps, in seconds. */
const prometheus::Histogram::BucketBoundaries kGapBounds{0.5, 1, 1.6, 2,
                                                         2.5, 5, 10,  20};

}  // namespace

Metrics::Metrics(prometheus::Registry& registry)
    : store_calls(prometheus::BuildCounter()
                      .Name("trefoilbend_store_calls_total")
                      .Help("Calls of the store, by kind and result.")
                      .Register(registry)),
      gaps(prometheus::BuildHistogram()
               .Name("trefoilbend_store_confirmation_gap_seconds")
               .Help("Time between two confirmations of a table.")
               .Register(registry)),
      unreadable(prometheus::BuildCounter()
                     .Name("trefoilbend_unreadable_rows_total")
                     .Help("Rows that could not be read and were passed over.")
                     .Register(registry)
                     .Add({})),
      stale(prometheus::BuildCounter()
                .Name("trefoilbend_stale_reads_total")
                .Help("Reads of the store that were older than what is known.")
                .Register(registry)
                .Add({})),
      kept(prometheus::BuildCounter()
               .Name("trefoilbend_targets_kept_total")
               .Help("Targets that were kept though their rows were gone.")
               .Register(registry)
               .Add({})),
      eras(prometheus::BuildCounter()
               .Name("trefoilbend_store_eras_total")
               .Help("Times that the store came back from an older copy.")
               .Register(registry)
               .Add({})),
      held(prometheus::BuildGauge()
               .Name("trefoilbend_store_held_rows")
               .Help("Rows in force otherwise than the store has them, since "
                     "it came back from an older copy.")
               .Register(registry)
               .Add({})),
      listens(prometheus::BuildGauge()
                  .Name("trefoilbend_store_listens")
                  .Help("Whether a peer tells this entry what the store holds.")
                  .Register(registry)
                  .Add({})),
      answered(prometheus::BuildGauge()
                   .Name("trefoilbend_store_answered_timestamp_seconds")
                   .Help("Time of the store's last answer, by this entry's "
                         "clock.")
                   .Register(registry)
                   .Add({})),
      dropped_lines(prometheus::BuildGauge()
                        .Name("trefoilbend_log_lines_dropped")
                        .Help("Log lines dropped since the start.")
                        .Register(registry)
                        .Add({})) {}

void Metrics::CountCall(const std::string& kind, const bool answered) {
  this->store_calls
      .Add({{"call", kind}, {"result", answered ? "answered" : "failed"}})
      .Increment();
  if (answered) {
    this->answered.SetToCurrentTime();
  }
  this->dropped_lines.Set(static_cast<double>(core::DroppedLogLines()));
}

void Metrics::CountGap(const std::string& table, const core::Duration gap) {
  this->gaps.Add({{"table", table}}, kGapBounds)
      .Observe(std::chrono::duration<double>{gap}.count());
}

}  // namespace trefoilbend::registry::internal
