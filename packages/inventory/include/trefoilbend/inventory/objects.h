#ifndef TREFOILBEND_INVENTORY_OBJECTS_H_
#define TREFOILBEND_INVENTORY_OBJECTS_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilbend/core/name.h"
#include "trefoilbend/core/position.h"
#include "trefoilbend/http/address.h"

namespace trefoilbend::inventory {

/** @brief A data centre of the asset register. */
struct DataCentre {
  /** @brief Name of the data centre. */
  core::DataCentreName name;
  /** @brief Region in which it stands. */
  core::RegionName region;

  [[nodiscard]] bool operator==(const DataCentre&) const = default;
};

/** @brief A service of the asset register, with the rules that hold for all its
 * routes. */
struct Service {
  /** @brief Name of the service, which callers put into the Host field. */
  core::ServiceName name;
  /** @brief Version that carries the traffic while no release is under way. */
  core::VersionName version;
  /** @brief Time that a call may take when its caller names none. */
  std::chrono::microseconds timeout{};
  /** @brief Calls in flight that a cold target bears, from all entries
   * together. */
  std::uint32_t cold_allowance{};
  /** @brief Probes a second that one target bears, from all entries together.
   */
  std::uint32_t probe_budget{};
  /** @brief Whether a target's status 503 proves that the request was not run.
   */
  bool trusts_refusals{};
  /** @brief Path on which a target answers health checks; empty for none. */
  std::string health_path;
  /** @brief Requests a second that a cold target bears, from all entries
   * together; 0 if only cold_allowance bounds them. */
  std::uint32_t cold_rate{};
  /** @brief Time for which a target stays cold after its start. */
  std::chrono::milliseconds warm_up{};
  /** @brief Whether targets of versions that no release has named carry the
   * traffic as those of the service's version do; so it is where the register
   * names no version of a service. */
  bool carries_unnamed_versions{};

  [[nodiscard]] bool operator==(const Service&) const = default;
};

/** @brief What an instance does. */
enum class Role : std::uint8_t { kTarget, kEntry };

/** @brief An instance of the asset register. */
struct Instance {
  /** @brief Name of the instance. */
  core::InstanceName name;
  /** @brief What the instance does. */
  Role role = Role::kTarget;
  /** @brief Data centre in which it stands. */
  core::DataCentreName data_centre;
  /** @brief Address that serves calls. */
  http::Address address;
  /** @brief Service of a target. */
  core::ServiceName service;
  /** @brief Version that a target runs. */
  core::VersionName version;
  /** @brief Requests that a target works on at the same time. */
  std::uint32_t slots{};
  /** @brief Connections that a target bears, from all entries together. */
  std::uint32_t connections{};
  /** @brief Time that a target needs to take a new connection. */
  std::chrono::microseconds connection_cost{};
  /** @brief Address on which an entry takes its peers' gossip. */
  std::optional<http::Address> peers;
  /** @brief Address on which an entry takes calls that peers pass on. */
  std::optional<http::Address> relay;
  /** @brief Address on which an entry takes its peers' release evidence. */
  std::optional<http::Address> rollout;
  /** @brief Processor time of an entry, in percent of a core. */
  std::uint32_t processor_percent{};
  /** @brief Address on which an entry tells its peers what the store holds. */
  std::optional<http::Address> feed;
  /** @brief Address on which an entry talks to operators. */
  std::optional<http::Address> operations;

  [[nodiscard]] bool operator==(const Instance&) const = default;
};

/** @brief Part of a route's requests that goes to one service. */
struct TrafficShare {
  /** @brief Service that gets the part. */
  core::ServiceName service;
  /** @brief Part in proportion to the weights of the route's other shares. */
  std::uint32_t weight{};

  [[nodiscard]] bool operator==(const TrafficShare&) const = default;
};

/** @brief A rule for some requests of a service. */
struct Route {
  /** @brief Name of the route, unique among all routes. */
  core::RouteName name;
  /** @brief Service of the requests. */
  core::ServiceName service;
  /** @brief Beginning of the requests' paths. */
  std::string path;
  /** @brief Method of the requests; empty for any. */
  std::string method;
  /** @brief Whether running such a request twice does the same as running it
   * once. */
  bool idempotent{};
  /** @brief Whether callers may ask for urgent treatment. */
  bool urgent_allowed{};
  /** @brief Time that a call may take; nothing to use the service's. */
  std::optional<std::chrono::microseconds> timeout;
  /** @brief Host field of the requests; empty if it is the service's name. */
  std::string host;
  /** @brief Services among which the requests are divided; empty if all go to
   * the route's service. */
  std::vector<TrafficShare> split;
  /** @brief Targets to which one request may be sent; 0 for the entry's own
   * limit. */
  std::uint32_t attempts{};
  /** @brief Time within which an answer has its full worth; zero for no
   * objective. */
  std::chrono::microseconds objective{};
  /** @brief Rank of the requests among others; 0 is the highest. */
  std::uint32_t rank{};

