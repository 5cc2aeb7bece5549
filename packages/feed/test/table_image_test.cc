#include "trefoilbend/feed/table_image.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace trefoilbend::feed {

namespace {

using platform::Position;
using platform::Row;

Row MakeRow(const std::string& key, const std::uint64_t version) {
  return {.key = key,
          .value = key + std::to_string(version),
          .position = Position::WithoutEra(version)};
}

platform::TableChanges Deleted(const std::string& key,
                               const std::uint64_t version) {
  return {.changes = {{.row = {.key = key,
                               .value = "",
                               .position = Position::WithoutEra(version)},
                       .deleted = true}},
          .position = Position::WithoutEra(version)};
}

/** Keys of changes in their order, deleted ones with a minus. */
std::vector<std::string> KeysOf(const TableNews& news) {
  std::vector<std::string> keys;
  for (const auto& change : std::get<platform::TableChanges>(news).changes) {
    keys.push_back((change.deleted ? "-" : "") + change.row.key);
  }
  return keys;
}

/** Keys of a whole table in their order. */
std::vector<std::string> WholeKeysOf(const TableNews& news) {
  std::vector<std::string> keys;
  for (const Row& row : std::get<platform::TableState>(news).rows) {
    keys.push_back(row.key);
  }
  return keys;
}

platform::RowChange Added(const std::string& key, const std::uint64_t version) {
  return {.row = MakeRow(key, version), .deleted = false};
}

Position InEra(const std::uint64_t era, const std::uint64_t version) {
  return {platform::Era{era}, platform::RowVersion{version}};
}

/** An image that has read the table as of version 4 and watched it since. */
struct WithThreeRows {
  WithThreeRows() {
    image.Take(platform::TableState{.rows = {MakeRow("a", 3)},
                                    .position = Position::WithoutEra(4)});
    image.Take(platform::TableChanges{.changes = {Added("c", 5), Added("b", 9)},
                                      .position = Position::WithoutEra(10)});
  }

