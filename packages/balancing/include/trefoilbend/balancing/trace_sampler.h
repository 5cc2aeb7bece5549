#ifndef TREFOILBEND_BALANCING_TRACE_SAMPLER_H_
#define TREFOILBEND_BALANCING_TRACE_SAMPLER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "trefoilbend/balancing/call_trace.h"
#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/** @brief Limits on the traces that are logged. */
struct TraceOptions {
  /** @brief Bytes of traces per second; 0 logs none. */
  std::size_t budget = 8U << 10U;
  /** @brief One in this many calls is logged, and every notable call besides; 0
   * logs only notable calls. */
  std::uint32_t one_in = 256;
  /** @brief Time above which a call without an objective is notable. */
  std::chrono::milliseconds slow{1'000};
};

/** @brief Selects the traces to log, within a budget of bytes per second. */
class TraceSampler {
 public:
  /**
   * @brief Makes a sampler with a full budget.
   * @param options Limits on the traces.
   */
  explicit TraceSampler(const TraceOptions& options)
      : options(options), balance(static_cast<double>(options.budget)) {}

  /**
   * @brief Returns whether a trace should be logged.
   * @param trace Trace of a finished call.
   * @return True for every notable call and for a sample of the others.
   */
  [[nodiscard]] bool ShouldSample(const CallTrace& trace) noexcept {
    const bool sampled =
        this->options.one_in > 0 && this->count++ % this->options.one_in == 0;
    return this->options.budget > 0 &&
           (sampled || trace.IsNotable(this->options.slow));
  }

  /**
   * @brief Withdraws the bytes of a whole trace from the budget.
   * @param bytes Total length of the trace's lines in bytes.
   * @param now Current time.
   * @return False if the balance is too low; the trace then counts as dropped.
   */
  [[nodiscard]] bool TryWithdraw(const std::size_t bytes,
                                 const core::TimePoint now) noexcept {
    const std::chrono::duration<double> passed = now - this->last;
    const auto budget = static_cast<double>(this->options.budget);
    this->last = now;
    this->balance = std::min(budget, this->balance + budget * passed.count());
    if (this->balance < static_cast<double>(bytes)) {
      ++this->dropped;
      return false;
    }
    this->balance -= static_cast<double>(bytes);
    return true;
  }

  /** @return Number of traces that the budget did not allow since the previous
   * invocation. */
  [[nodiscard]] std::uint64_t TakeDropped() noexcept {
    return std::exchange(this->dropped, 0);
  }

 private:
  TraceOptions options;
  double balance;
  core::TimePoint last{};
  std::uint64_t count = 0;
  std::uint64_t dropped = 0;
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_TRACE_SAMPLER_H_
