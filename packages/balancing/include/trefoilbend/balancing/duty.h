#ifndef TREFOILBEND_BALANCING_DUTY_H_
#define TREFOILBEND_BALANCING_DUTY_H_

#include <cstddef>
#include <memory>

#include "trefoilbend/balancing/dispatcher.h"
#include "trefoilbend/balancing/messages.h"
#include "trefoilbend/balancing/trace_sampler.h"
#include "trefoilbend/core/ring.h"
#include "trefoilbend/rollout/messages.h"

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace trefoilbend::balancing {

/** @brief Rings that the balancing duty writes to. */
struct Outlets {
  /** @brief Refused and interrupted calls, for the callers duty. */
  core::Ring<ToCallers>* callers{};
  /** @brief Orders for the forwarding duty. */
  core::Ring<forwarding::FromBalancing>* forwarding{};
  /** @brief Withdrawn targets, for the forwarding duty. */
  core::Ring<forwarding::WithdrawTargets>* withdrawals{};
  /** @brief Evidence about releases, for the rollout duty; may be null. */
  core::Ring<rollout::EvidenceReport>* rollout{};
};

/** @brief Duty that assigns calls to targets. */
class BalancingDuty {
 public:
  /**
   * @brief Makes the duty; it runs after Start.
   * @param options Options of the dispatcher.
   * @param max_calls Maximum number of calls in flight, which determines the
   * size of the rings.
   * @param traces Limits on the traces that are logged.
   * @param registry Registry for the duty's metrics.
   */
  BalancingDuty(DispatcherOptions options, std::size_t max_calls,
                const TraceOptions& traces, prometheus::Registry& registry);
  ~BalancingDuty();

  BalancingDuty(const BalancingDuty&) = delete;
  BalancingDuty& operator=(const BalancingDuty&) = delete;

  /** @return Ring for submitted and cancelled calls. */
  [[nodiscard]] core::Ring<FromCallers>& CallersInlet() noexcept;

  /** @return Ring for reports of exchanges and probes. */
  [[nodiscard]] core::Ring<forwarding::ToBalancing>& ForwardingInlet() noexcept;

  /** @return Ring for configurations. */
  [[nodiscard]] core::Ring<configuration::Update>&
  ConfigurationInlet() noexcept;

  /** @return Ring for the age and source of the list of targets. */
  [[nodiscard]] core::Ring<configuration::TargetKnowledge>&
  KnowledgeInlet() noexcept;

  /** @return Ring for orders to stop a release. */
  [[nodiscard]] core::Ring<rollout::BrakeOrder>& RolloutInlet() noexcept;

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

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_DUTY_H_
