#ifndef TREFOILBEND_TREFOILCTL_REQUESTS_H_
#define TREFOILBEND_TREFOILCTL_REQUESTS_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "commands.h"
#include "trefoilbend/http/message.h"

namespace trefoilbend::ctl {

/** @brief Answer of an entry. */
struct Reply {
  /** @brief HTTP status. */
  std::uint16_t status{};
  /** @brief Body; discarded if it is not JSON. */
  nlohmann::json body;
};

/**
 * @brief Reads from an entry; prints why if it does not answer.
 * @param common Options that all commands share.
 * @param target Path and query.
 * @return The answer, or nothing.
 */
[[nodiscard]] std::optional<Reply> Get(const Common& common,
                                       std::string target);

/**
 * @brief Sends a change to an entry; prints why if it does not answer.
 * @param common Options that all commands share; gives the token.
 * @param target Path.
 * @param body Body of the request.
 * @return The answer, or nothing.
 */
[[nodiscard]] std::optional<Reply> Post(const Common& common,
                                        std::string target,
                                        const nlohmann::json& body);

/** @brief Options of every command that changes something. */
struct ChangeOptions {
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
 * @brief Sends a change with its identity and waits until it is in force
 * everywhere.
 * @param common Options that all commands share.
 * @param target Path.
 * @param body Body of the request without identity, who and why.
 * @param options Options of the change.
 * @return Exit code.
 */
[[nodiscard]] ExitCode Change(const Common& common, std::string target,
                              nlohmann::json body,
                              const ChangeOptions& options);

}  // namespace trefoilbend::ctl

#endif  // TREFOILBEND_TREFOILCTL_REQUESTS_H_
