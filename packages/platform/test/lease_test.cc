#include "trefoilbend/platform/lease.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

namespace trefoilbend::platform {

namespace {

using namespace std::chrono_literals;

/** Table with one row and the rules of the platform. */
struct OneRow {
  std::optional<Row> row;

  [[nodiscard]] bool Meets(const Condition& condition) const {
    return (this->row ? this->row->version : kAbsent) == condition.version;
  }

  bool Commit(const Transaction& transaction) {
    if (!this->Meets(transaction.conditions.front())) {
      return false;
    }
    this->row = Row{.key = transaction.writes.front().key,
                    .value = *transaction.writes.front().value,
                    .version = transaction.conditions.front().version.Next()};
    return true;
  }
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
    const auto transaction = lease.Attempt(this->table.row, sent);
    if (transaction && this->table.Commit(*transaction)) {
      lease.Renew(Committed{}, sent);
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
  const auto transaction = first.Attempt(table.row, clock.Now());
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::platform
