#ifndef TREFOILBEND_ROLLOUT_RELEASE_PLAN_H_
#define TREFOILBEND_ROLLOUT_RELEASE_PLAN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "trefoilbend/core/name.h"

namespace trefoilbend::rollout {

/** @brief Calls of a service over a time. */
struct Traffic {
  /** @brief Calls of each route, of both versions. */
  std::map<core::RouteName, std::uint64_t> calls;
  /** @brief Time over which they came. */
  std::chrono::seconds time{};
};

/** @brief What a plan is made from. */
struct PlanInput {
  /** @brief Time left until the deadline; negative after it. */
  std::chrono::seconds left{};
  /** @brief Share that the release has reached, in thousandths. */
  std::uint32_t share{};
  /** @brief Time spent on the step of that share. */
  std::chrono::seconds spent{};
  /** @brief Calls of the new version on each route in the step. */
  std::map<core::RouteName, std::uint64_t> step_calls;
  /** @brief Calls of the service. */
  Traffic traffic;
  /** @brief Time that a cold target needs to warm up. */
  std::chrono::seconds cold_start{};
};

/** @brief A step that is still to be gone through. */
struct PlannedStep {
  /** @brief Share of the new version, in thousandths. */
  std::uint32_t share{};
  /** @brief Least time that its evidence needs at the present traffic. */
  std::chrono::seconds needed{};
  /** @brief Time that the plan gives it. */
  std::chrono::seconds planned{};
};

/** @brief Steps of a release, planned back from its deadline. */
struct ReleasePlan {
  /** @brief Steps from the present share on. */
  std::vector<PlannedStep> steps;
  /** @brief Calls of the new version that each step needs on each route that
   * has at least one call in a hundred. */
  std::uint32_t calls{};
  /** @brief Least time that all steps need. */
  std::chrono::seconds shortest{};
  /** @brief Whether the steps fit into the time left. */
  bool feasible{};
};

/**
 * @brief Plans the steps of a release.
 *
 * Takes the most careful of several ladders of steps that fits. The time that
 * is left over is spread over the steps, so that faults have time to show. If
 * no ladder fits, the shortest one is planned as not feasible.
 *
 * @param input Time, share and traffic.
 * @return The plan.
 */
[[nodiscard]] ReleasePlan MakePlan(const PlanInput& input);

/**
 * @brief Lists the routes whose evidence a step needs.
 * @param traffic Calls of the service.
 * @return Routes with at least one call in a hundred.
 */
[[nodiscard]] std::vector<core::RouteName> RoutesToProve(
    const Traffic& traffic);

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_RELEASE_PLAN_H_
