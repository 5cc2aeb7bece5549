#include "trefoilbend/idempotency/key.h"

#include <charconv>
#include <cstdint>
#include <iterator>

namespace trefoilbend::idempotency {

namespace {

constexpr std::string_view kMark = "tb1.";
constexpr char kSeparator = '.';
constexpr char kEnd = '~';
constexpr int kHexadecimal = 16;

std::string ToHexadecimal(const std::uint64_t number) {
  char digits[2 * sizeof number];
  const auto [end, problem] =
      std::to_chars(std::begin(digits), std::end(digits), number, kHexadecimal);
  return {std::begin(digits), end};
}

std::optional<std::uint64_t> FromHexadecimal(const std::string_view text) {
  std::uint64_t number{};
  const auto [end, problem] = std::from_chars(
      text.data(), text.data() + text.size(), number, kHexadecimal);
  if (problem != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::string FormatPrefix(const Home& home) {
  const auto issued =
      static_cast<std::uint64_t>(home.issued.time_since_epoch().count());
  return std::string{kMark} + home.entry.Text() + kSeparator +
         ToHexadecimal(home.incarnation.Value()) + kSeparator +
         ToHexadecimal(issued) + kEnd;
}

std::optional<Home> ParseHome(std::string_view text) {
  if (!text.starts_with(kMark)) {
    return std::nullopt;
  }
  text.remove_prefix(kMark.size());
  const std::size_t end = text.find(kEnd);
  if (end == std::string_view::npos || end + 1 == text.size()) {
    return std::nullopt;
  }
  const std::string_view home = text.substr(0, end);
  const std::size_t second = home.rfind(kSeparator);
  if (second == std::string_view::npos || second == 0) {
    return std::nullopt;
  }
  const std::size_t first = home.rfind(kSeparator, second - 1);
  if (first == std::string_view::npos || first == 0) {
    return std::nullopt;
  }
  const auto incarnation =
      FromHexadecimal(home.substr(first + 1, second - first - 1));
  const auto issued = FromHexadecimal(home.substr(second + 1));
  if (!incarnation || !issued) {
    return std::nullopt;
  }
  return Home{.entry = core::InstanceName{std::string{home.substr(0, first)}},
              .incarnation = core::Incarnation{*incarnation},
              .issued = IssueTime{std::chrono::milliseconds{
                  static_cast<std::int64_t>(*issued)}}};
}

}  // namespace trefoilbend::idempotency
