#ifndef TREFOILBEND_ROLLOUT_CONTROLLER_H_
#define TREFOILBEND_ROLLOUT_CONTROLLER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/inventory/objects.h"
#include "trefoilbend/rollout/brisk_ladder.h"
#include "trefoilbend/rollout/evidence.h"
#include "trefoilbend/rollout/fault_detector.h"
#include "trefoilbend/rollout/release_plan.h"

namespace trefoilbend::rollout {

/** @brief Usable targets of both versions. */
struct Capacity {
  /** @brief Slots of the old version's targets. */
  std::uint64_t old_slots{};
  /** @brief Slots of the new version's targets. */
  std::uint64_t new_slots{};
  /** @brief Number of the new version's targets. */
  std::size_t new_targets{};
};

/** @brief What the controller sees when it decides. */
struct Situation {
  /** @brief Current time. */
  core::TimePoint now{};
  /** @brief Current wall-clock time. */
  std::chrono::sys_seconds wall{};
  /** @brief Usable targets. */
  Capacity capacity;
};

/** @brief A release as it shall become. */
struct Verdict {
  /** @brief Release after the change. */
  inventory::Release after;
  /** @brief Why, for the audit trail and the notice. */
  std::string why;
};

/**
 * @brief Moves one release step by step, or takes it back.
 *
 * Decides for the holder of the lease only. A verdict has effect once it is
 * committed and handed back by Accept, so that a lost or refused write repeats
 * the step and never skips one. The deadline never advances a step.
 */
class Controller {
 public:
  /**
   * @brief Begins at the step that a release has reached.
   * @param release Release as committed.
   * @param epoch Epoch of this holder of the lease.
   * @param now Current time.
   * @param pace How fast it may go.
   */
  Controller(inventory::Release release, std::uint64_t epoch,
             core::TimePoint now, Pace pace = Pace::kCareful);

  /**
   * @brief Takes the release as it is now committed, by whoever changed it.
   * @param release Release of the same identity.
   * @param now Current time.
   */
  void Accept(const inventory::Release& release, core::TimePoint now);

  /**
   * @brief Takes merged counts of a short time.
   * @param window Counts of all entries.
   * @param now Current time.
   */
  void Observe(const Window& window, core::TimePoint now);

  /**
   * @brief Takes a peer's or this entry's word that the version is bad.
   * @param why Reason of the brake.
   */
  void Brake(std::string why);

  /**
   * @brief Decides what is next.
   * @param situation What the controller sees.
   * @return The change to commit; nothing while the step goes on.
   */
  [[nodiscard]] std::optional<Verdict> Decide(const Situation& situation);

  /** @return What keeps the release from being done in time, for operators. */
  [[nodiscard]] const std::vector<std::string>& Concerns() const noexcept {
    return this->concerns;
  }

  /** @return Plan of the last decision. */
  [[nodiscard]] const ReleasePlan& Plan() const noexcept { return this->plan; }

 private:
  [[nodiscard]] std::optional<Verdict> TakeBack(const Situation& situation);
  /** Ends a release to the version that carries the traffic already: there is
   * nothing to move, and what a release before it left is taken back. */
  [[nodiscard]] std::optional<Verdict> FinishAtOnce(
      const Situation& situation) const;
  [[nodiscard]] std::optional<Verdict> Advance(const Situation& situation);
  [[nodiscard]] std::optional<Verdict> AdvanceBriskly(
      const Situation& situation);
  [[nodiscard]] bool IsBrisk() const noexcept;
  /** Goes back to a share at which both versions have calls to compare, if the
   * old version's targets can bear the rest. */
  [[nodiscard]] std::optional<Verdict> StepBack(const BriskLadder& ladder,
                                                const Capacity& capacity) const;
  /** Has other targets take the present share, so that a fault shows on several
   * of them. */
  [[nodiscard]] std::optional<Verdict> LoadNextTargets(
      const BriskLadder& ladder, core::TimePoint now) const;
  [[nodiscard]] BriskLadder LadderOf(const Situation& situation) const;
  /** Whether there were enough calls to the new version at the present share.
   */
  [[nodiscard]] bool IsJudged() const;
  [[nodiscard]] bool IsWatchOver(const BriskLadder& ladder,
                                 const Situation& situation) const;
  [[nodiscard]] bool IsDoubtful() const;
  [[nodiscard]] bool IsStepProved(core::TimePoint now) const;
  [[nodiscard]] Verdict Next(std::string why) const;
  void Replan(const Situation& situation);

  inventory::Release release;
  std::uint64_t epoch;
  Pace pace;
  FaultDetector detector;
  ReleasePlan plan;
  Traffic traffic;
  std::map<core::RouteName, std::uint64_t> step_calls;
  /** Calls to the new version since this holder's first look. */
  std::uint64_t new_calls{};
  std::vector<std::string> concerns;
  std::string braked;
  /** Time from this holder's first look to the deadline. */
  std::optional<std::chrono::seconds> whole;
  /** Since when all calls are counted. */
  std::optional<core::TimePoint> counted_since;
  core::TimePoint since;
  core::TimePoint step_since;
  /** When the present targets began to take the share. */
  core::TimePoint loaded_since;
  core::TimePoint target_seen;
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_CONTROLLER_H_
