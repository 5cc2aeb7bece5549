#include "internal/feed_codec.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "trefoilbend/core/outcome.h"

namespace trefoilbend::feed::internal {

namespace {

using platform::Era;
using platform::RowVersion;

void Encode(const platform::Row& row, const bool deleted,
            wire::Row::Builder out) {
  out.setKey(kj::StringPtr(row.key.c_str(), row.key.size()));
  out.setValue(kj::arrayPtr(reinterpret_cast<const kj::byte*>(row.value.data()),
                            row.value.size()));
  out.setVersion(row.position.Version().Value());
  out.setDeleted(deleted);
}

platform::RowChange Decode(const wire::Row::Reader row, const Era era) {
  const auto value = row.getValue();
  const auto key = row.getKey();
  return {.row = {.key = std::string{key.begin(), key.size()},
                  .value = std::string{value.asChars().begin(), value.size()},
                  .position = {era, RowVersion{row.getVersion()}}},
          .deleted = row.getDeleted()};
}

void EncodeChanges(const platform::TableChanges& changes,
                   wire::Table::Builder out) {
  out.setEra(changes.position.Era().Value());
  out.setVersion(changes.position.Version().Value());
  auto rows = out.initRows(static_cast<unsigned>(changes.changes.size()));
  for (unsigned at = 0; at < rows.size(); ++at) {
    Encode(changes.changes[at].row, changes.changes[at].deleted, rows[at]);
  }
}

void EncodeState(const platform::TableState& state, wire::Table::Builder out) {
  out.setEra(state.position.Era().Value());
  out.setVersion(state.position.Version().Value());
  out.setWhole(true);
  auto rows = out.initRows(static_cast<unsigned>(state.rows.size()));
  for (unsigned at = 0; at < rows.size(); ++at) {
    Encode(state.rows[at], false, rows[at]);
  }
}

platform::TableChanges DecodeChanges(const wire::Table::Reader table) {
  const Era era{table.getEra()};
  platform::TableChanges changes{
      .changes = {}, .position = {era, RowVersion{table.getVersion()}}};
  for (const wire::Row::Reader row : table.getRows()) {
    changes.changes.push_back(Decode(row, era));
  }
  return changes;
}

TableNews Decode(const wire::Table::Reader table) {
  platform::TableChanges changes = DecodeChanges(table);
  if (!table.getWhole()) {
    return changes;
  }
  platform::TableState state{.rows = {}, .position = changes.position};
  for (platform::RowChange& change : changes.changes) {
    state.rows.push_back(std::move(change.row));
  }
  return state;
}

void Encode(const EarlierEra& earlier, const core::TimePoint now,
            wire::News::Builder news) {
  news.setEarlierLeftMs(AgeOf(now, earlier.until));
  auto tables = news.initEarlier(static_cast<unsigned>(earlier.tables.size()));
  for (unsigned at = 0; at < tables.size(); ++at) {
    tables[at].setNumber(static_cast<std::uint8_t>(at));
    EncodeChanges(earlier.tables[at], tables[at]);
  }
}

std::optional<EarlierEra> DecodeEarlier(const wire::News::Reader news,
                                        const std::size_t tables,
                                        const core::TimePoint now) {
  if (news.getEarlier().size() != tables) {
    return std::nullopt;
  }
  EarlierEra earlier{
      .tables = {},
      .until = now + std::chrono::milliseconds{news.getEarlierLeftMs()}};
  for (const wire::Table::Reader table : news.getEarlier()) {
    earlier.tables.push_back(DecodeChanges(table));
  }
  return earlier;
}

}  // namespace

std::uint32_t AgeOf(const core::TimePoint confirmed,
                    const core::TimePoint now) noexcept {
  constexpr std::chrono::milliseconds kGreatest{
      std::numeric_limits<std::uint32_t>::max()};
  const auto age =
      std::chrono::ceil<std::chrono::milliseconds>(now - confirmed);
  return static_cast<std::uint32_t>(
      std::clamp(age, std::chrono::milliseconds{0}, kGreatest).count());
}

void Encode(const Heard& heard, const core::TimePoint now,
            wire::News::Builder news) {
  news.setStoreAnswers(heard.store_answers);
  news.setEra(heard.era.Value());
  news.setKnown(heard.confirmed.has_value());
  if (heard.confirmed) {
    news.setAgeMs(AgeOf(*heard.confirmed, now));
  }
  if (heard.earlier) {
    Encode(*heard.earlier, now, news);
  }
  auto tables = news.initTables(static_cast<unsigned>(heard.tables.size()));
  for (unsigned at = 0; at < tables.size(); ++at) {
    wire::Table::Builder out = tables[at];
    out.setNumber(static_cast<std::uint8_t>(heard.tables[at].table));
    std::visit(core::Visitor{[&out](const platform::TableChanges& changes) {
                               EncodeChanges(changes, out);
                             },
                             [&out](const platform::TableState& state) {
                               EncodeState(state, out);
                             }},
               heard.tables[at].news);
  }
}

Heard Decode(const wire::News::Reader news, const std::size_t tables,
             const core::TimePoint now) {
  Heard heard{.tables = {},
              .confirmed = std::nullopt,
              .era = Era{news.getEra()},
              .store_answers = news.getStoreAnswers(),
              .earlier = DecodeEarlier(news, tables, now)};
  if (news.getKnown()) {
    heard.confirmed = now - std::chrono::milliseconds{news.getAgeMs()};
  }
  for (const wire::Table::Reader table : news.getTables()) {
    if (table.getNumber() < tables) {
      heard.tables.push_back(
          {.table = table.getNumber(), .news = Decode(table)});
    }
  }
  return heard;
}

}  // namespace trefoilbend::feed::internal
