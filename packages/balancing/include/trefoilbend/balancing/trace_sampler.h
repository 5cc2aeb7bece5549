#ifndef TREFOILBEND_BALANCING_TRACE_SAMPLER_H_
#define TREFOILBEND_BALANCING_TRACE_SAMPLER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "trefoilbend/balancing/call_trace.h"
#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/** @brief Bounds of the traces that are written. */
struct TraceOptions {
  /** @brief Bytes of traces a second; 0 writes none. */
  std::size_t budget = 8U << 10U;
  /** @brief One ordinary call in so many is written; notable ones all are. */
  std::uint32_t one_in = 256;
  /** @brief Time above which a call without an objective is notable. */
  std::chrono::milliseconds slow{1'000};
};

/** @brief Decides which traces are written, within a budget of bytes. */
class TraceSampler {
 public:
  /**
   * @brief Makes a sampler with a full budget.
   * @param options Bounds.
   */
  explicit TraceSampler(const TraceOptions& options)
      : options(options), balance(static_cast<double>(options.budget)) {}

  /**
   * @brief Tells whether a trace is to be written.
   * @param trace Trace of a call that is over.
   * @return True for a notable call, and for a few others.
   */
  [[nodiscard]] bool ShouldSample(const CallTrace& trace) noexcept {
    const bool drawn =
        this->options.one_in > 0 && this->count++ % this->options.one_in == 0;
    return this->options.budget > 0 &&
           (drawn || trace.IsNotable(this->options.slow));
  }

  /**
   * @brief Pays for a trace, whole or not at all.
   * @param bytes Length of its lines.
   * @param now Current time.
   * @return False if the budget does not allow it; it counts as dropped.
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

  /** @return Traces that the budget did not allow since the last call. */
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
