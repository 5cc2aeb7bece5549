#ifndef TREFOILBEND_BALANCING_PENDING_PROBES_H_
#define TREFOILBEND_BALANCING_PENDING_PROBES_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/forwarding/messages.h"

namespace trefoilbend::balancing {

/** @brief Tracks calls that wait briefly for fresh reports of a few targets
 * before one is chosen. */
class PendingProbes {
 public:
  /**
   * @brief Adds a call that waits for probes.
   * @param call Waiting call.
   * @param probes Probes that were sent for the call.
   * @param until Time at which the wait ends.
   */
  void Add(core::CallId call, const std::vector<forwarding::ProbeId>& probes,
           core::TimePoint until);

  /**
   * @brief Marks a probe as ended.
   * @param probe Probe that ended.
   * @return Call whose last outstanding probe this was; empty if there is none
   * or the call no longer waits.
   */
  [[nodiscard]] std::optional<core::CallId> Complete(forwarding::ProbeId probe);

  /**
   * @brief Removes the calls whose wait has ended.
   * @param now Current time.
   * @return Removed calls.
   */
  [[nodiscard]] std::vector<core::CallId> Expire(core::TimePoint now);

  /**
   * @brief Removes a cancelled call.
   * @param call Call to remove.
   * @return Whether the call was waiting for probes.
   */
  bool Remove(core::CallId call);

  /** @return Time at which the next wait ends; empty if no call waits. */
  [[nodiscard]] std::optional<core::TimePoint> NextExpiry() const noexcept;

  /** @return Number of probes that have not ended. */
  [[nodiscard]] std::size_t Count() const noexcept {
    return this->calls_of_probes.size();
  }

 private:
  struct Waiting {
    std::size_t outstanding{};
    core::TimePoint until;
  };

  std::unordered_map<core::CallId, Waiting> waiting;
  std::unordered_map<forwarding::ProbeId, core::CallId> calls_of_probes;
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_PENDING_PROBES_H_
