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

/** @brief Members of a tally that count events and the calls on which they
 * could have come. */
struct EventCount {
  /** @brief Events. */
  std::uint32_t Tally::*events;
  /** @brief Calls. */
  std::uint32_t Tally::*calls;
};

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
 * Versions are compared only within a route and a short time, so that what
 * comes from callers falls on both. A few targets of the new version may be in
 * data centres where the old one has few calls, so they are compared over all
 * data centres, and that counts as far as the comparison within data centres
 * agrees: what slows a data centre falls on both. A fault must show without any
 * one target, so that a noisy neighbour is not taken for it. The scatter
 * between targets of the old version weakens the evidence.
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
  struct Key {
    FaultKind kind = FaultKind::kFails;
    core::RouteName route;

    [[nodiscard]] auto operator<=>(const Key&) const = default;
  };

  /** Which calls are compared with each other. */
  enum class Scope : std::uint8_t { kDataCentre, kAllDataCentres };

  /** Comparisons over all data centres without one target. */
  struct Others {
    SequentialTest test;
    /** Recent calls of the target. */
    double left_out_calls{};
  };

  struct Tests {
    /** Comparisons within data centres. */
    SequentialTest all_targets;
    /** Comparisons over all data centres. */
    SequentialTest across;
    /** The same without each target. */
    std::map<core::InstanceName, Others> without;
    /** Recent calls to the new version. */
    double recent_calls{};

    [[nodiscard]] double Strength() const;
    /** Weight that makes up for the calls that are left out. */
    [[nodiscard]] double WeightOf(const Others& others) const;
  };

  /** Calls that are not compared yet. */
  struct Comparable {
    /** Takes the calls out if they can be compared now. */
    [[nodiscard]] std::optional<Stratum> TakeIfDue(core::TimePoint now);

    Stratum stratum;
    /** When both versions had calls. */
    std::optional<core::TimePoint> since;
  };

  struct Open {
    Comparable test;
    Stratum scatter;
    core::TimePoint scatter_since{};
  };

  void Close(const core::RouteName& route, const Stratum& stratum, Scope scope);
  void Test(const Key& key, const EventCount& count, const Stratum& stratum,
            double dispersion, Scope scope);
  void MeasureScatter(const core::RouteName& route, const Stratum& stratum);

  std::map<StratumKey, Open> open;
  std::map<core::RouteName, Comparable> open_across;
  std::map<Key, Tests> tests;
  std::map<Key, double> dispersions;
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_FAULT_DETECTOR_H_
