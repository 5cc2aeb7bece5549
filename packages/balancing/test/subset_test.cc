#include "trefoilbend/balancing/subset.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace trefoilbend::balancing {

namespace {

using Members = std::vector<TargetTable::Member>;

/** Targets that are spread evenly over data centres, as seen from the first. */
Members Targets(const int count, const int data_centres,
                const std::string& version = "v1") {
  Members members;
  for (int at = 0; at < count; ++at) {
    TargetTable::Member member{.usable = true, .far = at % data_centres != 0};
    member.instance.name =
        core::InstanceName{version + "-" + std::to_string(at)};
    member.instance.version = core::VersionName{version};
    members.push_back(member);
  }
  return members;
}

core::InstanceName Entry(const int number) {
  return core::InstanceName{"entry-" + std::to_string(number)};
}

std::size_t Preferred(const Members& members) {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const auto& member) { return member.preferred; }));
}

std::size_t PreferredNear(const Members& members) {
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(),
      [](const auto& member) { return member.preferred && !member.far; }));
}

/** A table of a large service whose targets take one call each. */
struct Calls {
  Calls() {
    Members members = Targets(100, 4);
    PreferSubset(members, Entry(1));
    for (auto& one : members) {
      one.instance.slots = 6;
      one.limit = 1;
      one.cold_share = {.calls = 1};
      if (one.preferred) {
        preferred.insert(one.instance.name);
      }
    }
    table.SetMembers(std::move(members), now);
  }

  /** Starts calls; returns how many of their targets are preferred. */
  std::size_t PreferredAmong(const std::size_t calls) {
    std::size_t found = 0;
    for (std::size_t call = 0; call < calls; ++call) {
      const auto* target =
          table.Choose({}, core::VersionName{"v1"}, Purpose::kAttempt,
                       core::ExchangeId{call + 1}, now);
      BOOST_REQUIRE(target != nullptr);
      chosen.insert(target->name);
      found += preferred.contains(target->name) ? 1 : 0;
    }
    return found;
  }

  TargetTable table{MakeStrategy("quiet", 1)};
  core::TimePoint now{std::chrono::seconds{10}};
  std::set<core::InstanceName> preferred;
  std::set<core::InstanceName> chosen;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_subset_of_the_targets)

BOOST_AUTO_TEST_SUITE(of_a_small_service)

BOOST_AUTO_TEST_CASE(holds_all_of_them) {
  Members members = Targets(32, 4);
  PreferSubset(members, Entry(1));
  BOOST_TEST(Preferred(members) == 32);
}

BOOST_AUTO_TEST_CASE(holds_all_of_both_versions_of_a_release) {
  Members members = Targets(32, 4);
  const Members candidates = Targets(32, 4, "v2");
  members.insert(members.end(), candidates.begin(), candidates.end());
  PreferSubset(members, Entry(1));
  BOOST_TEST(Preferred(members) == 64);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_large_service)

BOOST_AUTO_TEST_CASE(has_its_size_and_is_half_near) {
  Members members = Targets(263, 5);
  PreferSubset(members, Entry(1));
  BOOST_TEST(Preferred(members) == kSubset);
  BOOST_TEST(PreferredNear(members) == kSubset / 2);
}

BOOST_AUTO_TEST_CASE(is_filled_up_where_one_side_has_few) {
  Members all_near = Targets(100, 1);
  PreferSubset(all_near, Entry(1));
  BOOST_TEST(PreferredNear(all_near) == kSubset);
  Members few_near = Targets(100, 50);
  PreferSubset(few_near, Entry(1));
  BOOST_TEST(Preferred(few_near) == kSubset);
  BOOST_TEST(PreferredNear(few_near) == 2);
}

BOOST_AUTO_TEST_CASE(leaves_out_targets_that_cannot_be_used) {
  Members members = Targets(263, 5);
  for (std::size_t at = 0; at < members.size(); at += 2) {
    members[at].usable = false;
  }
  PreferSubset(members, Entry(1));
  BOOST_TEST(Preferred(members) == kSubset);
  BOOST_TEST(std::none_of(members.begin(), members.end(), [](const auto& one) {
    return one.preferred && !one.usable;
  }));
}

BOOST_AUTO_TEST_CASE(changes_by_one_target_when_one_leaves) {
  Members before = Targets(263, 5);
  Members after = before;
  PreferSubset(before, Entry(1));
  const auto gone = std::find_if(before.begin(), before.end(),
                                 [](const auto& one) { return one.preferred; });
  after.erase(after.begin() + (gone - before.begin()));
  PreferSubset(after, Entry(1));
  std::size_t kept = 0;
  for (const auto& one : after) {
    kept += one.preferred && std::any_of(before.begin(), before.end(),
                                         [&](const auto& other) {
                                           return other.preferred &&
                                                  other.instance.name ==
                                                      one.instance.name;
                                         })
                ? 1
                : 0;
  }
  BOOST_TEST(kept == kSubset - 1);
}

BOOST_AUTO_TEST_CASE(of_many_entries_covers_every_target_evenly) {
  constexpr int kEntries = 130;
  std::map<core::InstanceName, int> entries_of;
  for (int number = 0; number < kEntries; ++number) {
    Members members = Targets(263, 5);
    for (std::size_t at = 0; at < members.size(); ++at) {
      members[at].far = static_cast<int>(at) % 5 != number % 5;
    }
    PreferSubset(members, Entry(number));
    for (const auto& one : members) {
      entries_of[one.instance.name] += one.preferred ? 1 : 0;
    }
  }
  const auto [least, most] = std::minmax_element(
      entries_of.begin(), entries_of.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  constexpr int kMean = kEntries * static_cast<int>(kSubset) / 263;
  BOOST_TEST(least->second >= kMean / 3);
  BOOST_TEST(most->second <= 2 * kMean);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_calls_use, Calls)

BOOST_AUTO_TEST_CASE(gets_them_all_while_it_has_room) {
  BOOST_TEST(PreferredAmong(kSubset) == kSubset);
}

BOOST_AUTO_TEST_CASE(leaves_to_the_others_what_it_has_no_room_for) {
  BOOST_TEST(PreferredAmong(kSubset + 10) == kSubset);
  BOOST_TEST(chosen.size() == kSubset + 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
