#include "trefoilbend/balancing/connection_share.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <vector>

namespace trefoilbend::balancing {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration kShareDelay = 10s;
/** Maximum age of the list that an entry sees. */
constexpr core::Duration kMaxListLag = 9s;
/** Time for which an entry keeps its connections after it has left the list. */
constexpr core::Duration kRunTimeAfterLeaving = 9s;

/** Entries that join and leave; each sees the list with a delay of its own. */
struct Model {
  struct Entry {
    EntryCounter counter{kShareDelay};
    core::Duration list_lag{};
    core::TimePoint listed_at{core::TimePoint::max()};
    core::TimePoint removed_at{core::TimePoint::max()};
  };

  explicit Model(const std::size_t count) : entries(count) {}

  void Toggle(const std::size_t number) {
    Entry& entry = this->entries[number];
    if (entry.listed_at == core::TimePoint::max()) {
      entry = {
          .counter = EntryCounter{kShareDelay},
          .list_lag = *rc::gen::inRange<std::int64_t>(0, kMaxListLag / 1s) * 1s,
          .listed_at = this->now};
      this->Observe(entry);
    } else if (entry.removed_at == core::TimePoint::max()) {
      entry.removed_at = this->now;
    }
  }

  void Advance(const core::Duration duration) {
    for (const core::TimePoint end = this->now + duration; this->now < end;) {
      this->now += 1s;
      for (Entry& entry : this->entries) {
        if (this->now - entry.removed_at >= kRunTimeAfterLeaving) {
          entry = Entry{};
        } else if (entry.listed_at != core::TimePoint::max()) {
          this->Observe(entry);
        }
      }
    }
  }

  void Observe(Entry& observer) {
    const core::TimePoint seen = this->now - observer.list_lag;
    std::uint32_t listed = 0;
    for (const Entry& entry : this->entries) {
      listed += entry.listed_at <= seen && seen < entry.removed_at ? 1 : 0;
    }
    const bool self_listed =
        observer.listed_at <= seen && seen < observer.removed_at;
    observer.counter.Observe(static_cast<std::uint32_t>(this->entries.size()),
                             listed, self_listed, this->now);
  }

  [[nodiscard]] std::uint32_t SumOfShares(
      const std::uint32_t connections) const {
    std::uint32_t sum = 0;
    for (const Entry& entry : this->entries) {
      if (entry.listed_at != core::TimePoint::max()) {
        sum += ComputeConnectionShare(connections,
                                      entry.counter.CountAt(this->now));
      }
    }
    return sum;
  }

  std::vector<Entry> entries;
  core::TimePoint now{1h};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(shares_of_a_targets_connections)

BOOST_AUTO_TEST_CASE(never_exceed_its_limit_while_entries_join_and_leave) {
  const bool holds = rc::check([] {
    Model model{*rc::gen::inRange<std::size_t>(1, 20)};
    const auto connections = *rc::gen::inRange<std::uint32_t>(
        static_cast<std::uint32_t>(model.entries.size()), 300);
    for (int step = 0; step < 30; ++step) {
      model.Toggle(*rc::gen::inRange<std::size_t>(0, model.entries.size()));
      model.Advance(*rc::gen::inRange<std::int64_t>(0, 30) * 1s);
      RC_ASSERT(model.SumOfShares(connections) <= connections);
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(
    depend_on_the_listed_entries_and_on_whether_peers_know_this_one) {
  const EntryCount all_listed{
      .registered = 19, .listed = 19, .known_to_peers = true};
  const EntryCount few_listed{
      .registered = 19, .listed = 5, .known_to_peers = true};
  const EntryCount unknown_to_peers{
      .registered = 19, .listed = 5, .known_to_peers = false};
  BOOST_TEST(ComputeConnectionShare(200, all_listed) == 10U);
  BOOST_TEST(ComputeConnectionShare(200, few_listed) == 34U);
  BOOST_TEST(ComputeConnectionShare(200, unknown_to_peers) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_interval_between_new_connections)

BOOST_AUTO_TEST_CASE(
    limits_what_all_entries_cost_to_a_percentage_of_the_targets_time) {
  const EntryCount entries{
      .registered = 19, .listed = 19, .known_to_peers = true};
  BOOST_TEST((ComputeConnectionInterval(1ms, 10, entries) == 190ms));
  BOOST_TEST((ComputeConnectionInterval(1ms, 0, entries) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
