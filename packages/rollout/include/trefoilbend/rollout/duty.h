#ifndef TREFOILBEND_ROLLOUT_DUTY_H_
#define TREFOILBEND_ROLLOUT_DUTY_H_

#include <chrono>
#include <memory>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/core/ring.h"
#include "trefoilbend/membership/messages.h"
#include "trefoilbend/platform/lease.h"
#include "trefoilbend/platform/store.h"
#include "trefoilbend/rollout/brisk_ladder.h"
#include "trefoilbend/rollout/messages.h"

namespace trefoilbend::rollout {

/** @brief Options of the rollout duty. */
struct Options {
  /** @brief Name of this entry. */
  core::InstanceName self;
  /** @brief Run of this entry's process. */
  core::Incarnation incarnation;
  /** @brief Makes the store that holds the lease. */
  platform::StoreFactory store;
  /** @brief Times of the lease, equal on all entries. */
  platform::LeaseTimes lease{};
  /** @brief Time between two looks at the lease. */
  std::chrono::milliseconds lease_period{1'500};
  /** @brief Whether only the first few live entries compete for the lease, and
   * only while a release is under way; each look has its price. */
  bool competes_sparingly = false;
  /** @brief How fast releases may go. */
  Pace pace = Pace::kCareful;
};

/** @brief Rings that the rollout duty writes to. */
struct Outlets {
  /** @brief Brakes for the duty that chooses targets. */
  core::Ring<BrakeOrder>* balancing{};
  /** @brief Requests for the duty that commits changes. */
  core::Ring<configuration::ChangeRequest>* configuration{};
};

/** @brief Duty that decides about releases, and competes for the lease of their
 * controller. */
class RolloutDuty {
 public:
  /**
   * @brief Makes the duty; it runs after Start.
   * @param options Options of the duty.
   */
  explicit RolloutDuty(const Options& options);
  ~RolloutDuty();

  RolloutDuty(const RolloutDuty&) = delete;
  RolloutDuty& operator=(const RolloutDuty&) = delete;

  /** @return Ring for this entry's counts. */
  [[nodiscard]] core::Ring<EvidenceReport>& BalancingInlet() noexcept;

  /** @return Ring for configurations. */
  [[nodiscard]] core::Ring<configuration::Update>&
  ConfigurationInlet() noexcept;

  /** @return Ring for what is known of the peers. */
  [[nodiscard]] core::Ring<membership::View>& MembershipInlet() noexcept;

  /** @return Ring for results of changes. */
  [[nodiscard]] core::Ring<configuration::ChangeResult>& ResultInlet() noexcept;

  /**
   * @brief Starts the duty.
   * @param outlets Rings to write to.
   */
  void Start(Outlets outlets);

  /** @brief Stops the duty. */
  void Stop();

 private:
  class Loop;

  std::unique_ptr<Loop> loop;
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_DUTY_H_
