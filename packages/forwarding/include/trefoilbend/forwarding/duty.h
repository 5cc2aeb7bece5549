#ifndef TREFOILBEND_FORWARDING_DUTY_H_
#define TREFOILBEND_FORWARDING_DUTY_H_

#include <chrono>
#include <cstddef>
#include <memory>

#include "trefoilbend/core/duty.h"
#include "trefoilbend/core/ring.h"
#include "trefoilbend/forwarding/messages.h"

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
