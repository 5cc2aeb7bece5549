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

/** @brief Calls that wait a moment for fresh reports of a few targets before
 * one is chosen. */
class PendingProbes {
 public:
  /**
   * @brief Lets a call wait for probes.
   * @param call Call that waits.
   * @param probes Probes that were sent for it.
   * @param until Time at which it waits no longer.
   */
  void Add(core::CallId call, const std::vector<forwarding::ProbeId>& probes,
           core::TimePoint until);

  /**
   * @brief Takes note of a probe that ended.
   * @param probe The probe.
   * @return Call that has all its reports now, if it still waits.
   */
  [[nodiscard]] std::optional<core::CallId> Complete(forwarding::ProbeId probe);

  /**
   * @brief Removes the calls that have waited long enough.
   * @param now Current time.
   * @return The calls.
   */
  [[nodiscard]] std::vector<core::CallId> Expire(core::TimePoint now);

  /**
   * @brief Removes a call that is cancelled.
   * @param call The call.
   * @return Whether it waited here.
   */
  bool Remove(core::CallId call);

  /** @return Time at which the next call has waited long enough. */
  [[nodiscard]] std::optional<core::TimePoint> NextExpiry() const noexcept;

  /** @return Probes that have not ended. */
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
