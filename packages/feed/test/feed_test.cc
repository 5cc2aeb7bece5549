#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <optional>
#include <string>
#include <utility>

#include "support/loopback_network.h"
#include "trefoilbend/core/duty.h"
#include "trefoilbend/feed/duty.h"

namespace trefoilbend::feed {

namespace {

using namespace std::chrono_literals;
using platform::Position;

constexpr std::size_t kTables = 3;
constexpr std::size_t kTargets = 1;

const tests::LoopbackNetwork kNetwork;
const http::Address kReader = kNetwork.At(1, 7'661);
const http::Address kNobody = kNetwork.At(2, 7'661);

/** One entry's feed with a stand-in for its registry. */
struct End {
  End() {
    registry.Read(answers, [this](Answer&& answer) {
      received.set_value(std::move(answer));
    });
    registry.Start();
    feed.Start(answers);
  }

  ~End() {
    feed.Stop();
    registry.Stop();
  }

  void Send(ToFeed message) {
    const bool pushed = feed.RegistryInlet().TryPush(std::move(message));
    BOOST_REQUIRE(pushed);
  }

  void Learn(const std::uint64_t version) {
    Send(Learnt{
        .table = kTargets,
        .news = platform::TableChanges{
            .changes = {{.row = {.key = "servers/a",
                                 .value = std::string("\0\x01", 2),
                                 .position = Position::WithoutEra(version)},
                         .deleted = false}},
            .position = Position::WithoutEra(version)}});
  }

  std::future<Answer> Begin(const http::Address& peer,
                            const std::chrono::milliseconds wait,
                            const std::uint64_t known = 0) {
    return Begin(
        Ask{.id = AskId{7},
            .peer = peer,
            .after = {Position::WithoutEra(0), Position::WithoutEra(known),
                      Position::WithoutEra(0)},
            .wait = wait,
            .confirmed = std::chrono::steady_clock::now()});
  }

  std::future<Answer> Begin(Ask ask) {
    received = {};
    auto answer = received.get_future();
    Send(std::move(ask));
    return answer;
  }

  /** Asks for the tables before an era in which the entry knows them. */
  std::future<Answer> BeginEarlier(const http::Address& peer,
                                   const platform::Era era) {
    const Position known{era, platform::RowVersion{9}};
    return Begin(Ask{.id = AskId{7},
                     .peer = peer,
                     .after = {known, known, known},
                     .wait = 0ms,
                     .confirmed = std::chrono::steady_clock::now(),
                     .wants_earlier = true});
  }

  core::Ring<Answer> answers{16};
  core::Duty registry{"registry"};
  FeedDuty feed{kTables};
  std::promise<Answer> received;
};

/** A reader that knows one row, and an entry that listens to it. */
struct Pair {
  Pair() {
    reader.Send(Listen{kReader});
    reader.Learn(5);
    reader.Send(Confirmation{.at = std::chrono::steady_clock::now() - 100ms,
                             .store_answers = true});
    while (!Succeeds(listener.Begin(kReader, 0ms).get())) {
    }
  }

  static bool Succeeds(const Answer& answer) {
    return std::holds_alternative<Heard>(answer.result);
  }

  static Heard HeardOf(std::future<Answer> answer) {
    const Answer received = answer.get();
    BOOST_REQUIRE(Succeeds(received));
    return std::get<Heard>(received.result);
  }

  End reader;
  End listener;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(an_entry_that_asks_a_reader, Pair)

BOOST_AUTO_TEST_CASE(hears_rows_byte_for_byte_and_how_old_the_word_is) {
  const Heard heard = HeardOf(listener.Begin(kReader, 0ms));
  BOOST_REQUIRE(heard.tables.size() == 1);
  BOOST_TEST(heard.tables[0].table == kTargets);
  const auto& changes =
      std::get<platform::TableChanges>(heard.tables[0].news).changes;
  BOOST_REQUIRE(changes.size() == 1);
  BOOST_TEST(changes[0].row.value == std::string("\0\x01", 2));
  BOOST_TEST((changes[0].row.position == Position::WithoutEra(5)));
  BOOST_TEST(heard.store_answers);
  BOOST_REQUIRE(heard.confirmed.has_value());
  BOOST_TEST((std::chrono::steady_clock::now() - *heard.confirmed >= 100ms));
}

/** A listener kept a row under another key than its reader. */
BOOST_AUTO_TEST_CASE(hears_keys_whole_whatever_bytes_they_have) {
  const std::string key("servers/a\0b", 11);
  reader.Send(
      Learnt{.table = kTargets,
             .news = platform::TableChanges{
                 .changes = {{.row = {.key = key,
                                      .value = "v",
                                      .position = Position::WithoutEra(6)},
                              .deleted = false}},
                 .position = Position::WithoutEra(6)}});
  auto heard = HeardOf(listener.Begin(kReader, 0ms, 5));
  while (heard.tables.empty()) {
    heard = HeardOf(listener.Begin(kReader, 0ms, 5));
  }
  const auto& changes =
      std::get<platform::TableChanges>(heard.tables[0].news).changes;
  BOOST_TEST(changes.front().row.key == key);
}

/** DRAIN: a reader that had just started did not tell what had been deleted
 * before, and the listener kept it. */
BOOST_AUTO_TEST_CASE(gets_the_whole_table_from_one_that_has_just_read_it) {
  reader.Send(Learnt{.table = kTargets,
                     .news = platform::TableState{
                         .rows = {{.key = "servers/a",
                                   .value = "v",
                                   .position = Position::WithoutEra(5)}},
                         .position = Position::WithoutEra(20)}});
  constexpr std::chrono::seconds kLimit{4};
  const auto limit = std::chrono::steady_clock::now() + kLimit;
  Heard heard;
  while (heard.tables.empty() && std::chrono::steady_clock::now() < limit) {
    heard = HeardOf(listener.Begin(kReader, 0ms, 12));
  }
  BOOST_REQUIRE(heard.tables.size() == 1);
  const auto& state = std::get<platform::TableState>(heard.tables[0].news);
  BOOST_TEST(state.rows.size() == 1);
  BOOST_TEST((state.position == Position::WithoutEra(20)));
}

/** CONFIG: a listener took a reader's versions for those of its own era. */
BOOST_AUTO_TEST_CASE(hears_of_which_era_the_tables_are) {
  const Position later{platform::Era{2}, platform::RowVersion{3}};
  reader.Send(Learnt{
      .table = kTargets,
      .news = platform::TableState{
          .rows = {{.key = "servers/a", .value = "v", .position = later}},
          .position = later}});
  reader.Send(Confirmation{.at = std::chrono::steady_clock::now(),
                           .era = platform::Era{2},
                           .store_answers = true});
  Heard heard = HeardOf(listener.Begin(kReader, 0ms, 5));
  while (heard.tables.empty()) {
    heard = HeardOf(listener.Begin(kReader, 0ms, 5));
  }
  const auto& state = std::get<platform::TableState>(heard.tables[0].news);
  BOOST_TEST((state.position == later));
  BOOST_TEST((state.rows.front().position == later));
  while (heard.era != platform::Era{2}) {
    heard = HeardOf(listener.Begin(kReader, 0ms, 5));
  }
}

/** CONFIG: an entry that started after a return of the store served the copy,
 * though its peers knew what was lost. */
BOOST_AUTO_TEST_SUITE(and_has_found_only_a_copy_in_the_store)

BOOST_AUTO_TEST_CASE(hears_the_tables_of_a_reader_that_has_not_seen_it_yet) {
  const Heard heard = HeardOf(listener.BeginEarlier(kReader, platform::Era{2}));
  BOOST_REQUIRE(heard.earlier.has_value());
  BOOST_REQUIRE(heard.earlier->tables.size() == kTables);
  const auto& targets = heard.earlier->tables[kTargets];
  BOOST_TEST((targets.position == Position::WithoutEra(5)));
  BOOST_REQUIRE(targets.changes.size() == 1);
  BOOST_TEST(targets.changes.front().row.key == "servers/a");
  BOOST_TEST((heard.earlier->until > std::chrono::steady_clock::now()));
}

BOOST_AUTO_TEST_CASE(hears_the_tables_as_they_were_before_it) {
  const Position later{platform::Era{2}, platform::RowVersion{3}};
  for (std::size_t table = 0; table < kTables; ++table) {
    const Position before{platform::Era{1}, platform::RowVersion{7}};
    reader.Send(
        Learnt{.table = table,
               .news = platform::TableState{
                   .rows = {{.key = "lost", .value = "v", .position = before}},
                   .position = before}});
    reader.Send(
        Learnt{.table = table,
               .news = platform::TableState{.rows = {}, .position = later}});
  }
  reader.Send(Confirmation{.at = std::chrono::steady_clock::now(),
                           .era = platform::Era{2},
                           .store_answers = true});
  Heard heard = HeardOf(listener.BeginEarlier(kReader, platform::Era{2}));
  while (heard.era != platform::Era{2}) {
    heard = HeardOf(listener.BeginEarlier(kReader, platform::Era{2}));
  }
  BOOST_REQUIRE(heard.earlier.has_value());
  for (const platform::TableChanges& table : heard.earlier->tables) {
    BOOST_REQUIRE(table.changes.size() == 1);
    BOOST_TEST(table.changes.front().row.key == "lost");
  }
}

BOOST_AUTO_TEST_CASE(hears_nothing_of_the_kind_unless_it_asks_for_it) {
  BOOST_TEST(!HeardOf(listener.Begin(kReader, 0ms)).earlier.has_value());
}

BOOST_AUTO_TEST_CASE(hears_nothing_of_a_reader_that_knows_no_earlier_one) {
  BOOST_TEST(!HeardOf(listener.BeginEarlier(kReader, platform::Era{0}))
                  .earlier.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_lacks_nothing)

BOOST_AUTO_TEST_CASE(is_told_of_a_change_as_soon_as_there_is_one) {
  auto answer = listener.Begin(kReader, 5s, 5);
  BOOST_TEST((answer.wait_for(50ms) == std::future_status::timeout));
  reader.Learn(6);
  BOOST_REQUIRE((answer.wait_for(4s) == std::future_status::ready));
  const Heard heard = HeardOf(std::move(answer));
  BOOST_TEST(heard.tables.size() == 1);
}

BOOST_AUTO_TEST_CASE(is_told_at_once_that_the_store_no_longer_answers) {
  auto answer = listener.Begin(kReader, 5s, 5);
  reader.Send(Confirmation{.at = std::nullopt, .store_answers = false});
  BOOST_REQUIRE((answer.wait_for(4s) == std::future_status::ready));
  const Heard heard = HeardOf(std::move(answer));
  BOOST_TEST(!heard.store_answers);
  BOOST_TEST(!heard.confirmed.has_value());
}

BOOST_AUTO_TEST_CASE(does_not_wait_for_one_that_the_store_does_not_answer) {
  reader.Send(Confirmation{.at = std::nullopt, .store_answers = false});
  (void)listener.Begin(kReader, 0ms).get();
  auto answer = listener.Begin(kReader, 5s, 5);
  BOOST_TEST((answer.wait_for(4s) == std::future_status::ready));
}

BOOST_AUTO_TEST_CASE(is_told_when_the_store_has_confirmed_that) {
  auto answer = listener.Begin(kReader, 5s, 5);
  reader.Send(Confirmation{.at = std::chrono::steady_clock::now() + 1s,
                           .store_answers = true});
  BOOST_REQUIRE((answer.wait_for(4s) == std::future_status::ready));
  const Heard heard = HeardOf(std::move(answer));
  BOOST_TEST(heard.tables.empty());
}

BOOST_AUTO_TEST_CASE(hears_after_the_wait_that_there_is_nothing) {
  const Heard heard = HeardOf(listener.Begin(kReader, 100ms, 5));
  BOOST_TEST(heard.tables.empty());
  BOOST_TEST(heard.confirmed.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(learns_soon_that_there_is_nobody) {
  auto answer = listener.Begin(kNobody, 100ms);
  BOOST_REQUIRE((answer.wait_for(2s) == std::future_status::ready));
  BOOST_TEST(!Succeeds(answer.get()));
}

BOOST_AUTO_TEST_CASE(asks_again_after_a_failure) {
  (void)listener.Begin(kNobody, 0ms).get();
  BOOST_TEST(Succeeds(listener.Begin(kReader, 0ms).get()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::feed
