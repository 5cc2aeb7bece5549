#include "trefoilbend/membership/member_table.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <string>

namespace trefoilbend::membership {

namespace {

using namespace std::chrono_literals;

inventory::ConfigurationPtr Entries(const std::size_t count,
                                    const std::uint64_t revision) {
  inventory::Configuration::Builder builder;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string host =
        std::to_string(i / 250) + '.' + std::to_string(i % 250 + 1);
    builder.Put(inventory::Instance{
        .name = core::InstanceName{"entry-" + std::to_string(i)},
        .role = inventory::Role::kEntry,
        .peers = http::Address{.host = "10.0." + host, .port = 7201}});
  }
  return builder.At(core::Revision{revision}).Build();
}

/** Tables of a fleet that exchange rows without a network. */
struct Fleet {
  explicit Fleet(const std::size_t count, const std::size_t seed = 1) {
    const auto configuration = Entries(count, 1);
    for (std::size_t i = 0; i < count; ++i) {
      this->tables.emplace_back(
          core::InstanceName{"entry-" + std::to_string(i)},
          core::Incarnation{1}, MembershipLimits{}, i + seed);
      this->tables.back().Configure(configuration, this->clock.Now());
    }
  }

  [[nodiscard]] std::size_t IndexOf(const http::Address& address) const {
    for (std::size_t i = 0; i < this->tables.size(); ++i) {
      if (this->tables[i].OwnAddress() == address) {
        return i;
      }
    }
    return 0;
  }

  /** Runs rounds; can tells whether a message from one to another arrives. */
  void Run(const int rounds,
           const std::function<bool(std::size_t, std::size_t)>& can) {
    for (int round = 0; round < rounds; ++round) {
      this->clock.Advance(500ms);
      for (std::size_t from = 0; from < this->tables.size(); ++from) {
        MemberTable& table = this->tables[from];
        table.Beat();
        for (const http::Address& peer :
             table.ChoosePeers(MembershipLimits{}.peers, this->clock.Now())) {
          const std::size_t to = this->IndexOf(peer);
          if (!can(from, to)) {
            continue;
          }
          const core::TimePoint now = this->clock.Now();
          this->tables[to].Hear(table.Tell(now), now);
          if (can(to, from)) {
            table.HearAnswer(this->tables[to].Tell(now), now, now);
          }
        }
      }
    }
  }

  [[nodiscard]] View Observe(const std::size_t index) const {
    return this->tables[index].Observe(this->clock.Now());
  }

  [[nodiscard]] std::size_t Count(const std::size_t index,
                                  const PeerState state) const {
    const View view = this->Observe(index);
    return static_cast<std::size_t>(
        std::count_if(view.peers.begin(), view.peers.end(),
                      [&](const Peer& peer) { return peer.state == state; }));
  }

