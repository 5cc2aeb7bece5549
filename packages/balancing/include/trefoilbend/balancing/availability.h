#ifndef TREFOILBEND_BALANCING_AVAILABILITY_H_
#define TREFOILBEND_BALANCING_AVAILABILITY_H_

#include <string_view>
#include <unordered_map>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/inventory/objects.h"

namespace trefoilbend::balancing {

/** @brief Index of the instances that may be used according to a configuration
 * update. */
class Availability {
 public:
  /**
   * @brief Indexes an update.
   * @param update Update; must outlive the index.
   */
  explicit Availability(const configuration::Update& update);

  /** @return Whether the platform lists an instance, live or leaving. */
  [[nodiscard]] bool IsListed(const core::InstanceName& name) const;

  /** @return Whether the platform lists an instance as live. */
  [[nodiscard]] bool IsLive(const core::InstanceName& name) const;

  /** @return End of the cold period that a target has announced; the epoch if
   * it is not listed. */
  [[nodiscard]] core::TimePoint ColdUntil(const core::InstanceName& name) const;

  /** @return Whether a target may take new calls. */
  [[nodiscard]] bool IsUsable(const inventory::Instance& target) const;

 private:
  std::unordered_map<std::string_view, const platform::ListedInstance*> listed;
  std::vector<core::DataCentreName> outages;
};

}  // namespace trefoilbend::balancing

#endif  // TREFOILBEND_BALANCING_AVAILABILITY_H_
