#include "trefoilbend/callers/caller_protocol.h"

#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "trefoilbend/callers/refusal_text.h"
#include "trefoilbend/http/address.h"
#include "trefoilbend/idempotency/key.h"

namespace trefoilbend::callers {

namespace {

constexpr std::string_view kEntriesPath = "/v1/entries";
constexpr std::string_view kTimeoutField = "Trefoilbend-Timeout";
constexpr std::string_view kPriorityField = "Priority";
constexpr std::string_view kIdField = "X-Request-Id";

/** Urgency of RFC 9218 from 0, the most urgent, to 7. */
bool AsksForUrgency(const std::string_view priority) {
  return priority.find("u=0") != std::string_view::npos ||
         priority.find("u=1") != std::string_view::npos;
}

std::optional<std::chrono::milliseconds> TimeoutOf(
    const std::string_view text) {
  std::int64_t count{};
  const auto [end, problem] =
      std::from_chars(text.data(), text.data() + text.size(), count);
  constexpr std::int64_t kMost =
      std::chrono::milliseconds{std::chrono::hours{24}}.count();
  if (problem != std::errc{} || end != text.data() + text.size() || count < 1 ||
      count > kMost) {
    return std::nullopt;
  }
  return std::chrono::milliseconds{count};
}

}  // namespace

Wishes OwnCallerProtocol::WishesOf(const core::Fields& fields) const {
  const auto priority = http::FindField(fields, kPriorityField);
  return {
      .timeout = TimeoutOf(http::FindField(fields, kTimeoutField).value_or("")),
      .urgent = AsksForUrgency(priority.value_or("")),
      .id = std::string{http::FindField(fields, kIdField).value_or("")}};
}

http::Response OwnCallerProtocol::ToResponse(
    const core::Refusal& refusal) const {
  return callers::ToResponse(refusal);
}

std::optional<discovery::DirectoryQuery> OwnCallerProtocol::ReadQuestion(
    const std::string_view target) const {
  if (http::PathOf(target) != kEntriesPath) {
    return std::nullopt;
  }
  const auto query = http::QueryOf(target);
  const auto data_centre = query.find("data-centre");
  return discovery::DirectoryQuery{
      .caller = "",
      .data_centre = core::DataCentreName{
          data_centre == query.end() ? "" : data_centre->second}};
}

http::Response OwnCallerProtocol::ToResponse(
    const discovery::DirectoryAnswer& answer) const {
  nlohmann::json body{{"entries", nlohmann::json::array()},
                      {"keep_ms", answer.ttl.count()}};
  for (const http::Address& entry : answer.entries) {
    body["entries"].push_back(http::ToString(entry));
  }
  if (answer.home) {
    body["key_prefix"] = idempotency::FormatPrefix(*answer.home);
  }
  return {.status = 200, .fields = {}, .body = body.dump()};
}

}  // namespace trefoilbend::callers
