#ifndef TREFOILBEND_REGISTRY_CHANGE_LINES_H_
#define TREFOILBEND_REGISTRY_CHANGE_LINES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/clock.h"

namespace trefoilbend::registry {

/**
 * @brief Tells for the log what an update changes in what this entry believes
 * of targets, entries, outages and releases.
 * @param before Update that was in force; without a configuration for none.
 * @param after Update that takes its place.
 * @param now Current time, from which cold times count.
 * @param most Greatest number of lines; the last one counts what is left out.
 * @return A line a change.
 */
[[nodiscard]] std::vector<std::string> ChangeLines(
    const configuration::Update& before, const configuration::Update& after,
    core::TimePoint now, std::size_t most);

}  // namespace trefoilbend::registry

#endif  // TREFOILBEND_REGISTRY_CHANGE_LINES_H_
