#ifndef TREFOILBEND_TESTS_SOAK_PLAN_H_
#define TREFOILBEND_TESTS_SOAK_PLAN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace trefoilbend::soak {

/** @brief How a disturbance acts on an instance. */
enum class Action : std::uint8_t {
  /** @brief Ends the process with SIGKILL and starts it again. */
  kKill,
  /** @brief Stops the process with SIGSTOP and resumes it. */
  kFreeze,
  /** @brief Asks the process for a graceful stop and starts it again. */
  kStop,
  /** @brief Switches a fault of a stand-in on and off. */
  kFault,
  /** @brief Applies one change to the configuration. */
  kChange,
  /** @brief Applies two different changes at the same time through two entries.
   */
  kRace,
};

/** @brief One disturbance of the fleet. */
struct Disturbance {
  /** @brief Time from the start of the run. */
  std::chrono::milliseconds begin{};
  /** @brief Time until the disturbance is taken back. */
  std::chrono::milliseconds length{};
  /** @brief What is done. */
  Action action = Action::kFault;
  /** @brief Instance that is disturbed; operators for changes. */
  std::string instance;
  /** @brief Name of the fault, if the action is one. */
  std::string fault;
  /** @brief Value of the fault, or number of the change. */
  std::int64_t value = 0;

  [[nodiscard]] bool operator==(const Disturbance&) const = default;
};

/** @brief What a run draws its disturbances from. */
struct PlanOptions {
  /** @brief Seed of all draws. */
  std::uint64_t seed = 1;
  /** @brief Time during which disturbances are in effect. */
  std::chrono::milliseconds duration{10'000};
  /** @brief Number of entries, at least 2. */
  std::size_t entries = 3;
  /** @brief Number of targets, at least 2. */
  std::size_t targets = 6;
};

/**
 * @brief Draws the disturbances of a run; equal options give equal plans.
 *
 * An instance has one disturbance at a time. One entry and one target are left
 * alone at any time, and all disturbances are over at the end of the duration.
 * @param options What to draw from.
 * @return Disturbances by their begin.
 */
[[nodiscard]] std::vector<Disturbance> DrawPlan(const PlanOptions& options);

/**
 * @brief Describes a disturbance.
 * @param disturbance Disturbance to describe.
 * @return One line without its end.
 */
[[nodiscard]] std::string Describe(const Disturbance& disturbance);

}  // namespace trefoilbend::soak

#endif  // TREFOILBEND_TESTS_SOAK_PLAN_H_
