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

/** Returns targets that are spread evenly over data centres; those outside the
 * first one are remote. */
Members MakeTargets(const int count, const int data_centres,
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

core::InstanceName EntryName(const int number) {
  return core::InstanceName{"entry-" + std::to_string(number)};
}

std::size_t CountPreferred(const Members& members) {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const auto& member) { return member.preferred; }));
}

std::size_t PreferredLocal(const Members& members) {
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(),
      [](const auto& member) { return member.preferred && !member.remote; }));
}

/** Table of a large service with a limit of one call per target. */
struct LargeService {
  LargeService() {
    Members members = MakeTargets(100, 4);
    MarkPreferredSubset(members, EntryName(1));
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

  /** Starts calls and returns how many of them go to preferred targets. */
  std::size_t StartCalls(const std::size_t calls) {
    std::size_t calls_to_preferred = 0;
    for (std::size_t call = 0; call < calls; ++call) {
      const auto* target =
          table.Choose({}, core::VersionName{"v1"}, AttemptPurpose::kAttempt,
                       core::ExchangeId{call + 1}, now);
      BOOST_REQUIRE(target != nullptr);
      chosen.insert(target->name);
      calls_to_preferred += preferred.contains(target->name) ? 1 : 0;
    }
    return calls_to_preferred;
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
  Members members = MakeTargets(32, 4);
  MarkPreferredSubset(members, EntryName(1));
  BOOST_TEST(CountPreferred(members) == 32);
}

BOOST_AUTO_TEST_CASE(holds_all_of_both_versions_of_a_release) {
  Members members = MakeTargets(32, 4);
  const Members new_targets = MakeTargets(32, 4, "v2");
  members.insert(members.end(), new_targets.begin(), new_targets.end());
  MarkPreferredSubset(members, EntryName(1));
  BOOST_TEST(CountPreferred(members) == 64);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_large_service)

BOOST_AUTO_TEST_CASE(has_the_fixed_size_and_is_half_local) {
  Members members = MakeTargets(263, 5);
  MarkPreferredSubset(members, EntryName(1));
  BOOST_TEST(CountPreferred(members) == kSubsetSize);
  BOOST_TEST(PreferredLocal(members) == kSubsetSize / 2);
}

BOOST_AUTO_TEST_CASE(is_filled_up_when_local_or_remote_targets_are_few) {
  Members all_local = MakeTargets(100, 1);
  MarkPreferredSubset(all_local, EntryName(1));
  BOOST_TEST(PreferredLocal(all_local) == kSubsetSize);
  Members few_local = MakeTargets(100, 50);
  MarkPreferredSubset(few_local, EntryName(1));
  BOOST_TEST(CountPreferred(few_local) == kSubsetSize);
  BOOST_TEST(PreferredLocal(few_local) == 2);
}

BOOST_AUTO_TEST_CASE(leaves_out_unusable_targets) {
  Members members = MakeTargets(263, 5);
  for (std::size_t index = 0; index < members.size(); index += 2) {
    members[index].usable = false;
  }
  MarkPreferredSubset(members, EntryName(1));
  BOOST_TEST(CountPreferred(members) == kSubsetSize);
  BOOST_TEST(std::none_of(
      members.begin(), members.end(),
      [](const auto& member) { return member.preferred && !member.usable; }));
}

BOOST_AUTO_TEST_CASE(changes_by_one_target_when_one_leaves) {
  Members before = MakeTargets(263, 5);
  Members after = before;
  MarkPreferredSubset(before, EntryName(1));
  const auto removed =
      std::find_if(before.begin(), before.end(),
                   [](const auto& member) { return member.preferred; });
  after.erase(after.begin() + (removed - before.begin()));
  MarkPreferredSubset(after, EntryName(1));
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

BOOST_AUTO_TEST_CASE(covers_every_target_evenly_over_many_entries) {
  constexpr int kEntries = 130;
  std::map<core::InstanceName, int> entry_counts;
  for (int number = 0; number < kEntries; ++number) {
    Members members = MakeTargets(263, 5);
    for (std::size_t index = 0; index < members.size(); ++index) {
      members[index].remote = static_cast<int>(index) % 5 != number % 5;
    }
    MarkPreferredSubset(members, EntryName(number));
    for (const auto& member : members) {
      entry_counts[member.instance.name] += member.preferred ? 1 : 0;
    }
  }
  const auto [lowest, highest] = std::minmax_element(
      entry_counts.begin(), entry_counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  constexpr int kMean = kEntries * static_cast<int>(kSubsetSize) / 263;
  BOOST_TEST(lowest->second >= kMean / 3);
  BOOST_TEST(highest->second <= 2 * kMean);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_calls_use, LargeService)

BOOST_AUTO_TEST_CASE(receives_all_calls_while_it_has_room) {
  BOOST_TEST(StartCalls(kSubsetSize) == kSubsetSize);
}

BOOST_AUTO_TEST_CASE(leaves_calls_to_other_targets_once_it_is_full) {
  BOOST_TEST(StartCalls(kSubsetSize + 10) == kSubsetSize);
  BOOST_TEST(chosen.size() == kSubsetSize + 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
