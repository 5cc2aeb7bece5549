#ifndef TREFOILBEND_BALANCING_AVAILABILITY_H_
#define TREFOILBEND_BALANCING_AVAILABILITY_H_

#include <string_view>
#include <unordered_map>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/inventory/objects.h"

namespace trefoilbend::balancing {

/** @brief Which instances an update of the configuration and the list allows to
 * use. */
class Availability {
 public:
  /**
   * @brief Indexes an update.
   * @param update Update, which outlives the index.
   */
  explicit Availability(const configuration::Update& update);

  /** @return Whether the platform lists an instance, live or leaving. */
  [[nodiscard]] bool IsListed(const core::InstanceName& name) const;

  /** @return Whether the platform lists an instance as live. */
  [[nodiscard]] bool IsLive(const core::InstanceName& name) const;

  /** @return Time until which a target is cold by its own account. */
  [[nodiscard]] core::TimePoint ColdUntil(const core::InstanceName& name) const;

  /** @return Whether a target may take new calls. */
  [[nodiscard]] bool IsUsable(const inventory::Instance& target) const;

 private:
  std::unordered_map<std::string_view, const platform::ListedInstance*> listed;
  std::vector<core::DataCentreName> outages;
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_AVAILABILITY_H_
