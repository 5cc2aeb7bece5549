#include "trefoilbend/platform/lease.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <utility>

namespace trefoilbend::platform {

namespace {

using namespace std::chrono_literals;

/** Table with one row and the rules of the platform. */
struct OneRow {
  std::optional<Row> row;
  Era era;

  [[nodiscard]] FoundRow Read() const {
    return {.row = this->row, .era = this->era};
  }

  [[nodiscard]] bool Meets(const Condition& condition) const {
    return (this->row ? this->row->position : kAbsent) == condition.position;
  }

  bool Commit(const Transaction& transaction) {
    if (!this->Meets(transaction.conditions.front())) {
      return false;
    }
    this->version = this->version.Next();
    this->row = Row{.key = transaction.writes.front().key,
                    .value = *transaction.writes.front().value,
                    .position = {this->era, this->version}};
    return true;
  }

  /** The store comes back from a copy, which may lack the row. */
  void ComeBack(std::optional<Row> copied) {
    this->era = this->era.Next();
    this->version = copied ? copied->position.Version() : RowVersion{};
    this->row = std::move(copied);
    if (this->row) {
      this->row->position = {this->era, this->version};
    }
  }

  RowVersion version;
};

struct Fixture {
  core::ManualClock clock;
  OneRow table;
  Lease first{"lease/rollout",
              {core::InstanceName{"entry-1"}, core::Incarnation{7}}};
  Lease second{"lease/rollout",
               {core::InstanceName{"entry-2"}, core::Incarnation{7}}};

