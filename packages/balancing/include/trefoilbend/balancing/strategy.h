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

/** @brief Source of random numbers of the decisions. */
using Random = std::mt19937_64;

/** @brief What a strategy knows of a target that may take a call. */
struct Candidate {
  /** @brief Position of the target in its service's table. */
  std::size_t target{};
  /** @brief Calls that this entry has in flight there. */
  std::uint32_t in_flight{};
  /** @brief Requests that the target works on at the same time. */
  std::uint32_t slots{};
  /** @brief Requests at the target by its last report. */
  std::uint32_t reported_requests{};
  /** @brief Whether the target has reported and its reports are trusted. */
  bool trusted{};
  /** @brief Age of the last report. */
  core::Duration report_age{};
  /** @brief Calls that this entry has sent there since the last report. */
  std::uint32_t sent_since_report{};
  /** @brief Age of the oldest answer that the target owes this entry, in the
   * service's median latencies. */
  double oldest_pending{};
  /** @brief Time that work took at the last report, in multiples of the usual,
   * if the target tells it. */
  std::optional<double> slowdown{};
  /** @brief Time for which the target has owed the answer to a probe; 0 if it
   * owes none. */
  core::Duration probe_wait{};
  /** @brief Whether the target stands in another data centre. */
  bool remote{};
};

/** @brief Way of choosing a target. */
class Strategy {
 public:
  virtual ~Strategy() = default;

  /**
   * @brief Chooses a target.
   * @param candidates Targets that may take the call; at least one.
   * @param now Current time.
   * @return Position of the chosen one among the candidates.
   */
  [[nodiscard]] virtual std::size_t Choose(
      std::span<const Candidate> candidates, core::TimePoint now) = 0;
};

/** @return Names of the strategies that MakeStrategy knows. */
[[nodiscard]] std::vector<std::string> StrategyNames();

/**
 * @brief Makes a strategy.
 * @param name One of StrategyNames.
 * @param seed Seed of the strategy's random numbers.
 * @return The strategy, or null for an unknown name.
 */
[[nodiscard]] std::unique_ptr<Strategy> MakeStrategy(std::string_view name,
                                                     std::uint64_t seed);

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_STRATEGY_H_
