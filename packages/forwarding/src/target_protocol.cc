#include "trefoilbend/forwarding/target_protocol.h"

#include <algorithm>
#include <string>

#include "trefoilbend/forwarding/load_report.h"
#include "trefoilbend/http/message.h"

namespace trefoilbend::forwarding {

namespace {

constexpr std::uint16_t kOkStatus = 200;
constexpr const char* kTimeoutField = "Trefoilbend-Timeout";

}  // namespace

void OwnTargetProtocol::Prepare(const StartExchange& /*order*/,
                                const std::chrono::milliseconds left,
                                core::Fields& fields) const {
  http::SetField(fields, kTimeoutField,
                 std::to_string(std::max<std::int64_t>(left.count(), 0)));
}

AnswerKind OwnTargetProtocol::Judge(const StartExchange& /*order*/,
                                    const core::AnswerHead& head) const {
  return head.status == kRefusalStatus ? AnswerKind::kRefusal
                                       : AnswerKind::kAnswer;
}

std::optional<LoadReport> OwnTargetProtocol::LoadOf(
    const core::Fields& fields) const {
  const auto report = http::FindField(fields, kLoadField);
  return report ? ParseLoadReport(*report) : std::nullopt;
}

HealthReport OwnTargetProtocol::HealthOf(const core::AnswerHead& head) const {
  return {.healthy = head.status == kOkStatus,
          .name = {},
          .load = this->LoadOf(head.fields)};
}

}  // namespace trefoilbend::forwarding