  core::ManualClock clock;
  std::deque<MemberTable> tables;
};

bool Always(std::size_t /*from*/, std::size_t /*to*/) { return true; }

auto Without(const std::size_t cut) {
  return [cut](const std::size_t from, const std::size_t to) {
    return from != cut && to != cut;
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(a_fleet_of_nineteen_tables)

BOOST_AUTO_TEST_CASE(knows_every_peer_alive_and_is_current_without_a_platform) {
  Fleet fleet{19};
  fleet.Run(40, Always);
  for (std::size_t i = 0; i < 19; ++i) {
    BOOST_TEST(fleet.Count(i, PeerState::kAlive) == 18U);
    BOOST_TEST(fleet.Observe(i).current);
  }
}

BOOST_AUTO_TEST_SUITE(with_one_that_is_cut_off)

BOOST_AUTO_TEST_CASE(suspects_it_before_taking_it_for_dead) {
  Fleet fleet{19};
  fleet.Run(40, Always);
  fleet.Run(14, Without(3));
  BOOST_TEST(fleet.Count(0, PeerState::kSuspect) == 1U);
  fleet.Run(12, Without(3));
  BOOST_TEST(fleet.Count(0, PeerState::kDead) == 1U);
  BOOST_TEST(fleet.Observe(0).current);
}

BOOST_AUTO_TEST_CASE(lets_it_know_within_five_seconds_that_it_is_not_current) {
  Fleet fleet{19};
  fleet.Run(40, Always);
  fleet.Run(10, Without(3));
  BOOST_TEST(!fleet.Observe(3).current);
  fleet.tables[3].NotePlatform(fleet.clock.Now());
  BOOST_TEST(fleet.Observe(3).current);
}

BOOST_AUTO_TEST_CASE(needs_its_peers_word_once_the_platforms_is_old) {
  Fleet fleet{3};
  MemberTable& table = fleet.tables[0];
  BOOST_TEST(!table.HasFreshPlatform(fleet.clock.Now()));
  table.NotePlatform(fleet.clock.Now());
  fleet.clock.Advance(MembershipLimits{}.fresh - 1ms);
  BOOST_TEST(table.HasFreshPlatform(fleet.clock.Now()));
  fleet.clock.Advance(1ms);
  BOOST_TEST(!table.HasFreshPlatform(fleet.clock.Now()));
}

BOOST_AUTO_TEST_CASE(takes_it_back_when_it_returns) {
  Fleet fleet{19};
  fleet.Run(40, Always);
  fleet.Run(30, Without(3));
  fleet.Run(10, Always);
  BOOST_TEST(fleet.Count(0, PeerState::kAlive) == 18U);
  BOOST_TEST(fleet.Observe(3).current);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_falls_into_two_parts)

BOOST_AUTO_TEST_CASE(stays_current_in_the_greater_part_only) {
  Fleet fleet{19};
  fleet.Run(40, Always);
  fleet.Run(20, [](const std::size_t from, const std::size_t to) {
    return (from < 9) == (to < 9);
  });
  for (std::size_t i = 0; i < 19; ++i) {
    BOOST_TEST(fleet.Observe(i).current == (i >= 9));
  }
}

BOOST_AUTO_TEST_CASE(has_no_current_part_when_the_halves_are_equal) {
  Fleet fleet{18};
  fleet.Run(40, Always);
  fleet.Run(20, [](const std::size_t from, const std::size_t to) {
    return (from < 9) == (to < 9);
  });
  for (std::size_t i = 0; i < 18; ++i) {
    BOOST_TEST(!fleet.Observe(i).current);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_loses_messages_one_way)

BOOST_AUTO_TEST_CASE(tells_the_deaf_one_that_it_is_not_current) {
  Fleet fleet{19};
  fleet.Run(40, Always);
  fleet.Run(20,
            [](const std::size_t, const std::size_t to) { return to != 3; });
  BOOST_TEST(!fleet.Observe(3).current);
  BOOST_TEST(fleet.Observe(0).current);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_one_that_leaves)

BOOST_AUTO_TEST_CASE(hears_of_it_at_once_from_those_that_were_told) {
  Fleet fleet{19};
  fleet.Run(40, Always);
  fleet.tables[3].Leave();
  fleet.tables[3].Beat();
  for (const http::Address& peer :
       fleet.tables[3].ChoosePeers(16, fleet.clock.Now())) {
    fleet.tables[fleet.IndexOf(peer)].Hear(
        fleet.tables[3].Tell(fleet.clock.Now()), fleet.clock.Now());
  }
  std::size_t told = 0;
  for (std::size_t i = 0; i < 19; ++i) {
    told += fleet.Count(i, PeerState::kLeaving);
  }
  BOOST_TEST(told == 16U);
  fleet.Run(4, Always);
  for (std::size_t i = 0; i < 19; ++i) {
    BOOST_TEST((i == 3 || fleet.Count(i, PeerState::kLeaving) == 1U));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_one_that_is_restarted)

BOOST_AUTO_TEST_CASE(takes_the_new_run_and_nothing_more_of_the_old) {
  Fleet fleet{19};
  fleet.Run(40, Always);
  const std::vector<MemberRow> old = fleet.tables[3].Tell(fleet.clock.Now());
  fleet.tables[3] = MemberTable{core::InstanceName{"entry-3"},
                                core::Incarnation{2}, MembershipLimits{}, 99};
  fleet.tables[3].Configure(Entries(19, 1), fleet.clock.Now());
  fleet.Run(10, Always);
  fleet.tables[0].Hear(old, fleet.clock.Now());
  const View view = fleet.Observe(0);
  const auto peer = std::find_if(
      view.peers.begin(), view.peers.end(),
      [](const Peer& one) { return one.name.Text() == "entry-3"; });
  BOOST_REQUIRE(peer != view.peers.end());
  BOOST_TEST(peer->incarnation == core::Incarnation{2});
}

BOOST_AUTO_TEST_CASE(is_outrun_when_its_clock_went_back) {
  Fleet fleet{19};
  fleet.Run(40, Always);
  fleet.tables[3] = MemberTable{core::InstanceName{"entry-3"},
                                core::Incarnation{}, MembershipLimits{}, 99};
  fleet.tables[3].Configure(Entries(19, 1), fleet.clock.Now());
  fleet.Run(30, Always);
  BOOST_TEST(fleet.Observe(3).self == core::Incarnation{2});
  BOOST_TEST(fleet.Count(0, PeerState::kAlive) == 18U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_newer_revision_on_one)

BOOST_AUTO_TEST_CASE(tells_the_others_whom_to_ask_and_that_they_are_behind) {
  Fleet fleet{19};
  fleet.Run(40, Always);
  fleet.tables[3].Configure(Entries(19, 2), fleet.clock.Now());
  fleet.Run(6, Always);
  for (std::size_t i = 0; i < 19; ++i) {
    if (i != 3) {
      BOOST_TEST(
          (fleet.tables[i].ChooseAhead() == fleet.tables[3].OwnAddress()));
      BOOST_TEST(!fleet.Observe(i).current);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_fleet_of_five_tables)

BOOST_AUTO_TEST_CASE(lets_a_pair_that_is_cut_off_know_when_its_contact_is_old) {
  for (std::size_t seed = 1; seed <= 200; ++seed) {
    Fleet fleet{5, seed * 5};
    fleet.Run(40, Always);
    BOOST_REQUIRE(fleet.Observe(0).current);
    fleet.Run(6, [](const std::size_t from, const std::size_t to) {
      return (from < 2) == (to < 2);
    });
    BOOST_REQUIRE_MESSAGE(!fleet.Observe(0).current, "seed " << seed);
    BOOST_REQUIRE_MESSAGE(!fleet.Observe(1).current, "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE(with_one_that_was_frozen)

BOOST_AUTO_TEST_CASE(proves_it_nothing_by_what_waited_in_its_sockets) {
  Fleet fleet{5};
  fleet.Run(40, Always);
  std::vector<std::vector<MemberRow>> waiting;
  for (const std::size_t peer : {1U, 2U, 3U, 4U}) {
    fleet.tables[peer].Beat();
    waiting.push_back(fleet.tables[peer].Tell(fleet.clock.Now()));
  }
  fleet.Run(20, Without(0));
  for (const std::vector<MemberRow>& rows : waiting) {
    fleet.tables[0].Hear(rows, fleet.clock.Now());
  }
  BOOST_TEST(!fleet.Observe(0).current);
  fleet.Run(6, Always);
  BOOST_TEST(fleet.Observe(0).current);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_fleet_of_two_hundred_tables)

BOOST_AUTO_TEST_CASE(stays_current_in_bounded_messages) {
  Fleet fleet{200};
  fleet.Run(40, Always);
  for (int round = 0; round < 20; ++round) {
    fleet.Run(1, Always);
    for (std::size_t i = 0; i < 200; ++i) {
      BOOST_REQUIRE(fleet.Observe(i).current);
      BOOST_REQUIRE(fleet.Count(i, PeerState::kDead) == 0U);
    }
  }
  BOOST_TEST(fleet.tables[0].Tell(fleet.clock.Now()).size() == 32U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::membership
