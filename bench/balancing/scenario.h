#ifndef TREFOILBEND_BENCH_BALANCING_SCENARIO_H_
#define TREFOILBEND_BENCH_BALANCING_SCENARIO_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::bench {

/** @brief A fleet, its load and the faults of its targets. */
struct Scenario {
  /** @brief Name of the scenario. */
  std::string name = "noisy";
  /** @brief Entries that share nothing. */
  std::uint32_t entries = 17;
  /** @brief Targets of the service. */
  std::uint32_t targets = 25;
  /** @brief Requests that a target works on at the same time. */
  std::uint32_t slots = 6;
  /** @brief Connections that a target bears. */
  std::uint32_t connections = 200;
  /** @brief Whether slots alternate between half and one and a half of slots.
   */
  bool unequal = false;
  /** @brief Requests that wait at a target before it sheds. */
  std::uint32_t target_queue = 100;
  /** @brief Mean of the log-normal service time. */
  std::chrono::microseconds service{10'000};
  /** @brief Standard deviation of the logarithm of the service time. */
  double sigma = 0.5;
  /** @brief Time from an entry to a target. */
  std::chrono::microseconds network{500};
  /** @brief Time between the beginnings of slow periods of a target. */
  std::chrono::milliseconds slow_every{500};
  /** @brief Length of a slow period; 0 for none. */
  std::chrono::milliseconds slow_for{50};
  /** @brief Factor of the service time in a slow period. */
  double slow_factor = 5;
  /** @brief Age of load reports. */
  std::chrono::milliseconds report_lag{0};
  /** @brief Targets that always report no load. */
  std::uint32_t liars = 0;
  /** @brief Targets that fail every request at once in the middle fifth of the
   * run. */
  std::uint32_t fast_failing = 0;
  /** @brief Targets that do nothing in the middle tenth of the run. */
  std::uint32_t frozen = 0;
  /** @brief Offered load as a share of what all targets can do. */
  double load = 0.7;
  /** @brief Share of urgent calls. */
  double urgent = 0.1;
  /** @brief Share of non-idempotent calls. */
  double non_idempotent = 0.1;
  /** @brief Longest time that a caller waits. */
  std::chrono::milliseconds timeout{2'000};
  /** @brief Part of the idempotent calls that entries hedge, in percent. */
  std::uint32_t hedge_percent = 8;
  /** @brief Length of the run after its warm-up. */
  std::chrono::milliseconds length{10'000};
  /** @brief Seed of the random numbers. */
  std::uint64_t seed = 1;
};

}  // namespace trefoilbend::bench

#endif  // TREFOILBEND_BENCH_BALANCING_SCENARIO_H_
