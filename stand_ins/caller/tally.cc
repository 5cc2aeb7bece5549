#include "caller/tally.h"

#include <algorithm>

namespace trefoilbend::stand_ins {

void Tally::Add(const CallOutcome outcome,
                const std::chrono::nanoseconds latency,
                const std::string& call) {
  ++this->counts[static_cast<std::size_t>(outcome)];
  if (outcome == CallOutcome::kAnswered) {
    this->latencies.push_back(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(latency)
            .count()));
  }
  if (outcome == CallOutcome::kNotRun) {
    this->not_run.push_back(call);
  }
}

nlohmann::json Tally::Report(const std::chrono::nanoseconds elapsed) {
  static constexpr const char* kNames[kOutcomes] = {
      "answered", "not_run", "unknown", "broken", "failed", "wrong"};
  nlohmann::json report;
  for (std::size_t at = 0; at < kOutcomes; ++at) {
    report[kNames[at]] = this->counts[at];
  }
  std::sort(this->latencies.begin(), this->latencies.end());
  const auto quantile = [&](const double part) -> std::uint32_t {
    if (this->latencies.empty()) {
      return 0;
    }
    const auto at = static_cast<std::size_t>(
        part * static_cast<double>(this->latencies.size()));
    return this->latencies[std::min(at, this->latencies.size() - 1)];
  };
  report["p50_us"] = quantile(0.5);
  report["p99_us"] = quantile(0.99);
  report["p999_us"] = quantile(0.999);
  const double seconds = std::chrono::duration<double>(elapsed).count();
  report["calls_per_second"] =
      static_cast<double>(this->latencies.size()) / seconds;
  report["not_run_calls"] = this->not_run;
  return report;
}

}  // namespace trefoilbend::stand_ins
