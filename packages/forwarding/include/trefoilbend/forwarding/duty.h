#ifndef TREFOILBEND_FORWARDING_DUTY_H_
#define TREFOILBEND_FORWARDING_DUTY_H_

#include <chrono>
#include <cstddef>
#include <memory>

#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/ring.h"
#include "trefoilbend/forwarding/messages.h"
#include "trefoilbend/forwarding/target_protocol.h"

namespace prometheus {
class Registry;
}  // namespace prometheus

namespace trefoilbend::forwarding {

/** @brief Options of the forwarding duty. */
struct Options {
  /** @brief Greatest number of calls in flight, which sizes the rings. */
  std::size_t max_calls{};
  /** @brief Time after which an idle connection is closed, unless it is the
   * only one to its target. */
  std::chrono::milliseconds idle_timeout{5'000};
  /** @brief Time after which the only idle connection to a target is closed. */
  std::chrono::milliseconds only_idle_timeout{60'000};
  /** @brief Longest time for which a connection that takes a non-idempotent
   * request may have been idle. */
  std::chrono::milliseconds unsafe_idle{60'000};
  /** @brief Longest wait for a connection to be made; zero to wait until the
   * deadline. */
  std::chrono::milliseconds connect_timeout{};
  /** @brief Length in bytes up to which the answer of an idempotent request is
   * held until it is whole, so that a broken one can be asked for again. */
  std::size_t hold{};
  /** @brief Header fields that are exchanged with targets. */
  std::shared_ptr<const TargetProtocol> protocol =
      std::make_shared<OwnTargetProtocol>();
};

/** @brief Rings that the forwarding duty writes to. */
struct Outlets {
  /** @brief Answers for the duty that talks to callers. */
  core::Ring<ToCallers>* callers{};
  /** @brief Reports for the duty that chooses targets. */
  core::Ring<ToBalancing>* balancing{};
};

/** @brief Duty that carries exchanges with targets. */
class ForwardingDuty {
 public:
  /**
   * @brief Makes the duty; it runs after Start.
   * @param options Options of the duty.
   * @param registry Takes the duty's metrics.
   */
  ForwardingDuty(const Options& options, prometheus::Registry& registry);
  ~ForwardingDuty();

  ForwardingDuty(const ForwardingDuty&) = delete;
  ForwardingDuty& operator=(const ForwardingDuty&) = delete;

  /** @return Ring for orders of the duty that chooses targets. */
  [[nodiscard]] core::Ring<FromBalancing>& BalancingInlet() noexcept;

  /** @return Ring for targets that take no more calls. */
  [[nodiscard]] core::Ring<WithdrawTargets>& WithdrawalsInlet() noexcept;

  /** @return Ring for messages of the duty that talks to callers. */
  [[nodiscard]] core::Ring<FromCallers>& CallersInlet() noexcept;

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

}  // namespace trefoilbend::forwarding

#endif  // TREFOILBEND_FORWARDING_DUTY_H_
