#include "trefoilbend/inventory/snapshot.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>
#include <vector>

namespace trefoilbend::inventory {

namespace {

std::string Text() {
  return EncodeSnapshot(
      *Configuration::Builder{}
           .Put(DataCentre{.name = core::DataCentreName{"xela-1"},
                           .region = core::RegionName{"west"}})
           .Put(Outage{core::DataCentreName{"xela-1"}})
           .At(core::Revision{7})
           .Build());
}

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_snapshot)

BOOST_AUTO_TEST_CASE(gives_back_every_object_and_the_revision) {
  const auto read = DecodeSnapshot(Text());
  const auto* configuration = std::get_if<ConfigurationPtr>(&read);
  BOOST_REQUIRE(configuration != nullptr);
  BOOST_TEST((*configuration)->Revision() == core::Revision{7});
  BOOST_TEST((*configuration)->Objects().size() == 2U);
  BOOST_TEST((*configuration)->IsOut(core::DataCentreName{"xela-1"}));
}

BOOST_AUTO_TEST_CASE(tells_the_positions_of_its_tables_over_eras) {
  const std::vector<core::Position> sources{
      {core::Era{2}, core::RowVersion{41}},
      {core::Era{2}, core::RowVersion{7}}};
  const auto read = DecodeSnapshot(EncodeSnapshot(
      *Configuration::Builder{}.At(core::Revision{7}).From(sources).Build()));
  const auto* configuration = std::get_if<ConfigurationPtr>(&read);
  BOOST_REQUIRE(configuration != nullptr);
  BOOST_TEST(((*configuration)->Sources() == sources));
}

BOOST_AUTO_TEST_CASE(of_an_earlier_program_is_of_no_era) {
  const std::vector<core::Position> sources{
      {core::Era{0}, core::RowVersion{41}}};
  std::string text = EncodeSnapshot(
      *Configuration::Builder{}.At(core::Revision{7}).From(sources).Build());
  text = Replace(text, "\"eras\":[0],", "");
  const auto read = DecodeSnapshot(text);
  const auto* configuration = std::get_if<ConfigurationPtr>(&read);
  BOOST_REQUIRE(configuration != nullptr);
  BOOST_TEST(((*configuration)->Sources() == sources));
}

BOOST_AUTO_TEST_CASE(is_refused_when_damaged_newer_or_cut) {
  const auto problem = [](const std::string& text) {
    const auto read = DecodeSnapshot(text);
    const auto* found = std::get_if<SnapshotProblem>(&read);
    return found == nullptr ? std::string{} : std::string{ToString(*found)};
  };
  BOOST_TEST(problem(Replace(Text(), "west", "east")) ==
             "its checksum is wrong");
  BOOST_TEST(problem(Text().substr(0, 80)) == "it is malformed");
  const std::string text = Text();
  const std::size_t format = text.rfind("\"format\":1");
  std::string newer = text;
  newer.replace(format, 10, "\"format\":2");
  BOOST_TEST(problem(newer).starts_with("a newer program wrote it"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::inventory
