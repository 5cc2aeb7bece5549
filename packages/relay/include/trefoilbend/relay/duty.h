#ifndef TREFOILBEND_RELAY_DUTY_H_
#define TREFOILBEND_RELAY_DUTY_H_

#include <cstddef>
#include <memory>

#include "trefoilbend/core/ring.h"
#include "trefoilbend/relay/messages.h"

namespace trefoilbend::relay {

/** @brief Duty that passes calls on to their keys' homes and takes those of
 * peers. */
class RelayDuty {
 public:
  /**
   * @brief Makes the duty; it runs after Start.
   * @param max_calls Greatest number of calls in progress in each direction.
   */
  explicit RelayDuty(std::size_t max_calls);
  ~RelayDuty();

  RelayDuty(const RelayDuty&) = delete;
  RelayDuty& operator=(const RelayDuty&) = delete;

  /** @return Ring for messages of the duty that talks to callers. */
  [[nodiscard]] core::Ring<FromCallers>& CallersInlet() noexcept;

  /**
   * @brief Starts the duty.
   * @param callers Ring to the duty that talks to callers.
   */
  void Start(core::Ring<ToCallers>& callers);

  /** @brief Stops the duty. */
  void Stop();

 private:
  class Loop;

  std::unique_ptr<Loop> loop;
};

}  // namespace trefoilbend::relay

#endif  // TREFOILBEND_RELAY_DUTY_H_
