#include "trefoilbend/callers/refusal_text.h"

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "trefoilbend/forwarding/fields.h"

namespace trefoilbend::callers {

namespace {

struct ReasonText {
  std::uint16_t status;
  std::string_view title;
};

const ReasonText& TextOf(const core::RefusalReason reason) noexcept {
  static constexpr std::array<ReasonText, 13> kTexts{
      {{404, "The Host field names no service."},
       {503, "No target of the service may take calls."},
       {503, "The service has no room for the call."},
       {504, "The deadline passed."},
       {502, "The target failed."},
       {503, "This entry is stopping."},
       {503, "This entry has no current configuration."},
       {422, "The key came before with another request."},
       {409, "The key's home no longer remembers it."},
       {409, "The key was issued in the future."},
       {409, "The request ran; its answer was not kept."},
       {503, "The key's home cannot be reached."},
       {503, "The platform did not record the key."}}};
  return kTexts.at(static_cast<std::size_t>(reason));
}

}  // namespace

http::Response ToResponse(const core::Refusal& refusal) {
  const ReasonText& text = TextOf(refusal.reason);
  const std::string outcome =
      refusal.run == core::RunState::kNotRun ? "not-run" : "unknown";
  http::Response response{
      .status = text.status,
      .content_type = "application/problem+json",
      .fields = {{std::string{forwarding::kOutcomeField}, outcome},
                 {std::string{forwarding::kReasonField},
                  std::string{core::ToString(refusal.reason)}}},
      .body = nlohmann::json{{"title", text.title},
                             {"outcome", outcome},
                             {"reason", core::ToString(refusal.reason)}}
                  .dump()};
  if (refusal.retry_after.count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(refusal.retry_after);
    response.fields.emplace_back("Retry-After",
                                 std::to_string(seconds.count()));
  }
  return response;
}

}  // namespace trefoilbend::callers
