#ifndef TREFOILBEND_REGISTRY_RECORDS_H_
#define TREFOILBEND_REGISTRY_RECORDS_H_

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/name.h"
#include "trefoilbend/inventory/objects.h"

namespace trefoilbend::registry {

/** @brief Whole configuration that operators want in force. */
struct DesiredState {
  /** @brief Number of the configuration, which only rises. */
  std::uint64_t version{};
  /** @brief Services without their versions. */
  std::vector<inventory::Service> services;
  /** @brief Connections that a target of each service bears, in the order of
   * the services. */
  std::vector<std::uint32_t> connections;
  /** @brief Rules for requests. */
  std::vector<inventory::Route> routes;
  /** @brief What callers may send. */
  configuration::CallerBounds bounds;
};

/** @brief Operators' order to move a service's traffic to a version. */
struct ReleaseOrder {
  /** @brief Service whose traffic moves. */
  core::ServiceName service;
  /** @brief Version that the traffic moves to. */
  core::VersionName version;
  /** @brief Time from the order to its deadline. */
  std::chrono::milliseconds within{};

  [[nodiscard]] bool operator==(const ReleaseOrder&) const = default;
};

/** @brief Operators' order to send nothing more to a data centre. */
struct EvacuationOrder {
  /** @brief Data centre that is out of service. */
  core::DataCentreName data_centre;
};

/** @brief Row that holds no order of a known kind. */
struct UnknownOrder {};

/** @brief Row that should hold an order and cannot be read. */
struct UnreadableOrder {};

/** @brief What operators wrote into one row. */
using Order = std::variant<UnknownOrder, UnreadableOrder, DesiredState,
                           ReleaseOrder, EvacuationOrder>;

/** @brief What a target tells of itself. */
struct TargetRecord {
  /** @brief The target; its connections are left to the service's limit. */
  inventory::Instance instance;
  /** @brief Whether it is about to leave. */
  bool draining{};
  /** @brief Time for which it stays cold. */
  std::chrono::milliseconds cold_for{};
  /** @brief Run of its process; 0 if it does not tell. */
  core::Incarnation incarnation;

  [[nodiscard]] bool operator==(const TargetRecord&) const = default;
};

}  // namespace trefoilbend::registry

#endif  // TREFOILBEND_REGISTRY_RECORDS_H_
