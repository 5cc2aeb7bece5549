#ifndef TREFOILBEND_BENCH_CAPACITY_DEPLOYMENT_H_
#define TREFOILBEND_BENCH_CAPACITY_DEPLOYMENT_H_

#include <cstddef>
#include <memory>
#include <string>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/inventory/change.h"

namespace trefoilbend::bench {

/** @brief Size of a deployment. */
struct Size {
  /** @brief Number of targets. */
  std::size_t targets{};
  /** @brief Number of services; each has an equal share of the targets. */
  std::size_t services{};
  /** @brief Number of entries. */
  std::size_t entries{};
};

/** @brief Number of data centres of every deployment. */
inline constexpr std::size_t kDataCentres = 11;

/**
 * @brief Names a service.
 * @param number Number of the service, from 0.
 * @return The name.
 */
[[nodiscard]] std::string ServiceText(std::size_t number);

/**
 * @brief Makes a target.
 * @param number Number of the target, from 0.
 * @param size Size of its deployment.
 * @return The target.
 */
[[nodiscard]] inventory::Instance MakeTarget(std::size_t number,
                                             const Size& size);

/**
 * @brief Puts all objects of a deployment into a builder.
 * @param size Size of the deployment.
 * @return The builder.
 */
[[nodiscard]] inventory::Configuration::Builder Describe(const Size& size);

/**
 * @brief Makes the platform's list with all instances live.
 * @param size Size of the deployment.
 * @return The list.
 */
[[nodiscard]] configuration::InstanceList ListAll(const Size& size);

/**
 * @brief Makes a revision that changes the slots of targets.
 * @param revision Revision to make.
 * @param changes Number of targets that it changes.
 * @param size Size of the deployment.
 * @return The revision.
 */
[[nodiscard]] inventory::Revised MakeRevised(core::Revision revision,
                                             std::size_t changes,
                                             const Size& size);

}  // namespace trefoilbend::bench

#endif  // TREFOILBEND_BENCH_CAPACITY_DEPLOYMENT_H_
