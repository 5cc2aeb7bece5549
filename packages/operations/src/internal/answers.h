#ifndef TREFOILBEND_OPERATIONS_INTERNAL_ANSWERS_H_
#define TREFOILBEND_OPERATIONS_INTERNAL_ANSWERS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/http/message.h"
#include "trefoilbend/membership/messages.h"
#include "trefoilbend/settings/mistake.h"

namespace trefoilbend::operations::internal {

/**
 * @brief Makes an answer to an operator.
 * @param status HTTP status.
 * @param body Body of the answer.
 * @return The answer.
 */
[[nodiscard]] http::Response Answer(std::uint16_t status,
                                    const nlohmann::json& body);

/**
 * @brief Makes an answer that refuses a command.
 * @param status HTTP status.
 * @param message Reason, and what to do.
 * @return The answer.
 */
[[nodiscard]] http::Response Problem(std::uint16_t status,
                                     const std::string& message);

/**
 * @brief Encodes mistakes as lines for a person.
 * @param mistakes Mistakes of a file.
 * @return One string for each.
 */
[[nodiscard]] nlohmann::json ToJson(const settings::Mistakes& mistakes);

/**
 * @brief Encodes what an entry knows of its peers.
 * @param peers Peers of the entry.
 * @return One object for each.
 */
[[nodiscard]] nlohmann::json ToJson(const std::vector<membership::Peer>& peers);

/**
 * @brief Answers the operator whose change was accepted.
 * @param accepted Result of the change.
 * @return The answer.
 */
[[nodiscard]] http::Response ToResponse(
    const configuration::ChangeAccepted& accepted);

/**
 * @brief Tells an operator which change came first.
 * @param clash Result of the change.
 * @return The answer.
 */
[[nodiscard]] http::Response ToResponse(
    const configuration::ChangeClash& clash);

/**
 * @brief Tells an operator why a change was not taken.
 * @param refused Result of the change.
 * @return The answer.
 */
[[nodiscard]] http::Response ToResponse(
    const configuration::ChangeRefused& refused);

}  // namespace trefoilbend::operations::internal

#endif  // TREFOILBEND_OPERATIONS_INTERNAL_ANSWERS_H_