  TableImage image{2};
};

using Keys = std::vector<std::string>;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(an_image_of_a_table_with_three_rows, WithThreeRows)

BOOST_AUTO_TEST_SUITE(when_a_peer_asks)

BOOST_AUTO_TEST_CASE(gives_one_that_knows_nothing_the_whole_table) {
  BOOST_TEST(WholeKeysOf(image.After(Position::WithoutEra(0))) ==
             (Keys{"a", "b", "c"}));
}

BOOST_AUTO_TEST_CASE(tells_one_that_knows_what_was_read_the_rows_since) {
  BOOST_TEST(KeysOf(image.After(Position::WithoutEra(4))) == (Keys{"c", "b"}));
}

BOOST_AUTO_TEST_CASE(tells_one_that_lags_only_what_it_lacks) {
  BOOST_TEST(KeysOf(image.After(Position::WithoutEra(5))) == Keys{"b"});
}

BOOST_AUTO_TEST_CASE(tells_one_that_is_ahead_nothing) {
  BOOST_TEST(!image.HasNews(Position::WithoutEra(12)));
  BOOST_TEST(KeysOf(image.After(Position::WithoutEra(12))).empty());
}

BOOST_AUTO_TEST_CASE(tells_up_to_which_version_it_knows_the_table) {
  const TableNews news = image.After(Position::WithoutEra(9));
  BOOST_TEST((std::get<platform::TableChanges>(news).position ==
              Position::WithoutEra(10)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_row_is_deleted)

BOOST_AUTO_TEST_CASE(tells_it_to_those_that_may_have_the_row) {
  image.Take(Deleted("c", 14));
  BOOST_TEST(image.HasNews(Position::WithoutEra(13)));
  BOOST_TEST(KeysOf(image.After(Position::WithoutEra(10))) == Keys{"-c"});
}

BOOST_AUTO_TEST_CASE(tells_it_before_the_row_that_takes_its_place) {
  image.Take(Deleted("c", 14));
  image.Take(platform::TableChanges{
      .changes = {{.row = MakeRow("c", 15), .deleted = false}},
      .position = Position::WithoutEra(15)});
  BOOST_TEST(KeysOf(image.After(Position::WithoutEra(10))) ==
             (Keys{"-c", "c"}));
}

BOOST_AUTO_TEST_CASE(gives_the_whole_table_once_it_has_forgotten_deletions) {
  for (const char* key : {"a", "b", "c"}) {
    image.Take(Deleted(key, image.Known().Version().Value() + 1));
  }
  BOOST_TEST(std::holds_alternative<platform::TableState>(
      image.After(Position::WithoutEra(10))));
  BOOST_TEST(std::holds_alternative<platform::TableChanges>(
      image.After(Position::WithoutEra(11))));
}

BOOST_AUTO_TEST_SUITE_END()

/** DRAIN: entries went on sending to targets whose rows were deleted before a
 * restarted reader read the table, since it told them no such deletion. */
BOOST_AUTO_TEST_SUITE(when_it_has_read_the_whole_table_anew)

BOOST_AUTO_TEST_CASE(gives_it_to_one_that_may_have_rows_it_never_knew) {
  TableImage fresh{2};
  fresh.Take(platform::TableState{.rows = {MakeRow("a", 5), MakeRow("c", 18)},
                                  .position = Position::WithoutEra(20)});
  BOOST_TEST(WholeKeysOf(fresh.After(Position::WithoutEra(12))) ==
             (Keys{"a", "c"}));
}

BOOST_AUTO_TEST_CASE(gives_it_also_to_one_that_knows_its_newest_row) {
  TableImage fresh{2};
  fresh.Take(platform::TableState{.rows = {MakeRow("a", 5)},
                                  .position = Position::WithoutEra(20)});
  BOOST_TEST(fresh.HasNews(Position::WithoutEra(19)));
  BOOST_TEST(WholeKeysOf(fresh.After(Position::WithoutEra(19))) == Keys{"a"});
}

BOOST_AUTO_TEST_CASE(notices_the_rows_that_are_gone) {
  image.Take(platform::TableState{.rows = {MakeRow("a", 3), MakeRow("b", 9)},
                                  .position = Position::WithoutEra(20)});
  BOOST_TEST(image.HasNews(Position::WithoutEra(10)));
  BOOST_TEST(WholeKeysOf(image.After(Position::WithoutEra(10))) ==
             (Keys{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(gives_it_to_one_that_knows_rows_added_and_deleted_since) {
  image.Take(platform::TableState{.rows = {MakeRow("a", 3), MakeRow("b", 9)},
                                  .position = Position::WithoutEra(20)});
  BOOST_TEST(WholeKeysOf(image.After(Position::WithoutEra(12))) ==
             (Keys{"a", "b"}));
}

BOOST_AUTO_TEST_CASE(tells_one_that_knows_what_was_read_only_what_it_lacks) {
  image.Take(platform::TableState{.rows = {MakeRow("a", 3), MakeRow("b", 9)},
                                  .position = Position::WithoutEra(20)});
  BOOST_TEST(!image.HasNews(Position::WithoutEra(20)));
  image.Take(Deleted("b", 21));
  BOOST_TEST(KeysOf(image.After(Position::WithoutEra(20))) == Keys{"-b"});
}

BOOST_AUTO_TEST_SUITE_END()

/** CONFIG, EVAC: readers told peers of changes by versions that the store had
 * given out in the era before (review/13, review/14). */
BOOST_AUTO_TEST_SUITE(when_the_store_has_come_back_from_an_older_copy)

BOOST_AUTO_TEST_CASE(takes_the_whole_table_though_its_version_is_lower) {
  image.Take(
      platform::TableState{.rows = {MakeRow("a", 3)}, .position = InEra(1, 6)});
  BOOST_TEST((image.Known() == InEra(1, 6)));
  BOOST_TEST(WholeKeysOf(image.After(InEra(0, 10))) == Keys{"a"});
}

BOOST_AUTO_TEST_CASE(gives_it_to_one_of_the_era_before_whatever_its_version) {
  image.Take(
      platform::TableState{.rows = {MakeRow("a", 3)}, .position = InEra(1, 6)});
  BOOST_TEST(image.HasNews(InEra(0, 6)));
  BOOST_TEST(image.HasNews(InEra(0, 99)));
  BOOST_TEST(!image.HasNews(InEra(1, 6)));
}

BOOST_AUTO_TEST_CASE(tells_one_of_a_later_era_nothing) {
  BOOST_TEST(!image.HasNews(InEra(1, 1)));
}

BOOST_AUTO_TEST_CASE(takes_no_changes_without_the_whole_table) {
  image.Take(platform::TableChanges{.changes = {Added("d", 11)},
                                    .position = InEra(1, 11)});
  BOOST_TEST((image.Known() == Position::WithoutEra(10)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_it_hears_what_is_older)

BOOST_AUTO_TEST_CASE(keeps_a_table_that_is_newer_than_a_stale_read) {
  image.Take(
      platform::TableState{.rows = {}, .position = Position::WithoutEra(8)});
  BOOST_TEST(WholeKeysOf(image.After(Position::WithoutEra(0))).size() == 3);
}

BOOST_AUTO_TEST_CASE(keeps_a_row_that_is_newer_than_a_repeated_change) {
  image.Take(platform::TableChanges{
      .changes = {{.row = MakeRow("b", 4), .deleted = false}},
      .position = Position::WithoutEra(10)});
  BOOST_TEST(KeysOf(image.After(Position::WithoutEra(5))) == Keys{"b"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::feed
