#ifndef TREFOILBEND_REGISTRY_RELEASE_BOOK_H_
#define TREFOILBEND_REGISTRY_RELEASE_BOOK_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/inventory/objects.h"
#include "trefoilbend/platform/messages.h"
#include "trefoilbend/registry/row_codec.h"

namespace trefoilbend::registry {

/** @brief Versions that the targets of a service run, with their numbers of
 * targets. */
using VersionCounts = std::map<core::VersionName, std::size_t>;

/**
 * @brief Orders of releases and the releases that the store holds, made into
 * the release of each service.
 *
 * Operators may give a further order at any time. The version that carries the
 * traffic stays the one that did before the first of them until a release is
 * done; versions whose release was taken back or gave way are withdrawn.
 *
 * After the store has come back from an older copy, an order that is written
 * again stays the one it was, and a release never goes further back than what
 * is known of it.
 */
class ReleaseBook {
 public:
  /**
   * @brief Takes an order, which may give way to a further one.
   * @param key Key of the order's row.
   * @param order Order of a release.
   * @param position Position of the row.
   * @param present Versions of the service's targets.
   */
  void PutOrder(const std::string& key, const ReleaseOrder& order,
                const platform::Position& position,
                const VersionCounts& present);

  /**
   * @brief Removes an order; nothing happens without one.
   * @param key Key of the order's row.
   * @param present Versions of the service's targets.
   */
  void RemoveOrder(const std::string& key, const VersionCounts& present);

  /**
   * @brief Takes a release that the store holds.
   * @param release The release. One that is further back than what is known is
   * passed over, and the known one counts as not stored.
   * @param position Position of its row.
   */
  void PutRelease(const inventory::Release& release,
                  const platform::Position& position);

  /** @brief Takes note that the store has come back from an older copy, which
   * may lack the releases; those that it has are put again, and operators write
   * their orders again. */
  void BeginEra();

  /** @brief Takes note that operators have had the time to write their orders
   * again; from now on an order that says the same is a further one. */
  void EndRewrites();

  /**
   * @brief Takes note of a target, whatever is known of its version.
   * @param target The target.
   * @param position Position of its row.
   * @param now Current time.
   */
  void NoteTarget(const inventory::Instance& target,
                  const platform::Position& position, core::TimePoint now);

  /**
   * @brief Takes note of the time as of which all orders are known.
   * @param as_of Time as of which they are known.
   * @return Whether a version need no longer wait for its order.
   */
  [[nodiscard]] bool NoteOrdersKnown(core::TimePoint as_of);

  /**
   * @brief Tells whether a version is so new that an order which names it may
   * not be known yet; so is none while all of a service are.
   * @param service Service of the targets.
   * @param version Version that they run.
   * @param present Versions of all targets of the service.
   * @return Whether its targets have to wait.
   */
  [[nodiscard]] bool AwaitsOrders(const core::ServiceName& service,
                                  const core::VersionName& version,
                                  const VersionCounts& present) const;

  /**
   * @brief Makes the release of a service.
   * @param service Service to look at.
   * @param key Key of the row of its order.
   * @param present Versions of its targets.
   * @param wall Current wall-clock time, from which deadlines count.
   * @return The release as the store holds it, or as an order begins it;
   * nothing if no version was ordered.
   */
  [[nodiscard]] std::optional<inventory::Release> ReleaseOf(
      const core::ServiceName& service, const std::string& key,
      const VersionCounts& present, std::chrono::sys_seconds wall);

  /**
   * @brief Finds the service of an order.
   * @param key Key of the order's row.
   * @return The service; nothing without an order.
   */
  [[nodiscard]] std::optional<core::ServiceName> ServiceOf(
      const std::string& key) const;

  /**
   * @brief Tells whether a release that is in force has to be written to the
   * store again.
   * @param service Service of the release.
   * @param key Key of the row of its order.
   * @return Whether the store lacks it, or has it further back.
   */
  [[nodiscard]] bool IsLost(const core::ServiceName& service,
                            const std::string& key) const;

  /**
   * @brief Finds the release that is in force of a service.
   * @param service Service of the release.
   * @return The release as it was stored last; null if none was.
   */
  [[nodiscard]] const inventory::Release* StoredFor(
      const core::ServiceName& service) const;

 private:
  struct StoredOrder {
    ReleaseOrder order;
    /** Position of the row, which changes when it is written again. */
    platform::Position row;
    /** Position at which the order was given. */
    platform::Position given;
    /** Whether operators may write the same again, as the store may have lost
     * it. */
    bool may_be_rewritten{};
  };

  struct StoredRelease {
    inventory::Release release;
    /** Position of the row of the order that it carries out. */
    platform::Position order;
    /** Whether the store has it so. */
    bool is_stored{};
  };

  /** When a version of a service was first known, and whether all orders were
   * known afterwards. */
  struct FirstTarget {
    platform::Position row;
    core::TimePoint at{};
    bool settled{};
  };

  using Names = std::set<core::VersionName>;

  /** Whether the store's release of a service is that of an order, or of a
   * later one. */
  [[nodiscard]] bool IsCarriedOut(const StoredOrder& order) const;
  /** Takes note that the same order was written again. */
  void Rewrite(StoredOrder& order, const platform::Position& position);
  /** Has the store's release of an order name the order's row as it is now. */
  void FollowOrder(const StoredOrder& order);
  void NoteSuperseded(const std::string& key, const VersionCounts& present);
  [[nodiscard]] inventory::Release NewRelease(
      const StoredOrder& order, const inventory::Release* previous,
      const VersionCounts& present, std::chrono::sys_seconds wall);
  /** An order that was removed before anything of it was stored counts as taken
   * back; nothing if there was none. */
  [[nodiscard]] std::optional<inventory::Release> OrderTakenAway(
      const core::ServiceName& service, const VersionCounts& present) const;
  /** The version that carries a service's traffic when an order comes; the
   * order's own if its targets were there before it and no others are. */
  [[nodiscard]] core::VersionName CarrierBefore(
      const StoredOrder& order, const inventory::Release* previous,
      const VersionCounts& present) const;
  /** Versions that carry no traffic beside those of a release, given the one
   * before it if that is not yet stored. */
  [[nodiscard]] std::vector<core::VersionName> WithdrawnBefore(
      const inventory::Release& release,
      const inventory::Release* previous) const;

  std::map<std::string, StoredOrder> orders;
  std::map<core::ServiceName, StoredRelease> releases;
  /** Versions of orders that were removed or gave way to a further one before
   * the store held their release. */
  std::map<core::ServiceName, Names> superseded;
  std::map<core::ServiceName, std::map<core::VersionName, FirstTarget>> first;
  std::map<core::ServiceName,
           std::pair<platform::Position, std::chrono::sys_seconds>>
      deadlines;
};

/**
 * @brief Tells which versions carry no traffic once a release is done.
 * @param done The release.
 * @param present Versions of the service's targets.
 * @return All that have targets but the release's own, and those that were
 * withdrawn before.
 */
[[nodiscard]] std::vector<core::VersionName> ReplacedBy(
    const inventory::Release& done, const VersionCounts& present);

}  // namespace trefoilbend::registry

#endif  // TREFOILBEND_REGISTRY_RELEASE_BOOK_H_
