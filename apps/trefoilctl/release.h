#ifndef TREFOILBEND_TREFOILCTL_RELEASE_H_
#define TREFOILBEND_TREFOILCTL_RELEASE_H_

#include <CLI/CLI.hpp>
#include <functional>
#include <optional>
#include <string>

#include "commands.h"
#include "requests.h"

namespace trefoilbend::ctl {

/** @brief The commands release begin, pause, resume, take-back and status. */
class ReleaseCommands {
 public:
  /** @brief Adds options to a command. */
  using AddOptions = std::function<void(CLI::App*)>;

  /**
   * @brief Adds the commands.
   * @param app Command line.
   * @param add_common Adds the options of reads.
   * @param add_change Adds the options of changes.
   */
  ReleaseCommands(CLI::App& app, const AddOptions& add_common,
                  const AddOptions& add_change);

  /** @return Whether the command line asks for one of them. */
  [[nodiscard]] bool Parsed() const { return this->release->parsed(); }

  /**
   * @brief Runs the command.
   * @param common Options that all commands share.
   * @param change Options of the change.
   * @return Exit code.
   */
  [[nodiscard]] ExitCode Run(const Common& common,
                             const ChangeOptions& change) const;

 private:
  [[nodiscard]] ExitCode Send(const Common& common, const ChangeOptions& change,
                              const std::string& action) const;

  CLI::App* release;
  std::string service;
  std::string version;
  std::string by;
};

/**
 * @brief Prints the releases with their steps.
 * @param common Options that all commands share.
 * @return Exit code.
 */
[[nodiscard]] ExitCode ShowReleases(const Common& common);

}  // namespace trefoilbend::ctl

#endif  // TREFOILBEND_TREFOILCTL_RELEASE_H_
