#ifndef TREFOILBEND_INVENTORY_FILES_H_
#define TREFOILBEND_INVENTORY_FILES_H_

#include "trefoilbend/core/outcome.h"
#include "trefoilbend/inventory/configuration.h"
#include "trefoilbend/settings/document.h"
#include "trefoilbend/settings/mistake.h"

namespace trefoilbend::inventory {

/** @brief Kinds of objects that the files define. */
[[nodiscard]] const std::vector<Kind>& FileKinds();

/**
 * @brief Reads the asset register and the rules.
 * @param inventory Asset register: sections [data-centre NAME], [service NAME],
 * [instance NAME].
 * @param rules Rules: sections [service NAME], [route NAME] and [release
 * SERVICE].
 * @return The configuration at revision 0, or all mistakes.
 */
[[nodiscard]] core::Outcome<ConfigurationPtr, settings::Mistakes> ReadFiles(
    const settings::Document& inventory, const settings::Document& rules);

}  // namespace trefoilbend::inventory

#endif  // TREFOILBEND_INVENTORY_FILES_H_
