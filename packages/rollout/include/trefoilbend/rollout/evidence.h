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

/** @brief How an exchange ended. */
enum class Ending : std::uint8_t {
  /** @brief With an answer; also with a refusal that is the caller's mistake.
   */
  kAnswered,
  /** @brief With a failure of the target. */
  kFailed,
  /** @brief A hedge that was sent later was answered first. */
  kOvertaken,
  /** @brief It was given up for a reason that tells nothing of the target. */
  kGivenUp,
};

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
  /** @brief How it ended. */
  Ending ending = Ending::kAnswered;
  /** @brief Whether the time that the call took tells nothing of the version,
   * as the target was cold or slowed down by its neighbours. */
  bool untimed{};
  /** @brief Time to the answer's head, or to the end without one. */
  core::Duration latency{};
  /** @brief Time within which the route's answers have their full worth; zero
   * for no objective. */
  core::Duration objective{};
  /** @brief Factor on the time above which it is slow. */
  int limit_factor = 1;
};

/** @brief Counts of calls. */
struct Tally {
  /** @brief All calls. */
  std::uint32_t calls{};
  /** @brief Calls that failed. */
  std::uint32_t failed{};
  /** @brief Calls whose time tells of the version: their targets were neither
   * cold nor slowed down by their neighbours. */
  std::uint32_t timed{};
  /** @brief Timed calls that did not fail and were slow, or were found slow
   * while they were out. */
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
 * A call is slow when it takes longer than its route's objective or than a
 * multiple of the old version's 95th percentile on the same route in the same
 * data centre, whichever is less, or when a hedge overtakes it. The percentile
 * is followed by steps on a logarithmic scale, in constant memory. Source: Q.
 * Ma, S. Muthukrishnan, M. Sandler, Frugal Streaming for Estimating Quantiles
 * (2013).
 *
 * A slow call is counted as soon as it is known to be slow, not at its end,
 * which may come after the release has gone on.
 */
class Evidence {
 public:
  /**
   * @brief Takes note of an exchange that ended.
   * @param observation Exchange that ended.
   */
  void Add(const Observation& observation);

  /**
   * @brief Counts an exchange that is still out, if it is slow already. Its end
   * is to be told by Learn, not by Add.
   * @param observation Exchange, with its age as the latency.
   * @return Whether it was counted.
   */
  [[nodiscard]] bool AddIfSlow(const Observation& observation);

  /**
   * @brief Takes the latency of an exchange that ended without counting it.
   * @param observation Exchange that ended.
   */
  void Learn(const Observation& observation);

  /** @return The counts since the last call of Take. */
  [[nodiscard]] Window Take();

 private:
  struct Percentile {
    double log_latency{};
    std::uint32_t seen{};
  };

  [[nodiscard]] bool IsSlow(const Observation& observation) const;
  [[nodiscard]] Tally& TallyOf(const Observation& observation);

  Window window;
  std::map<StratumKey, Percentile> percentiles;
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_EVIDENCE_H_
