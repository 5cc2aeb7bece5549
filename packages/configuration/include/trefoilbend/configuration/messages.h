#ifndef TREFOILBEND_CONFIGURATION_MESSAGES_H_
#define TREFOILBEND_CONFIGURATION_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/number.h"
#include "trefoilbend/inventory/change.h"
#include "trefoilbend/inventory/configuration.h"
#include "trefoilbend/platform/messages.h"

namespace trefoilbend::configuration {

/** @brief Instances of the platform's list, shared by the duties. */
using InstanceList =
    std::shared_ptr<const std::vector<platform::ListedInstance>>;

/** @brief What callers may send and how long they may stay idle. */
struct CallerBounds {
  /** @brief Longest head of a request in bytes. */
  std::uint32_t header{};
  /** @brief Longest body of a request in bytes. */
  std::uint64_t body{};
  /** @brief Longest time in which a request arrives whole. */
  std::chrono::milliseconds receive{};
  /** @brief Time after which an idle connection is closed. */
  std::chrono::milliseconds idle{};

  [[nodiscard]] bool operator==(const CallerBounds&) const = default;
};

/** @brief The configuration and the list of instances that are in force from
 * now on. */
struct Update {
  /** @brief Configuration. */
  inventory::ConfigurationPtr configuration;
  /** @brief Instances of the platform's list. */
  InstanceList listed;
  /** @brief Bounds for callers, if operators set them. */
  std::optional<CallerBounds> bounds{};
  /** @brief Era of the store that it was made from. */
  platform::Era era{};
  /** @brief Services whose release the store has lost by coming back from an
   * older copy; it has to be written again. */
  std::vector<core::ServiceName> lost_releases{};
};

/** @brief Who told what is known of the targets. */
enum class ToldBy : std::uint8_t { kStore, kPeer };

/** @brief How well the targets are known. */
struct TargetKnowledge {
  /** @brief Time as of which they are known. */
  core::TimePoint as_of{};
  /** @brief Who confirmed it. */
  ToldBy told_by = ToldBy::kStore;
};

/** @brief Newest revisions, the oldest of them first, shared by the duties. */
using RecentRevisions = std::shared_ptr<const std::vector<inventory::Revised>>;

/** @brief What the configuration duty has learnt, for the duty that tells it to
 * the peers. */
struct Progress {
  /** @brief Configuration in force. */
  inventory::ConfigurationPtr configuration;
  /** @brief Newest revisions, up to the one in force. */
  RecentRevisions recent;
  /** @brief Time at which the platform was asked that has just answered. */
  std::optional<core::TimePoint> platform_answered;
};

/** @brief Revisions that a peer has passed on. */
struct PeerRevisions {
  /** @brief Rows of revisions in their order. */
  std::vector<std::string> rows;
  /** @brief Whole configuration; empty if the rows are enough. */
  std::string snapshot;
};

/** @brief Identity of a request within this process. */
using RequestId = core::Number<struct ChangeRequestTag>;

/** @brief An operator's request to change objects. */
struct ChangeRequest {
  /** @brief Identity of the request within this process. */
  RequestId request;
  /** @brief Identity of the change, the same when the operator repeats it. */
  std::string change_id;
  /** @brief Who asks. */
  std::string who;
  /** @brief Why, in the operator's words. */
  std::string why;
  /** @brief Changes; each object must still be as the change's before. */
  std::vector<inventory::Change> changes;
  /**
   * @brief Revision that must still be the newest; nothing if only the changed
   * objects matter.
   */
  std::optional<core::Revision> based_on;
  /** @brief Rows that must be unchanged, such as that of a lease. */
  std::vector<platform::Condition> fences;
};

/** @brief The change has taken effect. */
struct ChangeAccepted {
  /** @brief Revision that begins with the change. */
  core::Revision revision;
};

/** @brief Another change came first. */
struct ChangeClash {
  /** @brief The change that came first. */
  inventory::Revised other;
};

/** @brief The change was not taken. */
struct ChangeRefused {
  /** @brief Whether the change may take effect all the same. */
  bool effect_unknown{};
  /** @brief Reason and what to do. */
  std::string message;
};

/** @brief Result of an operator's request. */
struct ChangeResult {
  /** @brief Identity of the request. */
  RequestId request;
  /** @brief What came of it. */
  std::variant<ChangeRefused, ChangeAccepted, ChangeClash> result;
};

}  // namespace trefoilbend::configuration

#endif  // TREFOILBEND_CONFIGURATION_MESSAGES_H_
