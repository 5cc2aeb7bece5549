#include "internal/call_metrics.h"

#include <chrono>
#include <string>

#include "trefoilbend/core/outcome.h"

namespace trefoilbend::balancing::internal {

namespace {

/** Returns the upper bounds of the duration buckets in seconds. */
prometheus::Histogram::BucketBoundaries Bounds() {
  return {0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8};
}

std::string Text(const std::string_view text) { return std::string{text}; }

}  // namespace

CallMetrics::CallMetrics(prometheus::Registry& registry)
    : calls(prometheus::BuildCounter()
                .Name("trefoilbend_calls_total")
                .Help("Calls that are over, by service, outcome and reason.")
                .Register(registry)),
      durations(prometheus::BuildHistogram()
                    .Name("trefoilbend_call_duration_seconds")
                    .Help("Time from a call's arrival to its end, by service.")
                    .Register(registry)),
      attempts(prometheus::BuildCounter()
                   .Name("trefoilbend_attempts_total")
                   .Help("Attempts at targets, by service and result.")
                   .Register(registry)),
      probes(prometheus::BuildCounter()
                 .Name("trefoilbend_probes_total")
                 .Help("Health checks of targets, by result.")
                 .Register(registry)),
      dropped_traces(
          prometheus::BuildCounter()
              .Name("trefoilbend_traces_dropped_total")
              .Help("Traces of notable calls that the budget left out.")
              .Register(registry)
              .Add({})),
      revision(prometheus::BuildGauge()
                   .Name("trefoilbend_configuration_revision")
                   .Help("Revision of the configuration in force.")
                   .Register(registry)
                   .Add({})) {}

void CallMetrics::Count(const CallTrace& trace) {
  const std::string service = trace.Service().Text();
  const CallOutcome outcome = trace.Outcome();
  this->calls
      .Add({{"service", service},
            {"outcome", Text(ToString(outcome.end))},
            {"reason", outcome.reason ? Text(core::ToString(*outcome.reason))
                                      : std::string{}}})
      .Increment();
  this->durations.Add({{"service", service}}, Bounds())
      .Observe(std::chrono::duration<double>{outcome.duration}.count());
  trace.ForEachAttempt([&](const TraceEnded& attempt) {
    this->attempts
        .Add({{"service", service}, {"result", Text(ToString(attempt.result))}})
        .Increment();
  });
}

void CallMetrics::CountProbe(const bool answered) {
  this->probes.Add({{"result", answered ? "answered" : "silent"}}).Increment();
}

void CallMetrics::SetRevision(const core::Revision now) {
  this->revision.Set(static_cast<double>(now.Value()));
}

void CallMetrics::CountDroppedTraces(const std::uint64_t traces) {
  this->dropped_traces.Increment(static_cast<double>(traces));
}

}  // namespace trefoilbend::balancing::internal
