#ifndef TREFOILBEND_BENCH_ROLLOUT_POLICY_H_
#define TREFOILBEND_BENCH_ROLLOUT_POLICY_H_

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "trefoilbend/inventory/objects.h"
#include "trefoilbend/rollout/controller.h"
#include "trefoilbend/rollout/evidence.h"

namespace trefoilbend::bench {

/** @brief Way of moving a release. */
class Policy {
 public:
  virtual ~Policy() = default;

  /**
   * @brief Takes the counts of a short time.
   * @param window Counts of all entries.
   * @param now Current time.
   */
  virtual void Observe(const rollout::Window& window, core::TimePoint now) = 0;

  /**
   * @brief Decides what is next.
   * @param situation What the policy sees.
   * @return The release as it becomes; nothing to go on.
   */
  [[nodiscard]] virtual std::optional<inventory::Release> Decide(
      const rollout::Situation& situation) = 0;
};

/** @brief A policy with its name in the figures. */
struct PolicyKind {
  /** @brief Name in the figures. */
  std::string_view name;
  /** @brief Makes the policy for a release that has not begun. */
  std::unique_ptr<Policy> (*make)(const inventory::Release& release);
};

/** @return The controller and the baselines. */
[[nodiscard]] const std::vector<PolicyKind>& Policies();

}  // namespace trefoilbend::bench

#endif  // TREFOILBEND_BENCH_ROLLOUT_POLICY_H_
