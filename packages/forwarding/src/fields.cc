#include "trefoilbend/forwarding/fields.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

namespace trefoilbend::forwarding {

bool IsHopByHop(const std::string_view name) noexcept {
  static constexpr std::array<std::string_view, 10> kNames{
      "connection",
      "keep-alive",
      "proxy-connection",
      "proxy-authenticate",
      "proxy-authorization",
      "te",
      "trailer",
      "transfer-encoding",
      "upgrade",
      "content-length"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&](const std::string_view hop) {
                       return boost::beast::iequals({name.data(), name.size()},
                                                    {hop.data(), hop.size()});
                     });
}

}  // namespace trefoilbend::forwarding
