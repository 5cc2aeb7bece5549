#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "trefoilbend/inventory/codec.h"

namespace trefoilbend::inventory {

using std::chrono::seconds;
using std::chrono::sys_seconds;

BOOST_AUTO_TEST_SUITE(a_release_in_a_revision)

BOOST_AUTO_TEST_CASE(is_read_as_it_was_written_in_every_state) {
  for (const auto state : {ReleaseState::kMoving, ReleaseState::kPaused,
                           ReleaseState::kTakenBack, ReleaseState::kDone}) {
    const Release release{
        .name = core::ServiceName{"stock"},
        .version = core::VersionName{"2"},
        .from = core::VersionName{"1"},
        .begun = sys_seconds{seconds{1'700'000'000}},
        .deadline = sys_seconds{seconds{1'700'003'600}},
        .state = state,
        .step = 3,
        .share = 200,
        .epoch = 7,
        .withdrawn = {core::VersionName{"0"}, core::VersionName{"9"}},
        .order = core::Position{core::Era{2}, core::RowVersion{41}}};
    Revised revised{.revision = core::Revision{4}, .change_id = "a"};
    revised.changes.push_back({.before = std::nullopt, .after = release});
    const auto read = DecodeRevised(Encode(revised));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->changes.front().after == std::optional<Object>{release}));
  }
}

BOOST_AUTO_TEST_CASE(of_an_earlier_program_has_withdrawn_no_version) {
  Revised revised{.revision = core::Revision{4}, .change_id = "a"};
  revised.changes.push_back({.before = std::nullopt, .after = Release{}});
  std::string text = Encode(revised);
  const std::string field = ",\"withdrawn\":[]";
  BOOST_REQUIRE(text.find(field) != std::string::npos);
  text.erase(text.find(field), field.size());
  const auto read = DecodeRevised(text);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->changes.front().after == std::optional<Object>{Release{}}));
}

BOOST_AUTO_TEST_CASE(of_another_store_names_no_order) {
  Revised revised{.revision = core::Revision{4}, .change_id = "a"};
  revised.changes.push_back({.before = std::nullopt, .after = Release{}});
  const std::string text = Encode(revised);
  BOOST_TEST(text.find("order") == std::string::npos);
  const auto read = DecodeRevised(text);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->changes.front().after == std::optional<Object>{Release{}}));
}

BOOST_AUTO_TEST_CASE(of_an_unknown_state_makes_the_revision_unreadable) {
  Revised revised{.revision = core::Revision{4}, .change_id = "a"};
  revised.changes.push_back({.before = std::nullopt, .after = Release{}});
  std::string text = Encode(revised);
  text.replace(text.find("moving"), 6, "flying");
  BOOST_TEST(!DecodeRevised(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::inventory
