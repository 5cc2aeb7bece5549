#ifndef TREFOILBEND_ROLLOUT_RELEASE_COMMAND_H_
#define TREFOILBEND_ROLLOUT_RELEASE_COMMAND_H_

#include <chrono>
#include <string>
#include <vector>

#include "trefoilbend/core/name.h"
#include "trefoilbend/core/outcome.h"
#include "trefoilbend/inventory/change.h"
#include "trefoilbend/inventory/configuration.h"

namespace trefoilbend::rollout {

/** @brief What an operator asks for. */
struct ReleaseCommand {
  /** @brief One of ReleaseActions. */
  std::string action;
  /** @brief Service of the release. */
  core::ServiceName service;
  /** @brief Version to begin with; ignored by other actions. */
  core::VersionName version;
  /** @brief Time by which the version must carry all traffic; ignored by other
   * actions. */
  std::chrono::sys_seconds deadline{};
};

/** @return The actions: begin, pause, resume, take-back. */
[[nodiscard]] std::vector<std::string> ReleaseActions();

/**
 * @brief Works out the change that a command asks for.
 * @param configuration Configuration in force.
 * @param command Command of an operator.
 * @param now Current wall-clock time.
 * @return The changes, none if nothing is to change, or why the command is
 * refused.
 */
[[nodiscard]] core::Outcome<std::vector<inventory::Change>, std::string>
PrepareCommand(const inventory::Configuration& configuration,
               const ReleaseCommand& command, std::chrono::sys_seconds now);

}  // namespace trefoilbend::rollout

#endif  // TREFOILBEND_ROLLOUT_RELEASE_COMMAND_H_