  bool Try(Lease& lease) {
    const core::TimePoint sent = this->clock.Now();
    const auto transaction = lease.Attempt(this->table.Read(), sent);
    if (transaction && this->table.Commit(*transaction)) {
      lease.Renew(Committed{.position = this->table.row->position}, sent);
    }
    return lease.Held(this->clock.Now());
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_lease_in_the_table, Fixture)

BOOST_AUTO_TEST_CASE(is_held_by_the_first_that_takes_it) {
  BOOST_TEST(Try(first));
  BOOST_TEST(!Try(second));
  BOOST_TEST(first.Current() == Epoch{1});
}

BOOST_AUTO_TEST_CASE(stays_with_a_holder_that_renews_it) {
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(Try(first));
    BOOST_TEST(!Try(second));
    clock.Advance(1s);
  }
  BOOST_TEST(first.Current() == Epoch{1});
}

BOOST_AUTO_TEST_SUITE(when_its_holder_is_paused)

BOOST_AUTO_TEST_CASE(ends_for_the_holder_before_another_takes_it) {
  BOOST_TEST(Try(first));
  const Condition fence = first.Fence();
  BOOST_TEST(!Try(second));
  clock.Advance(4'600ms);
  BOOST_TEST(!first.Held(clock.Now()));
  BOOST_TEST(!Try(second));
  clock.Advance(400ms);
  BOOST_TEST(Try(second));
  BOOST_TEST(second.Current() == Epoch{2});
  BOOST_TEST(!table.Meets(fence));
  BOOST_TEST(table.Meets(second.Fence()));
  BOOST_TEST(!Try(first));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_answer_to_a_renewal_is_lost)

BOOST_AUTO_TEST_CASE(is_recognised_as_its_own_and_renewed) {
  const auto transaction = first.Attempt(table.Read(), clock.Now());
  BOOST_REQUIRE(transaction);
  BOOST_TEST(table.Commit(*transaction));
  BOOST_TEST(!first.Held(clock.Now()));
  BOOST_TEST(Try(first));
  BOOST_TEST(first.Current() == Epoch{1});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_its_holder_is_restarted)

BOOST_AUTO_TEST_CASE(is_not_taken_for_the_new_process) {
  BOOST_TEST(Try(first));
  Lease restarted{"lease/rollout",
                  {core::InstanceName{"entry-1"}, core::Incarnation{8}}};
  BOOST_TEST(!Try(restarted));
  clock.Advance(5s);
  BOOST_TEST(Try(restarted));
  BOOST_TEST(restarted.Current() == Epoch{2});
}

BOOST_AUTO_TEST_SUITE_END()

/** Two entries held the lease at the same time, or none knew that its epoch was
 * taken, since the row was trusted though the store had lost newer ones. */
BOOST_AUTO_TEST_SUITE(when_the_store_comes_back_from_an_older_copy)

BOOST_AUTO_TEST_CASE(is_not_held_before_the_holder_has_written_it_again) {
  table.era = Era{1};
  clock.Advance(5s);
  BOOST_TEST(!Try(first));
  clock.Advance(5s);
  BOOST_REQUIRE(Try(first));
  const std::optional<Row> copied = table.row;
  clock.Advance(1s);
  BOOST_REQUIRE(Try(first));
  const Condition fence = first.Fence();
  table.ComeBack(copied);
  first.NoteEra(table.era, clock.Now());
  BOOST_TEST(!first.Held(clock.Now()));
  BOOST_TEST(Try(first));
  BOOST_TEST(first.Current() == Epoch{1});
  BOOST_TEST((fence.position.Era() == Era{1}));
  BOOST_TEST(!table.Meets(fence));
}

BOOST_AUTO_TEST_CASE(is_not_taken_at_once_though_its_row_is_missing) {
  BOOST_REQUIRE(Try(first));
  table.ComeBack(std::nullopt);
  BOOST_TEST(!Try(second));
  clock.Advance(4'400ms);
  BOOST_TEST(!Try(second));
  clock.Advance(600ms);
  BOOST_TEST(!first.Held(clock.Now()));
  BOOST_TEST(Try(second));
}

BOOST_AUTO_TEST_CASE(is_not_trusted_by_one_that_the_copy_names) {
  BOOST_REQUIRE(Try(first));
  const std::optional<Row> copied = table.row;
  BOOST_TEST(!Try(second));
  clock.Advance(5s);
  BOOST_REQUIRE(Try(second));
  table.ComeBack(copied);
  BOOST_TEST(!Try(first));
  BOOST_TEST(Try(second));
  BOOST_TEST(!Try(first));
}

BOOST_AUTO_TEST_CASE(ends_for_one_that_the_copy_names_and_whose_time_is_over) {
  BOOST_REQUIRE(Try(first));
  const std::optional<Row> copied = table.row;
  clock.Advance(5s);
  table.ComeBack(copied);
  BOOST_TEST(!Try(first));
  clock.Advance(4'900ms);
  BOOST_TEST(!Try(first));
  clock.Advance(100ms);
  BOOST_TEST(Try(first));
}

BOOST_AUTO_TEST_CASE(gets_an_epoch_above_all_that_anybody_has_seen) {
  BOOST_REQUIRE(Try(first));
  const std::optional<Row> copied = table.row;
  BOOST_TEST(!Try(second));
  clock.Advance(5s);
  BOOST_REQUIRE(Try(second));
  Lease third{"lease/rollout",
              {core::InstanceName{"entry-3"}, core::Incarnation{7}}};
  third.NoteEpoch(second.Current());
  table.ComeBack(copied);
  BOOST_TEST(!Try(third));
  clock.Advance(5s);
  BOOST_REQUIRE(Try(third));
  BOOST_TEST(third.Current() == Epoch{3});
}

BOOST_AUTO_TEST_CASE(is_not_renewed_by_a_call_of_the_era_before) {
  BOOST_REQUIRE(Try(first));
  const std::optional<Row> copied = table.row;
  const core::TimePoint sent = clock.Now();
  BOOST_REQUIRE(first.Attempt(table.Read(), sent));
  table.ComeBack(copied);
  first.Renew(Committed{.position = Position{table.era, RowVersion{2}}}, sent);
  first.NoteEra(table.era, sent);
  BOOST_TEST(!first.Held(sent));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::platform
