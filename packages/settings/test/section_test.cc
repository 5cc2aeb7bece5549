#include "trefoilbend/settings/section.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace trefoilbend::settings {

using namespace std::chrono_literals;

namespace {

struct Reading {
  Document::Entries entries;
  Mistakes mistakes;
  Section section{"entry.ini", "callers", this->entries, this->mistakes};

  explicit Reading(Document::Entries entries) : entries(std::move(entries)) {}
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_section)

BOOST_AUTO_TEST_SUITE(with_a_time)

BOOST_AUTO_TEST_CASE(reads_each_unit) {
  Reading reading{{{"a", "250ms"}, {"b", "3 s"}, {"c", "2min"}, {"d", "7us"}}};
  const Range<std::chrono::microseconds> range{1us, 1h};
  BOOST_TEST((reading.section.Time("a", range) == 250ms));
  BOOST_TEST((reading.section.Time("b", range) == 3s));
  BOOST_TEST((reading.section.Time("c", range) == 2min));
  BOOST_TEST((reading.section.Time("d", range) == 7us));
  BOOST_TEST(reading.mistakes.empty());
}

/** The users' platform writes times as 1500ms or 2.5s. */
BOOST_AUTO_TEST_CASE(reads_decimals) {
  Reading reading{{{"a", "2.5s"}, {"b", "0.25 ms"}, {"c", "1.s"}}};
  const Range<std::chrono::microseconds> range{1us, 1h};
  BOOST_TEST((reading.section.Time("a", range) == 2'500ms));
  BOOST_TEST((reading.section.Time("b", range) == 250us));
  BOOST_TEST((reading.section.OptionalTime("none", range) == std::nullopt));
  BOOST_TEST(reading.mistakes.empty());
  (void)reading.section.Time("c", range);
  BOOST_TEST(reading.mistakes.size() == 1);
}

BOOST_AUTO_TEST_CASE(refuses_a_missing_unit_and_names_the_place) {
  Reading reading{{{"timeout", "250"}}};
  BOOST_TEST((reading.section.Time("timeout", {1ms, 1min}, 2s) == 2s));
  BOOST_REQUIRE(reading.mistakes.size() == 1);
  BOOST_TEST(ToString(reading.mistakes.front()) ==
             "entry.ini: section [callers], key timeout: expected a time with "
             "its unit "
             "(us, ms, s, min, h) from 1 ms to 1 min");
}

BOOST_AUTO_TEST_CASE(refuses_one_out_of_range) {
  Reading reading{{{"timeout", "2h"}}};
  (void)reading.section.Time("timeout", {1ms, 1min}, 2s);
  BOOST_TEST(reading.mistakes.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_number)

BOOST_AUTO_TEST_CASE(refuses_text_and_numbers_out_of_range) {
  Reading reading{
      {{"a", "many"}, {"b", "11"}, {"c", "5x"}, {"d", "-1"}, {"e", "5.0"}}};
  for (const char* key : {"a", "b", "c", "d", "e"}) {
    (void)reading.section.Integer(key, {1, 10});
  }
  BOOST_TEST(reading.mistakes.size() == 5U);
}

BOOST_AUTO_TEST_CASE(takes_decimals_where_they_make_sense) {
  Reading reading{{{"share", "0.2"}, {"bad", "0,2"}, {"far", "7.5"}}};
  BOOST_TEST(reading.section.Decimal("share", {0.1, 4}, 1) == 0.2);
  BOOST_TEST(reading.section.Decimal("missing", {0.1, 4}, 1) == 1);
  (void)reading.section.Decimal("bad", {0.1, 4}, 1);
  (void)reading.section.Decimal("far", {0.1, 4}, 1);
  BOOST_TEST(reading.mistakes.size() == 2U);
}

BOOST_AUTO_TEST_CASE(tells_that_a_required_key_is_missing) {
  Reading reading{{}};
  (void)reading.section.Integer("slots", {1, 10});
  BOOST_REQUIRE(reading.mistakes.size() == 1);
  BOOST_TEST(reading.mistakes.front().expected ==
             "a whole number from 1 to 10, but the key is missing");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_all_known_keys_are_read)

BOOST_AUTO_TEST_CASE(refuses_the_others) {
  Reading reading{{{"known", "x"}, {"unknown", "y"}}};
  (void)reading.section.Text("known");
  reading.section.RefuseOtherKeys();
  BOOST_REQUIRE(reading.mistakes.size() == 1);
  BOOST_TEST(reading.mistakes.front().key == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_document)

BOOST_AUTO_TEST_CASE(tells_the_line_that_is_not_ini) {
  const auto outcome =
      Document::Parse("entry.ini", "[callers]\nno equals sign\n");
  BOOST_REQUIRE(!core::Succeeded(outcome));
  BOOST_TEST(core::ProblemOf(outcome).front().place == "line 2");
}

BOOST_AUTO_TEST_CASE(lets_a_flag_replace_a_value) {
  auto document =
      core::ValueOf(Document::Parse("entry.ini", "[entry]\nname=a\n"));
  document.Set("entry", "name", "b");
  BOOST_TEST(document.Sections().front().second.front().second == "b");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::settings
