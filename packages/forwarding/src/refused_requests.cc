#include "trefoilbend/forwarding/refused_requests.h"

#include <algorithm>
#include <functional>

namespace trefoilbend::forwarding {

RequestDigest DigestOf(const std::string_view identity) noexcept {
  return RequestDigest{std::hash<std::string_view>{}(identity)};
}

void RefusedRequests::Add(const std::string_view identity) {
  if (identity.empty()) {
    this->any_request = true;
    return;
  }
  this->digests.push_back(DigestOf(identity));
}

bool RefusedRequests::Contains(const RequestDigest request) const noexcept {
  return this->any_request ||
         std::find(this->digests.begin(), this->digests.end(), request) !=
             this->digests.end();
}

bool RefusedRequests::AllowMore() const noexcept {
  return !this->any_request && this->digests.size() < kMost;
}

}  // namespace trefoilbend::forwarding
