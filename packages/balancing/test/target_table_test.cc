#include "trefoilbend/balancing/target_table.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace trefoilbend::balancing {

using namespace std::chrono_literals;
using forwarding::ExchangeResult;
using forwarding::LoadReport;

namespace {

/** A table of the targets a and b. */
class Fixture {
 public:
  Fixture() {
    this->SetMembers(true);
    Answer("a", 200);
    Answer("b", 200);
  }

  /** Puts both targets, which are listed as live, into the table. */
  void SetMembers(const bool usable) {
    std::vector<TargetTable::Member> members;
    for (const std::string name : {"a", "b"}) {
      inventory::Instance target;
      target.name = core::InstanceName{name};
      target.slots = 6;
      members.push_back({.instance = target,
                         .usable = usable,
                         .limit = 100,
                         .cold_share = {.calls = 1}});
    }
    this->table.SetMembers(std::move(members), this->now);
  }

  std::string Choose() {
    this->exchange = this->exchange.Next();
    const auto* target =
        this->table.Choose({}, core::VersionName{}, AttemptPurpose::kAttempt,
                           this->exchange, this->now);
    return target == nullptr ? "" : target->name.Text();
  }

  void Answer(const std::string& target, const std::uint16_t status,
              const std::optional<LoadReport> load = std::nullopt) {
    this->table.OnExchangeEnded({.exchange = this->exchange,
                                 .target = core::InstanceName{target},
                                 .result = ExchangeResult::kAnswered,
                                 .status = status,
                                 .latency = 10ms,
                                 .load = load},
                                this->now);
  }

  bool ChoosesBoth() {
    bool a = false;
    bool b = false;
    for (int call = 0; call < 30; ++call) {
      const std::string chosen = Choose();
      a = a || chosen == "a";
      b = b || chosen == "b";
      Answer(chosen, 200);
    }
    return a && b;
  }

  TargetTable table{MakeStrategy("adaptive", 1)};
  core::ExchangeId exchange;
  core::TimePoint now{10s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_table_of_targets, Fixture)

BOOST_AUTO_TEST_SUITE(one_of_which_answers_no_probe)

BOOST_AUTO_TEST_CASE(leaves_it_alone_twice_as_long_after_each_probe) {
  const std::vector<std::chrono::milliseconds> times{500ms, 1s, 2s, 4s, 4s};
  for (const std::chrono::milliseconds time : times) {
    table.OnProbeEnded({.target = core::InstanceName{"a"}}, now);
    const core::TimePoint until = now + time;
    now = until - 1ms;
    for (int call = 0; call < 10; ++call) {
      BOOST_TEST(Choose() == "b");
      Answer("b", 200);
    }
    now = until;
    BOOST_TEST(ChoosesBoth());
  }
}

BOOST_AUTO_TEST_CASE(forgives_it_as_soon_as_it_answers) {
  table.OnProbeEnded({.target = core::InstanceName{"a"}}, now);
  table.OnProbeEnded({.target = core::InstanceName{"a"}}, now);
  now += 1s;
  table.OnProbeEnded({.target = core::InstanceName{"a"},
                      .report = forwarding::HealthReport{.healthy = true}},
                     now);
  table.OnProbeEnded({.target = core::InstanceName{"a"}}, now);
  now += 500ms;
  BOOST_TEST(ChoosesBoth());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(one_of_which_says_that_it_drains)

BOOST_AUTO_TEST_CASE(gives_it_no_call_until_a_report_says_otherwise) {
  Answer("a", 200, LoadReport{.draining = true});
  for (int call = 0; call < 20; ++call) {
    BOOST_TEST(Choose() == "b");
  }
  now += 20ms;
  Answer("a", 200, LoadReport{});
  bool chosen = false;
  for (int call = 0; call < 20; ++call) {
    chosen = chosen || Choose() == "a";
  }
  BOOST_TEST(chosen);
}

/** DRAIN: a target that had said that it leaves got calls again by a report
 * from before its word, which came late on another connection. */
BOOST_AUTO_TEST_CASE(believes_no_report_from_before_its_word) {
  Answer("a", 200, LoadReport{.draining = true});
  now += 5ms;
  Answer("a", 200, LoadReport{});
  for (int call = 0; call < 20; ++call) {
    BOOST_TEST(Choose() == "b");
  }
}

/** DRAIN: the same when operators had emptied its data centre and took it back.
 */
BOOST_AUTO_TEST_CASE(gives_it_no_call_when_its_data_centre_is_in_again) {
  Answer("a", 200, LoadReport{.draining = true});
  SetMembers(false);
  SetMembers(true);
  for (int call = 0; call < 20; ++call) {
    BOOST_TEST(Choose() != "a");
  }
}

BOOST_AUTO_TEST_CASE(has_none_that_may_take_calls_when_all_drain) {
  Answer("a", 200, LoadReport{.draining = true});
  Answer("b", 200, LoadReport{.draining = true});
  BOOST_TEST(!table.HasUsable(core::VersionName{}, now));
  now += 60s;
  BOOST_TEST(table.HasUsable(core::VersionName{}, now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(one_of_which_fails_at_once)

BOOST_AUTO_TEST_CASE(sends_it_three_calls_and_then_leaves_it_out) {
  int failed = 0;
  for (int call = 0; call < 200; ++call) {
    const bool fails = Choose() == "a";
    failed += fails ? 1 : 0;
    Answer(fails ? "a" : "b", fails ? 500 : 200);
  }
  BOOST_TEST(failed == 3);
}

BOOST_AUTO_TEST_CASE(tries_it_again_after_a_while) {
  for (int failure = 0; failure < 3; ++failure) {
    Answer("a", 500);
  }
  now += 101ms;
  bool tried = false;
  for (int call = 0; call < 20; ++call) {
    tried = tried || Choose() == "a";
  }
  BOOST_TEST(tried);
}

BOOST_AUTO_TEST_CASE(takes_it_for_cold_then) {
  for (int failure = 0; failure < 3; ++failure) {
    Answer("a", 500);
  }
  now += 2s;
  int sent = 0;
  for (int call = 0; call < 20; ++call) {
    sent += Choose() == "a" ? 1 : 0;
  }
  BOOST_TEST(sent == 1);
}

BOOST_AUTO_TEST_CASE(uses_it_when_all_others_are_left_out_too) {
  for (int failure = 0; failure < 3; ++failure) {
    Answer("a", 500);
    Answer("b", 500);
  }
  BOOST_TEST(Choose() != "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(one_of_which_reports_less_than_this_entry_sent)

BOOST_AUTO_TEST_CASE(loses_trust_in_its_reports) {
  for (int call = 0; call < 40; ++call) {
    (void)Choose();
  }
  now += 1s;
  for (int answer = 0; answer < 5; ++answer) {
    Answer("a", 200, LoadReport{});
    Answer("b", 200, LoadReport{.in_flight = 6, .queued = 20});
  }
  BOOST_TEST(table.Targets()[0].trust < 0.5);
  BOOST_TEST(table.Targets()[1].trust == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_owes_an_answer_for_long)

BOOST_AUTO_TEST_CASE(gets_fewer_calls_than_the_other) {
  const std::string late = Choose();
  now += 500ms;
  int other = 0;
  for (int call = 0; call < 6; ++call) {
    other += Choose() != late ? 1 : 0;
  }
  BOOST_TEST(other == 6);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
