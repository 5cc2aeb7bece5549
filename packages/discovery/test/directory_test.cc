#include "trefoilbend/discovery/directory.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

namespace trefoilbend::discovery {

namespace {

using namespace std::chrono_literals;
using platform::InstanceState;

struct Fixture {
  Fixture() {
    for (int i = 0; i < 4; ++i) {
      this->listed.push_back(
          {core::InstanceName{"entry-" + std::to_string(i)}});
    }
    this->Configure(false);
  }

  void Configure(const bool north_out) {
    inventory::Configuration::Builder builder;
    for (std::uint16_t i = 0; i < 4; ++i) {
      inventory::Instance entry;
      entry.name = core::InstanceName{"entry-" + std::to_string(i)};
      entry.role = inventory::Role::kEntry;
      entry.data_centre = core::DataCentreName{i < 2 ? "north" : "south"};
      entry.address = {.host = "127.0.0.1", .port = i};
      builder.Put(entry);
    }
    if (north_out) {
      builder.Put(inventory::Outage{core::DataCentreName{"north"}});
    }
    this->directory.Configure(
        {builder.Build(),
         std::make_shared<const std::vector<platform::ListedInstance>>(
             this->listed)});
  }

  std::vector<platform::ListedInstance> listed;
  Directory directory{2s, 1};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_directory_of_entries, Fixture)

BOOST_AUTO_TEST_CASE(puts_near_entries_first) {
  const Answer answer =
      directory.Ask({"10.0.0.1", core::DataCentreName{"south"}});
  BOOST_REQUIRE(answer.entries.size() == 4);
  BOOST_TEST(answer.entries.at(0).port >= 2);
  BOOST_TEST(answer.entries.at(1).port >= 2);
}

BOOST_AUTO_TEST_CASE(spreads_callers_evenly_and_keeps_each_on_its_entry) {
  std::map<std::uint16_t, int> firsts;
  for (int caller = 0; caller < 4'000; ++caller) {
    const Question question{std::to_string(caller), {}};
    const auto first = directory.Ask(question).entries.front();
    BOOST_REQUIRE((directory.Ask(question).entries.front() == first));
    ++firsts[first.port];
  }
  for (const auto& [port, count] : firsts) {
    BOOST_TEST(count > 900);
    BOOST_TEST(count < 1'100);
  }
}

BOOST_AUTO_TEST_CASE(jitters_the_time_to_keep_an_answer) {
  const auto first = directory.Ask({"a", {}}).keep;
  const auto second = directory.Ask({"a", {}}).keep;
  BOOST_TEST((first >= 1s && first <= 2s));
  BOOST_TEST((first != second));
}

BOOST_AUTO_TEST_SUITE(leaves_out)

BOOST_AUTO_TEST_CASE(a_leaving_entry_and_one_that_is_not_listed) {
  listed.at(0).state = InstanceState::kLeaving;
  listed.erase(listed.begin() + 1);
  Configure(false);
  BOOST_TEST(directory.Ask({"a", {}}).entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_stopping_entry) {
  directory.Exclude(core::InstanceName{"entry-2"});
  BOOST_TEST(directory.Ask({"a", {}}).entries.size() == 3U);
}

BOOST_AUTO_TEST_CASE(the_entries_of_a_data_centre_that_is_out) {
  Configure(true);
  BOOST_TEST(directory.Ask({"a", {}}).entries.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::discovery
