#include "internal/metrics.h"

#include "trefoilbend/core/log.h"

namespace trefoilbend::registry::internal {

Metrics::Metrics(prometheus::Registry& registry)
    : store_calls(prometheus::BuildCounter()
                      .Name("trefoilbend_store_calls_total")
                      .Help("Calls of the store, by kind and result.")
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

}  // namespace trefoilbend::registry::internal
