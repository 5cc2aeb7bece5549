#ifndef TREFOILBEND_TREFOILCTL_DATA_CENTRE_H_
#define TREFOILBEND_TREFOILCTL_DATA_CENTRE_H_

#include <string>

#include "commands.h"
#include "requests.h"

namespace trefoilbend::ctl {

/** @brief Options of data-centre out and in. */
struct DataCentreOptions {
  /** @brief Name of the data centre. */
  std::string name;
  /** @brief Whether it is to leave. */
  bool out{};
  /** @brief Whether it is to leave though the others cannot bear the load. */
  bool force{};
  /** @brief Options of the change. */
  ChangeOptions change;
};

/**
 * @brief Takes a data centre out of service or back.
 * @param common Options that all commands share.
 * @param options Options of the command.
 * @return Exit code.
 */
[[nodiscard]] ExitCode ChangeDataCentre(const Common& common,
                                        const DataCentreOptions& options);

}  // namespace trefoilbend::ctl

#endif  // TREFOILBEND_TREFOILCTL_DATA_CENTRE_H_
