#ifndef TREFOILBEND_ROLLOUT_EVIDENCE_H_
#define TREFOILBEND_ROLLOUT_EVIDENCE_H_

#include <compare>
#include <cstdint>
#include <map>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/name.h"

namespace trefoilbend::rollout {

/** @brief Which side of a release a call was on. */
enum class Arm : std::uint8_t { kOld, kNew };

/** @brief One exchange as the evidence sees it. */
struct Observation {
  /** @brief Route of the call; empty if no rule has it. */
  core::RouteName route;
  /** @brief Data centre of the target. */
  core::DataCentreName data_centre;
  /** @brief Target that got the call. */
  core::InstanceName target;
  /** @brief Side of the release. */
  Arm arm = Arm::kOld;
  /** @brief Whether the target failed; a caller's mistake is no failure. */
  bool failed{};
  /** @brief Whether the target said that it is cold; such calls are left out.
   */
  bool cold{};
  /** @brief Time to the answer's head. */
  core::Duration latency{};
};

/** @brief Counts of calls. */
struct Tally {
  /** @brief All calls. */
  std::uint32_t calls{};
  /** @brief Calls that failed. */
  std::uint32_t failed{};
  /** @brief Calls that did not fail and took longer than nearly all of the old
   * version's. */
  std::uint32_t slow{};

  /**
   * @brief Adds other counts.
   * @param other Counts to add.
   * @return These counts.
   */
  Tally& operator+=(const Tally& other) noexcept;

  [[nodiscard]] bool operator==(const Tally&) const = default;
};

/** @brief Calls that may be compared with each other. */
struct StratumKey {
  /** @brief Route of the calls. */
  core::RouteName route;
  /** @brief Data centre of the targets. */
  core::DataCentreName data_centre;

  [[nodiscard]] auto operator<=>(const StratumKey&) const = default;
};

/** @brief Counts of one stratum by target. */
struct Stratum {
  /** @brief Targets of the old version. */
  std::map<core::InstanceName, Tally> old_targets;
  /** @brief Targets of the new version. */
  std::map<core::InstanceName, Tally> new_targets;
};

/**
 * @brief Adds one stratum to another.
 * @param into Stratum to add to.
 * @param other Stratum to add.
 */
void Merge(Stratum& into, const Stratum& other);

/** @brief Counts of a short time. */
using Window = std::map<StratumKey, Stratum>;

/**
 * @brief Adds one window to another, as the lease's holder merges entries'.
 * @param into Window to add to.
 * @param other Window to add.
 */
void Merge(Window& into, const Window& other);

/**
 * @brief Evidence of one release at one entry.
 *
 * A call is slow when it takes longer than a multiple of the old version's 95th
 * percentile on the same route in the same data centre. The percentile is
 * followed by steps on a logarithmic scale, in constant memory. Source: Q. Ma,
 * S. Muthukrishnan, M. Sandler, Frugal Streaming for Estimating Quantiles
 * (2013).
 */
class Evidence {
 public:
  /**
   * @brief Takes note of an exchange.
   * @param observation Exchange that ended.
   */
  void Add(const Observation& observation);

  /** @return The counts since the last call of Take. */
  [[nodiscard]] Window Take();

 private:
  struct Percentile {
    double log_latency{};
    std::uint32_t seen{};
  };

  [[nodiscard]] bool IsSlow(const Observation& observation,
                            Percentile& percentile) const noexcept;

  Window window;
  std::map<StratumKey, Percentile> percentiles;
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_EVIDENCE_H_
