#include "trefoilbend/registry/change_lines.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace trefoilbend::registry {

using namespace std::chrono_literals;

namespace {

struct Fixture {
  [[nodiscard]] static inventory::Instance Target(const std::string& name,
                                                  const std::string& version) {
    inventory::Instance target;
    target.name = core::InstanceName{name};
    target.service = core::ServiceName{"stock"};
    target.version = core::VersionName{version};
    target.data_centre = core::DataCentreName{"xela"};
    return target;
  }

  [[nodiscard]] static configuration::Update With(
      const std::vector<inventory::Object>& objects,
      std::vector<platform::ListedInstance> listed = {}) {
    inventory::Configuration::Builder builder;
    for (const inventory::Object& object : objects) {
      builder.Put(object);
    }
    return {
        .configuration = builder.At(core::Revision{7}).Build(),
        .listed = std::make_shared<const std::vector<platform::ListedInstance>>(
            std::move(listed))};
  }

  core::TimePoint now{10s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(what_an_update_changes, Fixture)

BOOST_AUTO_TEST_CASE(is_told_of_targets_that_come_change_and_go) {
  const auto lines =
      ChangeLines(With({Target("a", "v1"), Target("b", "v1")}),
                  With({Target("b", "v2"), Target("c", "v1")}), now, 10);
  BOOST_REQUIRE(lines.size() == 3U);
  BOOST_TEST(lines[0].starts_with("Instance changed. target=b"));
  BOOST_TEST(lines[1].starts_with("Instance joined. target=c"));
  BOOST_TEST(lines[2].starts_with("Instance left. target=a"));
  BOOST_TEST(lines[2].ends_with("revision=7"));
}

BOOST_AUTO_TEST_CASE(is_told_of_data_centres_that_are_taken_out_and_back) {
  const inventory::Outage outage{core::DataCentreName{"xela"}};
  BOOST_TEST(ChangeLines(With({}), With({outage}), now, 10).front() ==
             "Data centre is out. data_centre=xela revision=7");
  BOOST_TEST(ChangeLines(With({outage}), With({}), now, 10).front() ==
             "Data centre is in again. data_centre=xela revision=7");
}

BOOST_AUTO_TEST_CASE(is_told_once_of_a_target_that_is_cold) {
  const std::vector<platform::ListedInstance> cold{
      {.name = core::InstanceName{"a"}, .cold_until = now + 3s}};
  BOOST_TEST(ChangeLines(With({}), With({}, cold), now, 10).front() ==
             "Target is cold. target=a left_ms=3000");
  BOOST_TEST(ChangeLines(With({}, cold), With({}, cold), now, 10).empty());
}

BOOST_AUTO_TEST_CASE(is_bounded_and_says_what_it_leaves_out) {
  std::vector<inventory::Object> targets;
  targets.reserve(30);
  for (int number = 0; number < 30; ++number) {
    targets.emplace_back(Target("t" + std::to_string(number), "v1"));
  }
  const auto lines = ChangeLines({}, With(targets), now, 10);
  BOOST_REQUIRE(lines.size() == 10U);
  BOOST_TEST(lines.back() == "Further changes. count=21");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::registry
