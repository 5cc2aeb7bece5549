#include "trefoilbend/rollout/sequential_test.h"

#include <algorithm>
#include <cmath>

namespace trefoilbend::rollout {

namespace {

constexpr double kTolerated = 1.3;
constexpr double kRescaleAbove = 1e200;

/** Logarithm of the sum over all possible splits of the events. */
double LogNormalizer(const Comparison& counts, const double odds) noexcept {
  const std::uint64_t all =
      std::uint64_t{counts.new_events} + counts.old_events;
  const std::uint64_t least =
      all > counts.old_calls ? all - counts.old_calls : 0;
  const std::uint64_t most = std::min<std::uint64_t>(all, counts.new_calls);
  const auto events = static_cast<double>(all);
  double term = 1;
  double sum = 1;
  double scale = 0;
  for (std::uint64_t at = least; at < most; ++at) {
    const auto k = static_cast<double>(at);
    term *= (counts.new_calls - k) * (events - k) * odds /
            ((k + 1) * (counts.old_calls - events + k + 1));
    sum += term;
    if (sum > kRescaleAbove) {
      scale += std::log(sum);
      term /= sum;
      sum = 1;
    }
  }
  return scale + std::log(sum) + static_cast<double>(least) * std::log(odds);
}

}  // namespace

double LogLikelihoodRatio(const Comparison& comparison, const double from,
                          const double to) noexcept {
  const bool tells = comparison.new_calls > 0 && comparison.old_calls > 0 &&
                     comparison.new_events + comparison.old_events > 0;
  if (!tells) {
    return 0;
  }
  return comparison.new_events * std::log(to / from) -
         LogNormalizer(comparison, to) + LogNormalizer(comparison, from);
}

void SequentialTest::Add(const Comparison& comparison,
                         const double dispersion) noexcept {
  for (std::size_t at = 0; at < kOddsRatios.size(); ++at) {
    const double ratio =
        LogLikelihoodRatio(comparison, kTolerated, kOddsRatios[at]);
    this->sums[at] = std::max(0.0, this->sums[at] + ratio / dispersion);
  }
}

double SequentialTest::Strength() const noexcept {
  return *std::max_element(this->sums.begin(), this->sums.end());
}

}  // namespace trefoilbend::rollout
