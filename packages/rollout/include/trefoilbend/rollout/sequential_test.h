#ifndef TREFOILBEND_ROLLOUT_SEQUENTIAL_TEST_H_
#define TREFOILBEND_ROLLOUT_SEQUENTIAL_TEST_H_

#include <array>
#include <cstdint>

namespace trefoilbend::rollout {

/** @brief Calls of both versions at the same time in the same data centre. */
struct Comparison {
  /** @brief Calls of the new version. */
  std::uint32_t new_calls{};
  /** @brief Calls of the new version that failed or were slow. */
  std::uint32_t new_events{};
  /** @brief Calls of the old version. */
  std::uint32_t old_calls{};
  /** @brief Calls of the old version that failed or were slow. */
  std::uint32_t old_events{};
};

/**
 * @brief Returns the logarithm of a conditional likelihood ratio of two odds
 * ratios.
 *
 * Given the total of events, those of the new version follow Fisher's
 * noncentral hypergeometric distribution, which does not depend on the base
 * rate. Source: A. Agresti, Categorical Data Analysis, section 3.5 (conditional
 * inference for 2 x 2 tables).
 *
 * @param comparison Calls and events.
 * @param from Odds ratio of the denominator.
 * @param to Odds ratio of the numerator.
 * @return Natural logarithm of the ratio; 0 if one version has no call.
 */
[[nodiscard]] double LogLikelihoodRatio(const Comparison& comparison,
                                        double from, double to) noexcept;

/**
 * @brief One-sided sequential test whether the new version has more events than
 * the old one.
 *
 * A cumulative sum of log-likelihood ratios that restarts at 0, for each of
 * several odds ratios. It may be looked at after every comparison, and it keeps
 * its speed for changes that come late. Source: E. S. Page, Continuous
 * Inspection Schemes, Biometrika 41 (1954).
 */
class SequentialTest {
 public:
  /**
   * @brief Takes a comparison.
   * @param comparison Calls and events of one stratum.
   * @param dispersion Variance of the events over that of independent ones; at
   * least 1.
   */
  void Add(const Comparison& comparison, double dispersion) noexcept;

  /** @return Evidence against the new version, in natural logarithms; 0 for
   * none. */
  [[nodiscard]] double Strength() const noexcept;

 private:
  static constexpr std::array<double, 3> kOddsRatios{3.0, 10.0, 40.0};

  std::array<double, kOddsRatios.size()> sums{};
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_SEQUENTIAL_TEST_H_
