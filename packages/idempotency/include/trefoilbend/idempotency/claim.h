#ifndef TREFOILBEND_IDEMPOTENCY_CLAIM_H_
#define TREFOILBEND_IDEMPOTENCY_CLAIM_H_

#include <optional>
#include <string>
#include <variant>

#include "trefoilbend/core/name.h"
#include "trefoilbend/idempotency/key.h"
#include "trefoilbend/platform/messages.h"

namespace trefoilbend::idempotency {

/** @brief The claim's answer was lost: the row has to be read. */
struct ReadClaimBack {};

/** @brief The platform did not tell who holds the key. */
struct NotClaimed {};

/** @brief What a claim has come to. */
using ClaimStep = std::variant<NotClaimed, ReadClaimBack, Home>;

/**
 * @brief Returns the row that holds the home of a key without a prefix.
 * @param service Service of the request.
 * @param text Text of the key.
 * @return Key of the row.
 */
[[nodiscard]] std::string ClaimRow(const core::ServiceName& service,
                                   const std::string& text);

/**
 * @brief Prepares the claim of a key: a row that must not exist yet.
 * @param row Key of the row.
 * @param home Process that claims the key.
 * @return The transaction.
 */
[[nodiscard]] platform::Transaction MakeClaim(const std::string& row,
                                              const Home& home);

/**
 * @brief Reads the result of a claim.
 * @param outcome Result of the transaction.
 * @param home Process that claimed the key.
 * @return The key's home, or what to do.
 */
[[nodiscard]] ClaimStep Settle(const platform::TransactOutcome& outcome,
                               const Home& home);

/**
 * @brief Reads the row of a claim whose answer was lost.
 * @param outcome Result of the reading.
 * @return The key's home, or NotClaimed.
 */
[[nodiscard]] ClaimStep Settle(const platform::ReadOutcome& outcome);

}  // namespace trefoilbend::idempotency

#endif  // TREFOILBEND_IDEMPOTENCY_CLAIM_H_
