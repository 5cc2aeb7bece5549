#include "trefoilbend/balancing/connection_share.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <vector>

namespace trefoilbend::balancing {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration kDelay = 10s;
/** Longest time until an entry knows of a change. */
constexpr core::Duration kLag = 9s;
/** Longest time for which an entry goes on after it has left the list. */
constexpr core::Duration kRest = 9s;

/** Entries that come, go and see the list late, each at its own lag. */
struct Model {
  struct Entry {
    EntryCounter counter{kDelay};
    core::Duration lag{};
    core::TimePoint listed{core::TimePoint::max()};
    core::TimePoint removed{core::TimePoint::max()};
  };

  explicit Model(const std::size_t count) : entries(count) {}

  void Toggle(const std::size_t number) {
    Entry& entry = this->entries[number];
    if (entry.listed == core::TimePoint::max()) {
      entry = {.counter = EntryCounter{kDelay},
               .lag = *rc::gen::inRange<std::int64_t>(0, kLag / 1s) * 1s,
               .listed = this->now};
      this->Observe(entry);
    } else if (entry.removed == core::TimePoint::max()) {
      entry.removed = this->now;
    }
  }

  void Pass(const core::Duration time) {
    for (const core::TimePoint end = this->now + time; this->now < end;) {
      this->now += 1s;
      for (Entry& entry : this->entries) {
        if (this->now - entry.removed >= kRest) {
          entry = Entry{};
        } else if (entry.listed != core::TimePoint::max()) {
          this->Observe(entry);
        }
      }
    }
  }

  void Observe(Entry& viewer) {
    const core::TimePoint seen = this->now - viewer.lag;
    std::uint32_t listed = 0;
    for (const Entry& entry : this->entries) {
      listed += entry.listed <= seen && seen < entry.removed ? 1 : 0;
    }
    const bool self = viewer.listed <= seen && seen < viewer.removed;
    viewer.counter.Observe(static_cast<std::uint32_t>(this->entries.size()),
                           listed, self, this->now);
  }

  [[nodiscard]] std::uint32_t Open(const std::uint32_t connections) const {
    std::uint32_t sum = 0;
    for (const Entry& entry : this->entries) {
      if (entry.listed != core::TimePoint::max()) {
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

BOOST_AUTO_TEST_SUITE(the_shares_of_a_targets_connections)

BOOST_AUTO_TEST_CASE(never_pass_its_limit_while_entries_come_and_go) {
  const bool holds = rc::check([] {
    Model model{*rc::gen::inRange<std::size_t>(1, 20)};
    const auto connections = *rc::gen::inRange<std::uint32_t>(
        static_cast<std::uint32_t>(model.entries.size()), 300);
    for (int step = 0; step < 30; ++step) {
      model.Toggle(*rc::gen::inRange<std::size_t>(0, model.entries.size()));
      model.Pass(*rc::gen::inRange<std::int64_t>(0, 30) * 1s);
      RC_ASSERT(model.Open(connections) <= connections);
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(follow_the_entries_that_are_there) {
  const EntryCount all{.registered = 19, .listed = 19, .known_to_peers = true};
  const EntryCount few{.registered = 19, .listed = 5, .known_to_peers = true};
  const EntryCount fresh{
      .registered = 19, .listed = 5, .known_to_peers = false};
  BOOST_TEST(ComputeConnectionShare(200, all) == 10U);
  BOOST_TEST(ComputeConnectionShare(200, few) == 34U);
  BOOST_TEST(ComputeConnectionShare(200, fresh) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_pace_of_new_connections)

BOOST_AUTO_TEST_CASE(costs_all_entries_together_a_part_of_the_targets_time) {
  const EntryCount entries{
      .registered = 19, .listed = 19, .known_to_peers = true};
  BOOST_TEST((ComputeConnectionInterval(1ms, 10, entries) == 190ms));
  BOOST_TEST((ComputeConnectionInterval(1ms, 0, entries) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
