#ifndef TREFOILBEND_BALANCING_QUANTILE_H_
#define TREFOILBEND_BALANCING_QUANTILE_H_

#include <chrono>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/**
 * @brief Running estimate of a latency quantile in constant memory.
 *
 * Stochastic approximation (Robbins and Monro, 1951) on a logarithmic scale:
 * each sample scales the estimate by a fixed ratio, and in equilibrium the
 * given fraction of the samples lies below the estimate.
 */
class Quantile {
 public:
  /**
   * @brief Creates an estimate.
   * @param quantile Fraction of the samples that lies below the estimate, from
   * 0 to 1.
   * @param initial Estimate before the first sample.
   */
  Quantile(double quantile, core::Duration initial) noexcept
      : quantile(quantile), estimate(std::chrono::duration<double>(initial)) {}

  /** @brief Records a sample above the estimate. */
  void RecordAbove() noexcept { this->Scale(1 + kStep * this->quantile); }

  /** @brief Records a sample below the estimate. */
  void RecordBelow() noexcept { this->Scale(1 - kStep * (1 - this->quantile)); }

  /**
   * @brief Records a sample.
   * @param sample Latency.
   */
  void Record(const core::Duration sample) noexcept {
    sample > this->Value() ? this->RecordAbove() : this->RecordBelow();
  }

  /** @return The estimate. */
  [[nodiscard]] core::Duration Value() const noexcept {
    return std::chrono::duration_cast<core::Duration>(this->estimate);
  }

 private:
  static constexpr double kStep = 0.05;
  static constexpr std::chrono::duration<double> kMin{0.0002};
  static constexpr std::chrono::duration<double> kMax{10};

  void Scale(const double ratio) noexcept {
    this->estimate *= ratio;
    if (this->estimate < kMin) {
      this->estimate = kMin;
    }
    if (this->estimate > kMax) {
      this->estimate = kMax;
    }
  }

  double quantile;
  std::chrono::duration<double> estimate;
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_QUANTILE_H_
