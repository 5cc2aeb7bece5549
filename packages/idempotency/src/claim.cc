#include "trefoilbend/idempotency/claim.h"

#include <cstdint>
#include <nlohmann/json.hpp>

#include "trefoilbend/core/outcome.h"
#include "trefoilbend/idempotency/claim_sweep.h"

namespace trefoilbend::idempotency {

namespace {

using nlohmann::json;

std::string Encode(const Home& home) {
  return json{{"entry", home.entry.Text()},
              {"incarnation", home.incarnation.Value()},
              {"issued_ms", home.issued.time_since_epoch().count()}}
      .dump();
}

ClaimStep Decode(const std::string& value) {
  const json row = json::parse(value, nullptr, false);
  if (!row.is_object() || !row.contains("entry") ||
      !row.contains("incarnation") || !row.contains("issued_ms") ||
      !row["entry"].is_string() || !row["incarnation"].is_number_integer() ||
      !row["issued_ms"].is_number_integer()) {
    return NotClaimed{};
  }
  return Home{
      .entry = core::InstanceName{row["entry"].get<std::string>()},
      .incarnation = core::Incarnation{row["incarnation"].get<std::uint64_t>()},
      .issued = IssueTime{
          std::chrono::milliseconds{row["issued_ms"].get<std::int64_t>()}}};
}

}  // namespace

std::string ClaimRow(const core::ServiceName& service,
                     const std::string& text) {
  return kClaimRows + service.Text() + '/' + text;
}

platform::Transaction MakeClaim(const std::string& row, const Home& home) {
  return {.conditions = {{.key = row, .position = platform::kAbsent}},
          .writes = {{.key = row, .value = Encode(home)}}};
}

ClaimStep Settle(const platform::TransactOutcome& outcome, const Home& home) {
  return std::visit(
      core::Visitor{
          [&](const platform::Committed&) -> ClaimStep { return home; },
          [](const platform::Conflict& conflict) -> ClaimStep {
            return conflict.rows.empty() ? ClaimStep{NotClaimed{}}
                                         : Decode(conflict.rows.front().value);
          },
          [](const platform::Unavailable& failure) -> ClaimStep {
            return failure.effect_unknown ? ClaimStep{ReadClaimBack{}}
                                          : ClaimStep{NotClaimed{}};
          }},
      outcome);
}

ClaimStep Settle(const platform::ReadOutcome& outcome) {
  const auto* found = std::get_if<platform::FoundRow>(&outcome);
  if (found == nullptr || !found->row) {
    return NotClaimed{};
  }
  return Decode(found->row->value);
}

}  // namespace trefoilbend::idempotency
