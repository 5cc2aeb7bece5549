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
  /** @brief Refusals for the duty that talks to callers. */
  core::Ring<ToCallers>* callers{};
  /** @brief Orders for the duty that carries exchanges. */
  core::Ring<forwarding::FromBalancing>* forwarding{};
  /** @brief Targets that take no more calls, for the same duty. */
  core::Ring<forwarding::WithdrawTargets>* withdrawals{};
  /** @brief Counts for the duty that decides about releases; may be null. */
  core::Ring<rollout::EvidenceReport>* rollout{};
};

/** @brief Duty that decides which call goes to which target. */
class BalancingDuty {
 public:
  /**
   * @brief Makes the duty; it runs after Start.
   * @param options Options of the decisions.
   * @param max_calls Greatest number of calls in flight, which sizes the rings.
   * @param traces Bounds of the traces of calls.
   * @param registry Takes the duty's metrics.
   */
  BalancingDuty(DispatcherOptions options, std::size_t max_calls,
                const TraceOptions& traces, prometheus::Registry& registry);
  ~BalancingDuty();

  BalancingDuty(const BalancingDuty&) = delete;
  BalancingDuty& operator=(const BalancingDuty&) = delete;

  /** @return Ring for calls. */
  [[nodiscard]] core::Ring<FromCallers>& CallersInlet() noexcept;

  /** @return Ring for reports of exchanges. */
  [[nodiscard]] core::Ring<forwarding::ToBalancing>& ForwardingInlet() noexcept;

  /** @return Ring for configurations. */
  [[nodiscard]] core::Ring<configuration::Update>&
  ConfigurationInlet() noexcept;

  /** @return Ring for how well the targets are known. */
  [[nodiscard]] core::Ring<configuration::TargetKnowledge>&
  KnowledgeInlet() noexcept;

  /** @return Ring for brakes. */
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
