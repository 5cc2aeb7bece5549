#include "trefoilbend/forwarding/fields.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <chrono>
#include <cstdint>

namespace trefoilbend::forwarding {

namespace {

template <std::size_t kCount>
bool IsOneOf(const std::array<std::string_view, kCount>& names,
             const std::string_view name) noexcept {
  return std::any_of(names.begin(), names.end(),
                     [&](const std::string_view one) {
                       return boost::beast::iequals({name.data(), name.size()},
                                                    {one.data(), one.size()});
                     });
}

}  // namespace

bool IsEntryField(const std::string_view name) noexcept {
  static constexpr std::array<std::string_view, 2> kNames{kOutcomeField,
                                                          kReasonField};
  return IsOneOf(kNames, name);
}

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
  return IsOneOf(kNames, name);
}

core::Duration KeepAliveOf(const std::string_view value) noexcept {
  static constexpr std::string_view kParameter = "timeout=";
  static constexpr int kPercentKept = 60;
  const std::size_t at = value.find(kParameter);
  if (at == std::string_view::npos) {
    return core::Duration::max();
  }
  const std::string_view number = value.substr(at + kParameter.size());
  std::int64_t seconds{};
  const auto [end, problem] =
      std::from_chars(number.data(), number.data() + number.size(), seconds);
  if (problem != std::errc{} || seconds < 0) {
    return core::Duration::max();
  }
  return std::chrono::seconds{seconds} * kPercentKept / 100;
}

}  // namespace trefoilbend::forwarding
