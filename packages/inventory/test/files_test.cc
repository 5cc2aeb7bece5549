#include "trefoilbend/inventory/files.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "trefoilbend/inventory/codec.h"

namespace trefoilbend::inventory {

namespace {

constexpr const char* kInventory = R"(
[data-centre xela]
region = west
[service stock]
version = 1
[instance stock-1]
data-centre = xela
service = stock
address = 127.0.0.1:9001
slots = 6
connections = 200
[instance entry-1]
role = entry
data-centre = xela
address = 127.0.0.1:7001
operations = 127.0.0.1:7101
)";

constexpr const char* kRules = R"(
[service stock]
timeout = 2s
[route reserve]
service = stock
path = /reserve
method = POST
[route urgent-lookup]
service = stock
path = /reserve/lookup
method = GET
urgent = yes
[release stock]
version = 1
by = 2026-12-04T18:00:00Z
)";

core::Outcome<ConfigurationPtr, settings::Mistakes> ReadText(
    const std::string& inventory, const std::string& rules) {
  return ReadFiles(
      core::ValueOf(settings::Document::Parse("inventory.ini", inventory)),
      core::ValueOf(settings::Document::Parse("rules.ini", rules)));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(an_asset_register_with_rules)

BOOST_AUTO_TEST_SUITE(when_it_is_right)

BOOST_AUTO_TEST_CASE(gives_services_with_targets_and_routes) {
  const auto outcome = ReadText(kInventory, kRules);
  BOOST_REQUIRE(core::Succeeded(outcome));
  const ConfigurationPtr& configuration = core::ValueOf(outcome);
  const ServiceView& view =
      configuration->Services().at(core::ServiceName{"stock"});
  BOOST_TEST(view.targets.size() == 1U);
  BOOST_TEST(configuration->Entries().size() == 1U);
  BOOST_TEST(!MatchRoute(view, "POST", "/reserve/7")->idempotent);
  BOOST_TEST(MatchRoute(view, "GET", "/reserve/lookup")->urgent_allowed);
  BOOST_TEST((MatchRoute(view, "GET", "/other") == nullptr));
}

BOOST_AUTO_TEST_CASE(comes_back_whole_from_its_encoding) {
  const ConfigurationPtr read = core::ValueOf(ReadText(kInventory, kRules));
  const ConfigurationPtr empty = Configuration::Builder{}.Build();
  Revised revised{.revision = core::Revision{1},
                  .change_id = "id",
                  .who = "ana",
                  .why = "first",
                  .at = "2026-12-04T10:00:00Z",
                  .by = core::InstanceName{"entry-1"},
                  .changes = Difference(*empty, *read, FileKinds())};
  const auto decoded = DecodeRevised(Encode(revised));
  BOOST_REQUIRE(decoded.has_value());
  const ConfigurationPtr again =
      Configuration::Builder{*empty}.Apply(*decoded).Build();
  BOOST_TEST((again->Objects() == read->Objects()));
  BOOST_TEST(again->Revision() == core::Revision{1});
  BOOST_TEST(Difference(*read, *again, FileKinds()).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_it_is_wrong)

BOOST_AUTO_TEST_CASE(lists_all_mistakes_at_once) {
  const auto outcome = ReadText(
      "[service stock]\nversion = 1\n[instance a]\ndata-centre = "
      "nowhere\nservice = stok\n"
      "address = here\nslots = 0\nconnections = 200\ncolour = red\n[rack 7]\nx "
      "= 1\n",
      "[route r]\nservice = nothing\npath = reserve\nmethod = TAKE\n");
  BOOST_REQUIRE(!core::Succeeded(outcome));
  BOOST_TEST(core::ProblemOf(outcome).size() == 9U);
}

BOOST_AUTO_TEST_CASE(lists_each_mistake_of_a_release) {
  const auto outcome = ReadText(
      kInventory,
      "[release stock]\nversion = 2\nby = 2026-12-04T18:00:00\nto = 2\n"
      "[release nothing]\nversion = 1\nby = 45m\n[release]\nx = 1\n");
  BOOST_REQUIRE(!core::Succeeded(outcome));
  std::set<std::string> wrong;
  for (const settings::Mistake& mistake : core::ProblemOf(outcome)) {
    wrong.insert(mistake.place + ' ' + mistake.key);
  }
  const std::set<std::string> expected{
      "section [release stock] version", "section [release stock] by",
      "section [release stock] to",      "section [release nothing] ",
      "section [release nothing] by",    "section [release] "};
  BOOST_TEST((wrong == expected));
  BOOST_TEST(!core::Succeeded(settings::Document::Parse(
      "rules.ini", "[release stock]\nversion = 1\n[release stock]\n")));
}

BOOST_AUTO_TEST_CASE(refuses_two_instances_on_one_address) {
  const auto outcome =
      ReadText(std::string{kInventory} +
                   "[instance stock-2]\ndata-centre = xela\nservice = stock\n"
                   "address = 127.0.0.1:9001\nslots = 6\nconnections = 200\n",
               kRules);
  BOOST_REQUIRE(!core::Succeeded(outcome));
  BOOST_TEST(core::ProblemOf(outcome).front().expected ==
             "an address of its own, not that of stock-1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_stored_revision)

BOOST_AUTO_TEST_CASE(is_refused_when_malformed_or_of_a_newer_format) {
  BOOST_TEST(!DecodeRevised("{").has_value());
  BOOST_TEST(!DecodeRevised(R"({"format":2})").has_value());
}

BOOST_AUTO_TEST_CASE(has_a_key_that_sorts_like_its_number) {
  BOOST_TEST(ChangeKey(core::Revision{9}) < ChangeKey(core::Revision{10}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::inventory
