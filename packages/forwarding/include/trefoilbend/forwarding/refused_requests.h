#ifndef TREFOILBEND_FORWARDING_REFUSED_REQUESTS_H_
#define TREFOILBEND_FORWARDING_REFUSED_REQUESTS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "trefoilbend/core/number.h"

namespace trefoilbend::forwarding {

/** @brief Digest of the identity that answers to a request repeat. Two
 * identities may share one. */
using RequestDigest = core::Number<struct RequestDigestTag>;

/**
 * @brief Makes the digest of a request.
 * @param identity Identity that answers to the request repeat; empty if they
 * repeat none.
 * @return The digest.
 */
[[nodiscard]] RequestDigest DigestOf(std::string_view identity) noexcept;

/**
 * @brief Requests that a target has refused on one connection.
 *
 * A target may write a refusal twice. Once the same request is under way again
 * on the connection, nothing tells the copy from a refusal of that attempt;
 * hence the request goes over another connection.
 */
class RefusedRequests {
 public:
  /** @brief Refusals after which a connection carries nothing more. */
  static constexpr std::size_t kMost = 256;

  /**
   * @brief Takes note of a refusal.
   * @param identity Identity that the refusal repeats; empty if it repeats
   * none, so that its copy could answer any request.
   */
  void Add(std::string_view identity);

  /**
   * @brief Tells whether a request was refused.
   * @param request Digest of the request.
   * @return True also for a request whose digest is that of a refused one.
   */
  [[nodiscard]] bool Contains(RequestDigest request) const noexcept;

  /** @return Whether the connection may carry further requests. */
  [[nodiscard]] bool AllowMore() const noexcept;

 private:
  std::vector<RequestDigest> digests;
  bool any_request{};
};

}  // namespace trefoilbend::forwarding

#endif  // TREFOILBEND_FORWARDING_REFUSED_REQUESTS_H_
