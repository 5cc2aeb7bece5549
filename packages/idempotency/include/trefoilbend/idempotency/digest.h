#ifndef TREFOILBEND_IDEMPOTENCY_DIGEST_H_
#define TREFOILBEND_IDEMPOTENCY_DIGEST_H_

#include <cstdint>

#include "trefoilbend/core/call.h"

namespace trefoilbend::idempotency {

/** @brief Fingerprint that tells whether a repeated key comes with the same
 * request. */
struct RequestDigest {
  /** @brief Lower half of the 128-bit hash. */
  std::uint64_t low{};
  /** @brief Upper half of the 128-bit hash. */
  std::uint64_t high{};

  [[nodiscard]] bool operator==(const RequestDigest&) const = default;
};

/**
 * @brief Computes the fingerprint of a request (XXH3, 128 bits).
 * @param request Request whose service, method, path and body count.
 * @return The fingerprint.
 */
[[nodiscard]] RequestDigest DigestOf(const core::CallRequest& request);

}  // namespace trefoilbend::idempotency

#endif  // TREFOILBEND_IDEMPOTENCY_DIGEST_H_
