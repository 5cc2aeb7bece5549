#include "trefoilbend/idempotency/digest.h"

#include <xxhash.h>

#include <array>
#include <string>

namespace trefoilbend::idempotency {

RequestDigest DigestOf(const core::CallRequest& request) {
  const std::array<const std::string*, 4> parts{
      &request.service.Text(), &request.method, &request.path, &request.body};
  XXH128_hash_t hash{};
  for (const std::string* part : parts) {
    const XXH64_hash_t seed = hash.low64 ^ (hash.high64 << 1U) ^ part->size();
    hash = XXH3_128bits_withSeed(part->data(), part->size(), seed);
  }
  return {.low = hash.low64, .high = hash.high64};
}

}  // namespace trefoilbend::idempotency
