#ifndef TREFOILBEND_ROLLOUT_EVIDENCE_BOOK_H_
#define TREFOILBEND_ROLLOUT_EVIDENCE_BOOK_H_

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/inventory/configuration.h"
#include "trefoilbend/inventory/version_roles.h"
#include "trefoilbend/rollout/evidence.h"
#include "trefoilbend/rollout/release_id.h"

namespace trefoilbend::rollout {

/** @brief An exchange that begins, whatever its service. */
struct ExchangeStart {
  /** @brief Identity of the exchange. */
  core::ExchangeId exchange;
  /** @brief Target that gets the call. */
  core::InstanceName target;
  /** @brief Route of the call. */
  core::RouteName route;
  /** @brief When it begins. */
  core::TimePoint since{};
};

/** @brief An exchange that ended, whatever its service. */
struct ExchangeSummary {
  /** @brief Identity of the exchange. */
  core::ExchangeId exchange{};
  /** @brief Target that got the call. */
  core::InstanceName target;
  /** @brief Route of the call. */
  core::RouteName route;
  /** @brief How it ended. */
  Ending ending = Ending::kAnswered;
  /** @brief Whether its time tells nothing of the target's version. */
  bool untimed{};
  /** @brief Time to the answer's head, or to the end without one. */
  core::Duration latency{};
};

/** @brief Counts of each release over a short time. */
using Windows = std::map<ReleaseId, Window>;

/** @brief Evidence of all releases under way at one entry; nothing is kept for
 * services without one. */
class EvidenceBook {
 public:
  /** @brief Tells whether a target of a service works as usual now, so that the
   * time that its calls take tells of its version. */
  using IsComparable = std::function<bool(const core::ServiceName& service,
                                          const core::InstanceName& target)>;

  /**
   * @brief Makes a book without releases.
   * @param loads_part_of_targets Whether this entry sends some shares to a part
   * of the new version's targets, as LoadsPartOfTargets tells.
   */
  explicit EvidenceBook(const bool loads_part_of_targets = false)
      : loads_part_of_targets(loads_part_of_targets) {}

  /**
   * @brief Puts a configuration into force.
   * @param configuration Configuration with its releases.
   */
  void Configure(inventory::ConfigurationPtr configuration);

  /**
   * @brief Takes note of an exchange that begins.
   * @param exchange Exchange that begins.
   */
  void Begin(const ExchangeStart& exchange);

  /**
   * @brief Takes note of the end of an exchange, also of one that was not said
   * to begin.
   * @param exchange Exchange that ended.
   */
  void Add(const ExchangeSummary& exchange);

  /**
   * @brief Hands over the counts since the last call, with the exchanges that
   * are still out and slow by now.
   * @param now Current time.
   * @param is_comparable Whether a target works as usual.
   * @return Counts of each release.
   */
  [[nodiscard]] Windows Take(core::TimePoint now,
                             const IsComparable& is_comparable);

 private:
  struct Entry {
    ReleaseId release;
    Evidence evidence;
  };

  /** An exchange of a service with a release. */
  struct Open {
    ReleaseId release;
    /** What is known of it, without its latency. */
    Observation observation;
    core::TimePoint since;
    bool judged{};
  };

  /** What a target's exchanges tell of a release under way; nothing for those
   * of other services and of versions that carry no traffic. */
  [[nodiscard]] std::optional<Open> OpenOf(
      const core::InstanceName& target_name,
      const core::RouteName& route_name) const;
  void JudgeOpen(core::TimePoint now, const IsComparable& is_comparable);
  /** The version to which a target's calls count; none for a version that
   * carries no traffic, whose last calls tell nothing of the others. */
  [[nodiscard]] std::optional<Arm> ArmOf(
      const inventory::Instance& target) const;

  bool loads_part_of_targets;
  inventory::ConfigurationPtr configuration;
  std::map<core::ServiceName, Entry> entries;
  std::unordered_map<core::ExchangeId, Open> open;
};

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_EVIDENCE_BOOK_H_
