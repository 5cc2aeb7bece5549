#include "internal/audit_search.h"

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <utility>
#include <variant>

#include "internal/answers.h"
#include "trefoilbend/inventory/codec.h"

namespace trefoilbend::operations::internal {

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::size_t kRowsAtOnce = 256;
constexpr std::uint64_t kMostEntries = 1'000;
constexpr std::uint64_t kEntries = 100;
constexpr int kDecimal = 10;

std::uint64_t NumberOf(const std::string& text, const std::uint64_t fallback) {
  return text.empty() ? fallback
                      : std::strtoull(text.c_str(), nullptr, kDecimal);
}

}  // namespace

AuditSearch::AuditSearch(platform::Client& platform, const std::string& target,
                         http::Respond respond)
    : platform(platform), respond(std::move(respond)) {
  auto query = http::QueryOf(target);
  this->filter = {.who = query["who"],
                  .object = query["object"],
                  .by = query["by"],
                  .change_id = query["id"],
                  .since = query["since"],
                  .until = query["until"]};
  this->after = core::Revision{NumberOf(query["after"], 0)};
  this->limit = std::min(NumberOf(query["limit"], kEntries), kMostEntries);
}

void AuditSearch::Read() {
  this->platform.ReadRange(
      std::string{inventory::kChangePrefix}, inventory::ChangeKey(this->after),
      kRowsAtOnce,
      [self = this->shared_from_this()](const platform::RangeOutcome& outcome) {
        if (const auto* failure =
                std::get_if<platform::Unavailable>(&outcome)) {
          self->respond(Problem(kUnavailable,
                                "The platform, which keeps the audit trail, "
                                "cannot be read (" +
                                    failure->message +
                                    "). Repeat the command later."));
          return;
        }
        self->Take(std::get<0>(outcome));
      });
}

void AuditSearch::Take(const std::vector<platform::Row>& rows) {
  for (const platform::Row& row : rows) {
    const auto revised = inventory::DecodeRevised(row.value);
    if (!revised || this->found.size() >= this->limit) {
      break;
    }
    this->after = revised->revision;
    if (this->filter.Matches(*revised)) {
      this->found.push_back(nlohmann::json::parse(row.value));
    }
  }
  const bool ended = rows.size() < kRowsAtOnce ||
                     inventory::ChangeKey(this->after) != rows.back().key;
  if (!ended) {
    this->Read();
    return;
  }
  this->respond(Answer(kOk, {{"entries", std::move(this->found)},
                             {"after", this->after.Value()}}));
}

}  // namespace trefoilbend::operations::internal
