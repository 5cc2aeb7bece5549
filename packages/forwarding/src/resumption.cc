#include "trefoilbend/forwarding/resumption.h"

#include <charconv>
#include <string>

#include "trefoilbend/http/message.h"

namespace trefoilbend::forwarding {

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kPartialContent = 206;
constexpr std::string_view kUnit = "bytes ";

std::optional<std::uint64_t> ParseNumber(const std::string_view text) {
  std::uint64_t number{};
  const auto [end, problem] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (problem != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

bool IsStrong(const std::string_view validator) noexcept {
  return validator.size() > 2 && validator.front() == '"' &&
         validator.back() == '"';
}

}  // namespace

std::optional<ContentRange> ParseContentRange(const std::string_view value) {
  const std::size_t dash = value.find('-');
  const std::size_t slash = value.find('/');
  if (!value.starts_with(kUnit) || dash == std::string_view::npos ||
      slash == std::string_view::npos || slash < dash) {
    return std::nullopt;
  }
  const auto first =
      ParseNumber(value.substr(kUnit.size(), dash - kUnit.size()));
  const auto last = ParseNumber(value.substr(dash + 1, slash - dash - 1));
  const auto length = ParseNumber(value.substr(slash + 1));
  if (!first || !last || !length || *first > *last || *last >= *length) {
    return std::nullopt;
  }
  return ContentRange{.first = *first, .last = *last, .length = *length};
}

std::optional<ResumePoint> ResumptionOf(const core::CallRequest& request,
                                        const core::AnswerHead& head) {
  const auto validator = http::FindField(head.fields, "ETag");
  if (!request.idempotent || request.method != "GET" || head.status != kOk ||
      http::FindField(request.fields, "Range") || !validator ||
      !IsStrong(*validator)) {
    return std::nullopt;
  }
  return ResumePoint{
      .validator = std::string{*validator}, .offset = 0, .length = head.length};
}

bool Continues(const ResumePoint& point, const core::AnswerHead& head) {
  const auto validator = http::FindField(head.fields, "ETag");
  const auto range = ParseContentRange(
      http::FindField(head.fields, "Content-Range").value_or(""));
  if (head.status != kPartialContent || validator != point.validator ||
      !range) {
    return false;
  }
  const std::uint64_t rest = range->length - range->first;
  return range->first == point.offset && range->last + 1 == range->length &&
         range->length == point.length.value_or(range->length) &&
         head.length.value_or(rest) == rest;
}

}  // namespace trefoilbend::forwarding
