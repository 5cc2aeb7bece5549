#ifndef TREFOILBEND_ENTRY_SETTINGS_H_
#define TREFOILBEND_ENTRY_SETTINGS_H_

#include <map>
#include <optional>
#include <string>

#include "trefoilbend/balancing/dispatcher.h"
#include "trefoilbend/balancing/trace_sampler.h"
#include "trefoilbend/callers/duty.h"
#include "trefoilbend/configuration/duty.h"
#include "trefoilbend/core/outcome.h"
#include "trefoilbend/forwarding/duty.h"
#include "trefoilbend/membership/duty.h"
#include "trefoilbend/operations/duty.h"
#include "trefoilbend/platform/store.h"
#include "trefoilbend/registry/duty.h"
#include "trefoilbend/settings/document.h"
#include "trefoilbend/settings/mistake.h"

namespace trefoilbend::entry {

/** @brief Checked settings of an entry. */
struct Settings {
  /** @brief Options of the duty that talks to callers. */
  callers::Options callers;
  /** @brief Options of the decisions about targets. */
  balancing::DispatcherOptions balancing;
  /** @brief Options of the duty that carries exchanges. */
  forwarding::Options forwarding;
  /** @brief Options of the duty that follows the configuration. */
  configuration::Options configuration;
  /** @brief Options of the duty that follows the users' store; nothing if the
   * project's own table holds the configuration. */
  std::optional<registry::Options> registry;
  /** @brief Makes the store that holds the lease of releases; nothing for the
   * project's own table. */
  platform::WatchedStoreFactory rollout_store;
  /** @brief Options of the duty that talks to the peers. */
  membership::Options membership;
  /** @brief Options of the duty that talks to operators. */
  operations::Options operations;
  /** @brief Bounds of the traces of calls in the log. */
  balancing::TraceOptions traces;
  /** @brief Log level of the parts that are not listed. */
  std::string log_level = "info";
  /** @brief Log level for each listed part. */
  std::map<std::string, std::string> log_levels;
};

/**
 * @brief Checks an entry's settings.
 * @param document INI document with the sections entry, callers, balancing,
 * platform, operations and log.
 * @return The settings, or all mistakes.
 */
[[nodiscard]] core::Outcome<Settings, settings::Mistakes> ReadSettings(
    const settings::Document& document);

}  // namespace trefoilbend::entry

#endif  // TREFOILBEND_ENTRY_SETTINGS_H_
