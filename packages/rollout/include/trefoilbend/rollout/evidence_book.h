#ifndef TREFOILBEND_ROLLOUT_EVIDENCE_BOOK_H_
#define TREFOILBEND_ROLLOUT_EVIDENCE_BOOK_H_

#include <map>
#include <optional>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/inventory/configuration.h"
#include "trefoilbend/inventory/version_roles.h"
#include "trefoilbend/rollout/evidence.h"
#include "trefoilbend/rollout/release_id.h"

namespace trefoilbend::rollout {

/** @brief An exchange that ended, whatever its service. */
struct ExchangeSummary {
  /** @brief Target that got the call. */
  core::InstanceName target;
  /** @brief Route of the call. */
  core::RouteName route;
  /** @brief Whether the target failed. */
  bool failed{};
  /** @brief Whether the target said that it is cold. */
  bool cold{};
  /** @brief Time to the answer's head, or to the end without one. */
  core::Duration latency{};
};

/** @brief Counts of each release over a short time. */
using Windows = std::map<ReleaseId, Window>;

/** @brief Evidence of all releases under way at one entry; nothing is kept for
 * services without one. */
class EvidenceBook {
 public:
  /**
   * @brief Puts a configuration into force.
   * @param configuration Configuration with its releases.
   */
  void Configure(inventory::ConfigurationPtr configuration);

  /**
   * @brief Takes note of an exchange.
   * @param exchange Exchange that ended.
   */
  void Add(const ExchangeSummary& exchange);

  /** @return The counts since the last call of Take. */
  [[nodiscard]] Windows Take();

 private:
  struct Entry {
    ReleaseId release;
    Evidence evidence;
  };

  /** The version to which a target's calls count; none for a version that
   * carries no traffic, whose last calls tell nothing of the others. */
  [[nodiscard]] std::optional<Arm> ArmOf(
      const inventory::Instance& target) const;

  inventory::ConfigurationPtr configuration;
  std::map<core::ServiceName, Entry> entries;
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_EVIDENCE_BOOK_H_
