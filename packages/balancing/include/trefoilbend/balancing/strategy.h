#ifndef TREFOILBEND_BALANCING_STRATEGY_H_
#define TREFOILBEND_BALANCING_STRATEGY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilbend/core/clock.h"

namespace trefoilbend::balancing {

/** @brief Random number generator of the strategies. */
using Random = std::mt19937_64;

/** @brief State of a target that may take a call, as input of a strategy. */
struct Candidate {
  /** @brief Index of the target in its service's table. */
  std::size_t target{};
  /** @brief Calls of this entry in flight at the target. */
  std::uint32_t in_flight{};
  /** @brief Requests that the target can work on at the same time. */
  std::uint32_t slots{};
  /** @brief Requests at the target, in progress or queued, in its last report.
   */
  std::uint32_t reported_requests{};
  /** @brief Whether the target has sent a report and its reports are trusted.
   */
  bool trusted{};
  /** @brief Age of the last report. */
  core::Duration report_age{};
  /** @brief Calls that this entry has sent to the target since the last report.
   */
  std::uint32_t sent_since_report{};
  /** @brief Age of the oldest pending response of the target to this entry, in
   * median latencies of the service. */
  double oldest_pending{};
  /** @brief Time that work took at the last report, as a multiple of its normal
   * time; nullopt if the target does not report it. */
  std::optional<double> slowdown{};
  /** @brief Time for which a probe of the target has been pending; zero if none
   * is pending. */
  core::Duration probe_wait{};
  /** @brief Whether the target is in another data centre than this entry. */
  bool remote{};
};

/** @brief Algorithm that chooses a target for a call. */
class Strategy {
 public:
  virtual ~Strategy() = default;

  /**
   * @brief Chooses a target.
   * @param candidates Targets that may take the call; at least one.
   * @param now Current time.
   * @return Index of the chosen candidate.
   */
  [[nodiscard]] virtual std::size_t Choose(
      std::span<const Candidate> candidates, core::TimePoint now) = 0;
};

/** @return Names of the strategies that MakeStrategy can create. */
[[nodiscard]] std::vector<std::string> StrategyNames();

/**
 * @brief Creates a strategy.
 * @param name One of StrategyNames.
 * @param seed Seed of the strategy's random numbers.
 * @return The strategy, or null for an unknown name.
 */
[[nodiscard]] std::unique_ptr<Strategy> MakeStrategy(std::string_view name,
                                                     std::uint64_t seed);

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_STRATEGY_H_
