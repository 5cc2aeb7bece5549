#ifndef TREFOILBEND_ROLLOUT_FAULT_DETECTOR_H_
#define TREFOILBEND_ROLLOUT_FAULT_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/rollout/evidence.h"
#include "trefoilbend/rollout/sequential_test.h"

namespace trefoilbend::rollout {

/** @brief What a fault does to calls. */
enum class FaultKind : std::uint8_t { kFails, kSlow };

/** @brief Strongest sign of a fault of the new version. */
struct Finding {
  /** @brief What the fault does to calls. */
  FaultKind kind = FaultKind::kFails;
  /** @brief Route on which it shows; empty if on all together. */
  core::RouteName route;
  /** @brief Evidence in natural logarithms. */
  double strength{};

  /** @return Whether the version is taken back for it when it comes from the
   * calls of all entries. */
  [[nodiscard]] bool IsProof() const noexcept;

  /** @return Whether the version is taken back for it when it comes from the
   * calls of one of many entries. */
  [[nodiscard]] bool IsProofAlone() const noexcept;

  /** @return Whether the version may not go on before it has gone. */
  [[nodiscard]] bool IsDoubt() const noexcept;
};

/**
 * @brief Writes a finding as a sentence for operators.
 * @param finding Finding to write.
 * @return The sentence.
 */
[[nodiscard]] std::string ToString(const Finding& finding);

/**
 * @brief Tells a fault of the new version from the faults of others.
 *
 * Versions are compared only within a route, a data centre and a short time, so
 * that what slows a data centre or comes from callers falls on both. A fault
 * must show without any one target, so that a noisy neighbour is not taken for
 * it. The scatter between targets of the old version weakens the evidence.
 */
class FaultDetector {
 public:
  /**
   * @brief Takes the counts of a short time.
   * @param window Counts.
   * @param now Current time.
   */
  void Observe(const Window& window, core::TimePoint now);

  /** @return The sign of a fault that is nearest to its proof; nothing without
   * any. */
  [[nodiscard]] std::optional<Finding> Strongest() const;

 private:
  using Event = std::uint32_t Tally::*;

  struct Key {
    FaultKind kind = FaultKind::kFails;
    core::RouteName route;

    [[nodiscard]] auto operator<=>(const Key&) const = default;
  };

  struct Tests {
    SequentialTest all_targets;
    std::map<core::InstanceName, SequentialTest> without;
  };

  struct Open {
    Stratum test;
    Stratum scatter;
    core::TimePoint scatter_since{};
  };

  void Close(const core::RouteName& route, const Stratum& stratum);
  void Test(const Key& key, Event event, const Stratum& stratum,
            double dispersion);
  void MeasureScatter(const core::RouteName& route, const Stratum& stratum);

  std::map<StratumKey, Open> open;
  std::map<Key, Tests> tests;
  std::map<Key, double> dispersions;
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_FAULT_DETECTOR_H_