  [[nodiscard]] bool operator==(const Route&) const = default;
};

/** @brief An operator's order to keep a data centre out of service. */
struct Outage {
  /** @brief Data centre that is out. */
  core::DataCentreName name;

  [[nodiscard]] bool operator==(const Outage&) const = default;
};

/** @brief Where a release stands. */
enum class ReleaseState : std::uint8_t {
  /** @brief Traffic moves to the new version step by step. */
  kMoving,
  /** @brief Operators hold the release at its step. */
  kPaused,
  /** @brief All traffic is on the old version again. */
  kTakenBack,
  /** @brief All traffic is on the new version. */
  kDone
};

/** @brief The move of a service's traffic to a new version. */
struct Release {
  /** @brief Service whose traffic moves; a service has one release at a time.
   */
  core::ServiceName name;
  /** @brief Version that the traffic moves to. */
  core::VersionName version;
  /** @brief Version that carried all traffic when the release began. */
  core::VersionName from;
  /** @brief Wall-clock time at which operators began the release, which tells
   * it from earlier ones. */
  std::chrono::sys_seconds begun{};
  /** @brief Wall-clock time by which the new version must carry all traffic. */
  std::chrono::sys_seconds deadline{};
  /** @brief Where the release stands. */
  ReleaseState state = ReleaseState::kMoving;
  /** @brief Number of the step; 0 before the first. */
  std::uint32_t step{};
  /** @brief Greatest share of calls that the new version gets, in thousandths.
   */
  std::uint32_t share{};
  /** @brief Epoch of the controller that wrote last; writes of earlier ones
   * clash. */
  std::uint64_t epoch{};
  /** @brief Versions that carry no traffic any more: those of earlier releases
   * that were taken back or gave way to this one, and those that a release has
   * replaced. */
  std::vector<core::VersionName> withdrawn;
  /** @brief Position of the order that it carries out, where operators give
   * orders by a row of their own. */
  std::optional<core::Position> order;

  [[nodiscard]] bool operator==(const Release&) const = default;
};

/** @brief The rules' order to move a service's traffic to a new version. */
struct ReleaseRule {
  /** @brief Service whose traffic moves. */
  core::ServiceName name;
  /** @brief Version that the traffic moves to. */
  core::VersionName version;
  /** @brief Wall-clock time by which the new version must carry all traffic. */
  std::chrono::sys_seconds deadline{};

  [[nodiscard]] bool operator==(const ReleaseRule&) const = default;
};

/** @brief Whole of a release's share. */
inline constexpr std::uint32_t kWholeShare = 1'000;

/** @brief Any object of the configuration. */
using Object = std::variant<DataCentre, Service, Instance, Route, Outage,
                            Release, ReleaseRule>;

/** @brief Kinds of objects, in the order of Object's alternatives. */
enum class Kind : std::uint8_t {
  kDataCentre,
  kService,
  kInstance,
  kRoute,
  kOutage,
  kRelease,
  kReleaseRule
};

/** @brief Identity of an object. */
struct ObjectKey {
  /** @brief Kind of the object. */
  Kind kind = Kind::kDataCentre;
  /** @brief Name among the objects of that kind. */
  std::string name;

  [[nodiscard]] auto operator<=>(const ObjectKey&) const = default;
};

/**
 * @brief Returns the identity of an object.
 * @param object Object to identify.
 * @return Its kind and name.
 */
[[nodiscard]] ObjectKey KeyOf(const Object& object);

/**
 * @brief Writes an identity as kind/name.
 * @param key Identity to write.
 * @return The text.
 */
[[nodiscard]] std::string ToString(const ObjectKey& key);

}  // namespace trefoilbend::inventory

#endif  // TREFOILBEND_INVENTORY_OBJECTS_H_
