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
  for (int index = 0; index < count; ++index) {
    TargetTable::Member member{.usable = true,
                               .remote = index % data_centres != 0};
    member.instance.name =
        core::InstanceName{version + "-" + std::to_string(index)};
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

std::size_t PreferredLocal(const Members& members) {
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(),
      [](const auto& member) { return member.preferred && !member.remote; }));
}

/** A table of a large service whose targets take one call each. */
struct Calls {
  Calls() {
    Members members = Targets(100, 4);
    MarkPreferredSubset(members, Entry(1));
    for (auto& member : members) {
      member.instance.slots = 6;
      member.limit = 1;
      member.cold_share = {.calls = 1};
      if (member.preferred) {
        preferred.insert(member.instance.name);
      }
    }
    table.SetMembers(std::move(members), now);
  }

  /** Starts calls; returns how many of their targets are preferred. */
  std::size_t PreferredAmong(const std::size_t calls) {
    std::size_t found = 0;
    for (std::size_t call = 0; call < calls; ++call) {
      const auto* target =
          table.Choose({}, core::VersionName{"v1"}, AttemptPurpose::kAttempt,
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
  MarkPreferredSubset(members, Entry(1));
  BOOST_TEST(Preferred(members) == 32);
}

BOOST_AUTO_TEST_CASE(holds_all_of_both_versions_of_a_release) {
  Members members = Targets(32, 4);
  const Members candidates = Targets(32, 4, "v2");
  members.insert(members.end(), candidates.begin(), candidates.end());
  MarkPreferredSubset(members, Entry(1));
  BOOST_TEST(Preferred(members) == 64);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_large_service)

BOOST_AUTO_TEST_CASE(has_its_size_and_is_half_near) {
  Members members = Targets(263, 5);
  MarkPreferredSubset(members, Entry(1));
  BOOST_TEST(Preferred(members) == kSubsetSize);
  BOOST_TEST(PreferredLocal(members) == kSubsetSize / 2);
}

BOOST_AUTO_TEST_CASE(is_filled_up_where_one_side_has_few) {
  Members all_local = Targets(100, 1);
  MarkPreferredSubset(all_local, Entry(1));
  BOOST_TEST(PreferredLocal(all_local) == kSubsetSize);
  Members few_local = Targets(100, 50);
  MarkPreferredSubset(few_local, Entry(1));
  BOOST_TEST(Preferred(few_local) == kSubsetSize);
  BOOST_TEST(PreferredLocal(few_local) == 2);
}

BOOST_AUTO_TEST_CASE(leaves_out_targets_that_cannot_be_used) {
  Members members = Targets(263, 5);
  for (std::size_t index = 0; index < members.size(); index += 2) {
    members[index].usable = false;
  }
  MarkPreferredSubset(members, Entry(1));
  BOOST_TEST(Preferred(members) == kSubsetSize);
  BOOST_TEST(std::none_of(
      members.begin(), members.end(),
      [](const auto& member) { return member.preferred && !member.usable; }));
}

BOOST_AUTO_TEST_CASE(changes_by_one_target_when_one_leaves) {
  Members before = Targets(263, 5);
  Members after = before;
  MarkPreferredSubset(before, Entry(1));
  const auto removed =
      std::find_if(before.begin(), before.end(),
                   [](const auto& member) { return member.preferred; });
  after.erase(after.begin() + (removed - before.begin()));
  MarkPreferredSubset(after, Entry(1));
  std::size_t kept = 0;
  for (const auto& member : after) {
    kept += member.preferred && std::any_of(before.begin(), before.end(),
                                            [&](const auto& other) {
                                              return other.preferred &&
                                                     other.instance.name ==
                                                         member.instance.name;
                                            })
                ? 1
                : 0;
  }
  BOOST_TEST(kept == kSubsetSize - 1);
}

BOOST_AUTO_TEST_CASE(of_many_entries_covers_every_target_evenly) {
  constexpr int kEntries = 130;
  std::map<core::InstanceName, int> entries_of;
  for (int number = 0; number < kEntries; ++number) {
    Members members = Targets(263, 5);
    for (std::size_t index = 0; index < members.size(); ++index) {
      members[index].remote = static_cast<int>(index) % 5 != number % 5;
    }
    MarkPreferredSubset(members, Entry(number));
    for (const auto& member : members) {
      entries_of[member.instance.name] += member.preferred ? 1 : 0;
    }
  }
  const auto [lowest, highest] = std::minmax_element(
      entries_of.begin(), entries_of.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  constexpr int kMean = kEntries * static_cast<int>(kSubsetSize) / 263;
  BOOST_TEST(lowest->second >= kMean / 3);
  BOOST_TEST(highest->second <= 2 * kMean);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_calls_use, Calls)

BOOST_AUTO_TEST_CASE(gets_them_all_while_it_has_room) {
  BOOST_TEST(PreferredAmong(kSubsetSize) == kSubsetSize);
}

BOOST_AUTO_TEST_CASE(leaves_to_the_others_what_it_has_no_room_for) {
  BOOST_TEST(PreferredAmong(kSubsetSize + 10) == kSubsetSize);
  BOOST_TEST(chosen.size() == kSubsetSize + 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
