#ifndef TREFOILBEND_ROLLOUT_APPLY_FILES_H_
#define TREFOILBEND_ROLLOUT_APPLY_FILES_H_

#include <chrono>
#include <string>
#include <vector>

#include "trefoilbend/core/outcome.h"
#include "trefoilbend/inventory/change.h"
#include "trefoilbend/inventory/configuration.h"

namespace trefoilbend::rollout {

/**
 * @brief Works out the changes that put the asset register and the rules into
 * force.
 *
 * Only releases move the version that carries a service's traffic: a register
 * that still names the version before a finished release keeps the finished
 * one, and any other version is refused. A release rule that is new or changed
 * begins its release, or gives the one under way its new deadline; an unchanged
 * one does nothing, and a removed one leaves the release as it is.
 *
 * @param configuration Configuration in force.
 * @param files Configuration that the files describe.
 * @param now Current wall-clock time.
 * @return The changes, none if nothing is to change, or every mistake.
 */
[[nodiscard]] core::Outcome<std::vector<inventory::Change>,
                            std::vector<std::string>>
PrepareApply(const inventory::Configuration& configuration,
             const inventory::Configuration& files,
             std::chrono::sys_seconds now);

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_APPLY_FILES_H_
