#include "trefoilbend/configuration/follower.h"

#include <boost/test/unit_test.hpp>

#include "trefoilbend/inventory/codec.h"

namespace trefoilbend::configuration {

namespace {

platform::Row RowOf(const std::uint64_t revision) {
  const inventory::Outage outage{
      core::DataCentreName{"xela-" + std::to_string(revision)}};
  const inventory::Revised revised{
      .revision = core::Revision{revision},
      .change_id = "change-" + std::to_string(revision),
      .who = "ana",
      .why = "",
      .at = "",
      .by = {},
      .changes = {{.before = std::nullopt, .after = outage}}};
  return {.key = inventory::ChangeKey(revised.revision),
          .value = inventory::Encode(revised),
          .position = platform::Position::WithoutEra(1)};
}

ChangeRequest TakeOut(const std::string& data_centre) {
  return {
      .request = {},
      .change_id = "mine",
      .who = "luis",
      .why = "",
      .changes = {{.before = std::nullopt,
                   .after =
                       inventory::Outage{core::DataCentreName{data_centre}}}},
      .based_on = std::nullopt,
      .fences = {}};
}

struct Fixture {
  Follower follower;

  [[nodiscard]] auto Prepare(const ChangeRequest& request) const {
    return this->follower.Prepare(request, "", core::InstanceName{"entry-1"});
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_follower_of_revisions, Fixture)

BOOST_AUTO_TEST_CASE(takes_them_in_order) {
  BOOST_TEST(!follower.Take({RowOf(1), RowOf(2)}).has_value());
  BOOST_TEST(follower.Current()->Revision() == core::Revision{2});
}

BOOST_AUTO_TEST_CASE(passes_over_those_that_two_readers_both_brought) {
  BOOST_TEST(!follower.Take({RowOf(1), RowOf(2)}).has_value());
  BOOST_TEST(!follower.Take({RowOf(1), RowOf(2), RowOf(3)}).has_value());
  BOOST_TEST(follower.Current()->Revision() == core::Revision{3});
  BOOST_TEST(follower.Recent().size() == 3U);
}

BOOST_AUTO_TEST_CASE(never_falls_and_takes_nothing_after_a_gap) {
  BOOST_TEST(!follower.Take({RowOf(1), RowOf(2)}).has_value());
  BOOST_TEST(follower.Take({RowOf(4)}).has_value());
  BOOST_TEST(!follower.Take({RowOf(1)}).has_value());
  BOOST_TEST(follower.Current()->Revision() == core::Revision{2});
}

BOOST_AUTO_TEST_CASE(refuses_a_row_of_a_newer_format) {
  platform::Row row = RowOf(1);
  row.value.replace(row.value.find("\"format\":1"), 10, "\"format\":2");
  BOOST_TEST(follower.Take({row}).has_value());
  BOOST_TEST(follower.Current()->Revision() == core::Revision{});
}

BOOST_AUTO_TEST_SUITE(that_prepares_a_change)

BOOST_AUTO_TEST_CASE(tells_by_whom_the_object_was_changed) {
  BOOST_TEST(!follower.Take({RowOf(1)}).has_value());
  const auto prepared = Prepare(TakeOut("xela-1"));
  const auto* clash = std::get_if<ChangeClash>(&prepared);
  BOOST_REQUIRE(clash != nullptr);
  BOOST_TEST(clash->other.who == "ana");
}

BOOST_AUTO_TEST_CASE(refuses_a_decision_that_was_based_on_an_older_revision) {
  BOOST_TEST(!follower.Take({RowOf(1)}).has_value());
  ChangeRequest request = TakeOut("xela-2");
  BOOST_TEST(std::holds_alternative<platform::Transaction>(Prepare(request)));
  request.based_on = core::Revision{};
  BOOST_TEST(std::holds_alternative<ChangeClash>(Prepare(request)));
}

BOOST_AUTO_TEST_CASE(guards_it_by_its_fences_and_its_change_id) {
  ChangeRequest request = TakeOut("xela-1");
  request.fences = {
      {.key = "lease", .position = platform::Position::WithoutEra(9)}};
  const auto prepared = Prepare(request);
  const auto* transaction = std::get_if<platform::Transaction>(&prepared);
  BOOST_REQUIRE(transaction != nullptr);
  const auto guards = [&](const std::string& key, const std::uint64_t version) {
    for (const platform::Condition& condition : transaction->conditions) {
      if (condition.key == key) {
        return condition.position == platform::Position::WithoutEra(version);
      }
    }
    return false;
  };
  BOOST_TEST(guards("lease", 9));
  BOOST_TEST(guards(inventory::ChangeIdKey("mine"), 0));
  BOOST_TEST(guards(std::string{inventory::kHeadKey}, 0));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::configuration
