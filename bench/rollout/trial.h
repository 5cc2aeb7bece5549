#ifndef TREFOILBEND_BENCH_ROLLOUT_TRIAL_H_
#define TREFOILBEND_BENCH_ROLLOUT_TRIAL_H_

#include <cstdint>
#include <optional>

#include "rollout/model.h"
#include "rollout/policy.h"

namespace trefoilbend::bench {

/** @brief What became of one release. */
struct TrialResult {
  /** @brief Whether the new version carried all traffic by the deadline. */
  bool on_time{};
  /** @brief Whether the version was taken back. */
  bool taken_back{};
  /** @brief Whether calls were struck by the fault. */
  bool showed{};
  /** @brief Time from the moment at which the fault shows to the last call of
   * the new version. */
  core::Duration showed_for{};
  /** @brief Calls of the new version later than 3 s after its fault had struck
   * kShowingCalls calls. */
  std::uint64_t late_calls{};
  /** @brief Calls of the new version after the first struck call. */
  std::uint64_t calls_after{};
};

/** @brief Calls that a fault has struck when it counts as showing. */
inline constexpr int kShowingCalls = 10;

/**
 * @brief Runs one release on a manual clock.
 * @param deployment Service of the release.
 * @param fault Fault of the version.
 * @param kind Policy that moves the release.
 * @param seed Seed of everything random.
 * @return What became of it.
 */
[[nodiscard]] TrialResult RunTrial(const Deployment& deployment, Fault fault,
                                   const PolicyKind& kind, std::uint64_t seed);

}  // namespace trefoilbend::bench

#endif  // TREFOILBEND_BENCH_ROLLOUT_TRIAL_H_
