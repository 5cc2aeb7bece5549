#ifndef TREFOILBEND_OPERATIONS_OUTAGE_CHECK_H_
#define TREFOILBEND_OPERATIONS_OUTAGE_CHECK_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/name.h"

namespace trefoilbend::operations {

/** @brief What remains of a service without a data centre. */
struct RemainingService {
  /** @brief The service. */
  core::ServiceName service;
  /** @brief Slots of its live targets now. */
  std::uint64_t slots_now{};
  /** @brief Slots of its live targets without the data centre. */
  std::uint64_t slots_left{};
  /** @brief Slots that its calls need. */
  std::uint64_t slots_needed{};

  /** @return Whether the rest bears the load. */
  [[nodiscard]] bool Bears() const noexcept {
    return this->slots_left >= this->slots_needed;
  }
};

/**
 * @brief Works out what an outage leaves of each service that it touches.
 *
 * Calls in progress are attributed to services in proportion to their slots,
 * and a slot is planned for at most 80% use. Unknown load counts as use of
 * every slot.
 *
 * @param update Configuration and list in force.
 * @param data_centre Data centre that is to leave.
 * @param calls Calls in progress on all entries, or nothing if unknown.
 * @return The services with live targets in the data centre.
 */
[[nodiscard]] std::vector<RemainingService> AssessOutage(
    const configuration::Update& update,
    const core::DataCentreName& data_centre,
    std::optional<std::uint64_t> calls);

}  // namespace trefoilbend::operations

#endif  // TREFOILBEND_OPERATIONS_OUTAGE_CHECK_H_
