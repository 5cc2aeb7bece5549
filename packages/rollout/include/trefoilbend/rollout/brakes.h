#ifndef TREFOILBEND_ROLLOUT_BRAKES_H_
#define TREFOILBEND_ROLLOUT_BRAKES_H_

#include <map>
#include <string>

#include "trefoilbend/inventory/configuration.h"
#include "trefoilbend/rollout/release_id.h"

namespace trefoilbend::rollout {

/**
 * @brief Releases that entries have stopped, passed on between peers.
 *
 * The set only grows while a release is under way, so peers may merge in any
 * order and repeat themselves.
 */
class Brakes {
 public:
  /** @brief Reason of each brake. */
  using Reasons = std::map<ReleaseId, std::string>;

  /**
   * @brief Adds a brake.
   * @param release Release to stop.
   * @param why Reason.
   * @return Whether it is new.
   */
  bool Add(const ReleaseId& release, const std::string& why);

  /**
   * @brief Adds the brakes of a peer.
   * @param peer Brakes of the peer.
   * @return Those that are new.
   */
  [[nodiscard]] Reasons Merge(const Reasons& peer);

  /**
   * @brief Drops the brakes of releases that operators have followed by later
   * ones.
   * @param configuration Configuration in force.
   */
  void Prune(const inventory::Configuration& configuration);

  /** @return All brakes. */
  [[nodiscard]] const Reasons& All() const noexcept { return this->reasons; }

 private:
  Reasons reasons;
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_BRAKES_H_
