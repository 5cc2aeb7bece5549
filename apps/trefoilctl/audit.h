#ifndef TREFOILBEND_TREFOILCTL_AUDIT_H_
#define TREFOILBEND_TREFOILCTL_AUDIT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "commands.h"

namespace trefoilbend::ctl {

/** @brief Options of audit and watch. */
struct AuditOptions {
  /** @brief Filters by the name of their query parameter. */
  std::map<std::string, std::string> filters;
  /** @brief Revision after which to begin. */
  std::uint64_t after{};
  /** @brief Greatest number of entries to print. */
  std::uint64_t limit = 100;
  /** @brief Time for which watch runs; zero for ever. */
  std::chrono::seconds duration{};
};

/**
 * @brief Prints entries of the audit trail, the oldest first.
 * @param common Options that all commands share.
 * @param options Options of the command.
 * @return Exit code.
 */
[[nodiscard]] ExitCode Audit(const Common& common, const AuditOptions& options);

/**
 * @brief Prints each change as it is accepted, in order, at least once; its
 * revision is its id.
 * @param common Options that all commands share.
 * @param options Options of the command.
 * @return Exit code.
 */
[[nodiscard]] ExitCode Watch(const Common& common, const AuditOptions& options);

}  // namespace trefoilbend::ctl

#endif  // TREFOILBEND_TREFOILCTL_AUDIT_H_
