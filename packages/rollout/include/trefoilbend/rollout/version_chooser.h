#ifndef TREFOILBEND_ROLLOUT_VERSION_CHOOSER_H_
#define TREFOILBEND_ROLLOUT_VERSION_CHOOSER_H_

#include <cstdint>
#include <map>
#include <set>

#include "trefoilbend/core/name.h"
#include "trefoilbend/inventory/configuration.h"
#include "trefoilbend/rollout/release_id.h"

namespace trefoilbend::rollout {

/**
 * @brief Chooses the version that gets a call.
 *
 * Only the service's version carries traffic unless a release gives another one
 * a share. The new version's share of the calls that this entry has chosen for
 * never exceeds the release's.
 */
class VersionChooser {
 public:
  /**
   * @brief Puts a configuration into force.
   * @param configuration Configuration with its releases.
   */
  void Configure(const inventory::Configuration& configuration);

  /**
   * @brief Stops a release at this entry until operators begin another one.
   * @param release Release whose version gets no more calls.
   */
  void Brake(const ReleaseId& release);

  /**
   * @brief Chooses the version for a new call.
   * @param service Service of the call.
   * @return The version; empty for an unknown service.
   */
  [[nodiscard]] core::VersionName Choose(const core::ServiceName& service);

  /**
   * @brief Returns the version for a call whose first attempt failed.
   * @param service Service of the call.
   * @return The version that the service's traffic moves away from.
   */
  [[nodiscard]] core::VersionName Stable(
      const core::ServiceName& service) const;

  /**
   * @brief Tells whether a version may have new calls.
   * @param service Service of the calls.
   * @param version Version to ask about.
   * @return False once a brake or a configuration has taken it out of use.
   */
  [[nodiscard]] bool Serves(const core::ServiceName& service,
                            const core::VersionName& version) const;

 private:
  struct Split {
    core::VersionName stable;
    ReleaseId release;
    std::uint32_t share{};
    std::uint32_t credit{};
  };

  std::map<core::ServiceName, Split> splits;
  std::set<ReleaseId> braked;
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_VERSION_CHOOSER_H_
