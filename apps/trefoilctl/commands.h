#ifndef TREFOILBEND_TREFOILCTL_COMMANDS_H_
#define TREFOILBEND_TREFOILCTL_COMMANDS_H_

#include <chrono>
#include <string>

#include "trefoilbend/http/address.h"

namespace trefoilbend::ctl {

/** @brief Exit codes of trefoilctl. */
enum ExitCode : int {
  /** @brief The command did what it says. */
  kDone = 0,
  /** @brief The entry refused or could not be reached; nothing was changed. */
  kRefused = 1,
  /** @brief The command line or a file has mistakes; nothing was sent. */
  kMistake = 2,
  /** @brief Another operator's change came first. */
  kClash = 3,
  /** @brief The change may have taken effect, or is not in force everywhere
     yet. */
  kUnconfirmed = 4,
};

/** @brief Options that all commands share. */
struct Common {
  /** @brief Address of an entry's operations. */
  http::Address entry;
  /** @brief Whether reads print JSON. */
  bool json{};
  /** @brief Token that proves who asks for a change. */
  std::string token;
};

/** @brief Options of apply. */
struct ApplyOptions {
  /** @brief Path of the asset register. */
  std::string inventory;
  /** @brief Path of the rules. */
  std::string rules;
  /** @brief Person on whose behalf the token's operator asks; may be empty. */
  std::string who;
  /** @brief Why. */
  std::string why;
  /** @brief Identity of the change; drawn if empty. */
  std::string change_id;
  /** @brief Longest wait until the change is in force everywhere. */
  std::chrono::milliseconds wait{9'000};
};

/**
 * @brief Checks an asset register and rules without sending them.
 * @param inventory Path of the asset register.
 * @param rules Path of the rules.
 * @return Exit code.
 */
[[nodiscard]] ExitCode Check(const std::string& inventory,
                             const std::string& rules);

/**
 * @brief Puts an asset register and rules into force and waits for every entry.
 * @param common Options that all commands share.
 * @param options Options of the command.
 * @return Exit code.
 */
[[nodiscard]] ExitCode Apply(const Common& common, const ApplyOptions& options);

/**
 * @brief Shows the configuration in force on an entry.
 * @param common Options that all commands share.
 * @return Exit code.
 */
[[nodiscard]] ExitCode Show(const Common& common);

/**
 * @brief Shows an entry's revision and the entries that it knows.
 * @param common Options that all commands share.
 * @return Exit code.
 */
[[nodiscard]] ExitCode Status(const Common& common);

}  // namespace trefoilbend::ctl

#endif  // TREFOILBEND_TREFOILCTL_COMMANDS_H_
