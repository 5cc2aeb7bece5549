#include "trefoilbend/discovery/directory.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

namespace trefoilbend::discovery {

namespace {

using namespace std::chrono_literals;
using membership::PeerState;
using platform::InstanceState;

struct Fixture {
  Fixture() {
    for (int i = 0; i < 4; ++i) {
      this->listed.push_back(
          {core::InstanceName{"entry-" + std::to_string(i)}});
    }
    this->Configure(false);
  }

  void Configure(const bool is_north_out) {
    inventory::Configuration::Builder builder;
    for (std::uint16_t i = 0; i < 4; ++i) {
      inventory::Instance entry;
      entry.name = core::InstanceName{"entry-" + std::to_string(i)};
      entry.role = inventory::Role::kEntry;
      entry.data_centre = core::DataCentreName{i < 2 ? "north" : "south"};
      entry.address = {.host = "127.0.0.1", .port = i};
      builder.Put(entry);
    }
    if (is_north_out) {
      builder.Put(inventory::Outage{core::DataCentreName{"north"}});
    }
    this->directory.Configure(
        {builder.Build(),
         std::make_shared<const std::vector<platform::ListedInstance>>(
             this->listed)});
  }

  std::vector<platform::ListedInstance> listed;
  [[nodiscard]] DirectoryAnswer Resolve(const DirectoryQuery& query) {
    return this->directory.Resolve(query, this->now);
  }

  void UpdatePeer(const std::string& name, const PeerState state) {
    this->directory.UpdatePeers({.self = kIncarnation,
                                 .peers = {{.name = core::InstanceName{name},
                                            .incarnation = core::Incarnation{7},
                                            .state = state}},
                                 .current = true});
  }

  static constexpr core::Incarnation kIncarnation{5};
  idempotency::IssueTime now{1'000s};
  Directory directory{
      {.self = core::InstanceName{"entry-2"}, .incarnation = kIncarnation}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_directory_of_entries, Fixture)

BOOST_AUTO_TEST_CASE(puts_entries_of_the_callers_data_centre_first) {
  const DirectoryAnswer answer =
      Resolve({"10.0.0.1", core::DataCentreName{"south"}});
  BOOST_REQUIRE(answer.entries.size() == 4);
  BOOST_TEST(answer.entries.at(0).port >= 2);
  BOOST_TEST(answer.entries.at(1).port >= 2);
}

BOOST_AUTO_TEST_CASE(
    spreads_callers_evenly_and_gives_each_the_same_entry_again) {
  std::map<std::uint16_t, int> first_entry_counts;
  for (int caller = 0; caller < 4'000; ++caller) {
    const DirectoryQuery query{std::to_string(caller), {}};
    const auto first = Resolve(query).entries.front();
    BOOST_REQUIRE((Resolve(query).entries.front() == first));
    ++first_entry_counts[first.port];
  }
  for (const auto& [port, count] : first_entry_counts) {
    BOOST_TEST(count > 900);
    BOOST_TEST(count < 1'100);
  }
}

BOOST_AUTO_TEST_CASE(jitters_the_time_to_live_of_an_answer) {
  const auto first = Resolve({"a", {}}).ttl;
  const auto second = Resolve({"a", {}}).ttl;
  BOOST_TEST((first >= 1s && first <= 2s));
  BOOST_TEST((first != second));
}

BOOST_AUTO_TEST_SUITE(leaves_out)

BOOST_AUTO_TEST_CASE(a_leaving_entry_and_an_unlisted_entry) {
  listed.at(0).state = InstanceState::kLeaving;
  listed.erase(listed.begin() + 1);
  Configure(false);
  BOOST_TEST(Resolve({"a", {}}).entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(itself_once_it_is_withdrawn) {
  directory.Withdraw();
  BOOST_TEST(Resolve({"a", {}}).entries.size() == 3U);
}

BOOST_AUTO_TEST_CASE(the_entries_of_a_data_centre_that_is_out) {
  Configure(true);
  BOOST_TEST(Resolve({"a", {}}).entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_peer_that_is_leaving_suspect_or_dead) {
  for (const PeerState state :
       {PeerState::kLeaving, PeerState::kSuspect, PeerState::kDead}) {
    UpdatePeer("entry-1", state);
    BOOST_TEST(Resolve({"a", {}}).entries.size() == 3U);
  }
  UpdatePeer("entry-1", PeerState::kAlive);
  BOOST_TEST(Resolve({"a", {}}).entries.size() == 4U);
}

BOOST_AUTO_TEST_CASE(itself_while_its_configuration_may_be_out_of_date) {
  directory.UpdatePeers({.self = kIncarnation, .peers = {}, .current = false});
  BOOST_TEST(Resolve({"a", {}}).entries.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(names_as_the_home_of_keys)

BOOST_AUTO_TEST_CASE(itself_while_no_incarnation_of_a_peer_is_known) {
  const DirectoryAnswer answer = Resolve({"a", {}});
  BOOST_REQUIRE(answer.home.has_value());
  BOOST_TEST(answer.home->entry == core::InstanceName{"entry-2"});
  BOOST_TEST(answer.home->incarnation == kIncarnation);
  BOOST_TEST((answer.home->issued == now));
}

BOOST_AUTO_TEST_CASE(
    the_first_entry_of_the_answer_if_its_incarnation_is_known) {
  UpdatePeer("entry-1", PeerState::kAlive);
  for (int caller = 0; caller < 100; ++caller) {
    const DirectoryAnswer answer = Resolve({std::to_string(caller), {}});
    const bool first_has_incarnation = answer.entries.front().port == 1;
    BOOST_REQUIRE(answer.home.has_value());
    BOOST_TEST(answer.home->entry.Text() ==
               (first_has_incarnation ? "entry-1" : "entry-2"));
    BOOST_TEST(answer.home->incarnation.Value() ==
               (first_has_incarnation ? 7 : 5));
  }
}

BOOST_AUTO_TEST_CASE(no_entry_once_it_is_withdrawn_and_no_other_is_known) {
  directory.Withdraw();
  BOOST_TEST(!Resolve({"a", {}}).home.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::discovery
