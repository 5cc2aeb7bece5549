#include "internal/metrics.h"

#include <string>

#include "trefoilbend/callers/refusal_text.h"

namespace trefoilbend::callers::internal {

namespace {

prometheus::Counter& MakeCounter(prometheus::Registry& registry,
                                 const std::string& name,
                                 const std::string& help) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add({});
}

prometheus::Gauge& MakeGauge(prometheus::Registry& registry,
                             const std::string& name, const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

}  // namespace

Metrics::Metrics(prometheus::Registry& registry)
    : answered(MakeCounter(registry, "trefoilbend_calls_answered_total",
                           "Calls whose answer came from a target.")),
      in_progress(MakeGauge(registry, "trefoilbend_calls_in_progress",
                            "Calls that wait or are in flight.")),
      passed_on(MakeCounter(registry, "trefoilbend_calls_passed_on_total",
                            "Calls passed on to the home of their key.")),
      keys(MakeGauge(registry, "trefoilbend_keys",
                     "Keys that this entry remembers.")),
      key_answer_bytes(MakeGauge(registry, "trefoilbend_key_answer_bytes",
                                 "Length of the answers kept for repeats.")),
      refused(prometheus::BuildCounter()
                  .Name("trefoilbend_calls_refused_total")
                  .Help("Calls refused, by reason and by what is known of "
                        "their run.")
                  .Register(registry)) {}

void Metrics::CountRefusal(const core::Refusal& refusal) {
  const std::string run =
      refusal.run == core::RunState::kNotRun ? "not-run" : "unknown";
  this->refused
      .Add(
          {{"reason", std::string{ToString(refusal.reason)}}, {"outcome", run}})
      .Increment();
}

}  // namespace trefoilbend::callers::internal
