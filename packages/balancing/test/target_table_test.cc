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

/** Table of the targets a and b, each of which has answered once. */
class Fixture {
 public:
  Fixture() {
    this->SetMembers(true);
    EndWithAnswer("a", 200);
    EndWithAnswer("b", 200);
  }

  /** Makes both targets members of the table; both are listed as live. */
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

  void EndWithAnswer(const std::string& target, const std::uint16_t status,
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
    bool chose_a = false;
    bool chose_b = false;
    for (int call = 0; call < 30; ++call) {
      const std::string chosen = Choose();
      chose_a = chose_a || chosen == "a";
      chose_b = chose_b || chosen == "b";
      EndWithAnswer(chosen, 200);
    }
    return chose_a && chose_b;
  }

  TargetTable table{MakeStrategy("adaptive", 1)};
  core::ExchangeId exchange;
  core::TimePoint now{10s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_table_of_targets, Fixture)

BOOST_AUTO_TEST_SUITE(one_of_which_answers_no_probe)

BOOST_AUTO_TEST_CASE(
    ejects_it_for_twice_as_long_after_each_probe_up_to_a_limit) {
  const std::vector<std::chrono::milliseconds> ejection_times{500ms, 1s, 2s, 4s,
                                                              4s};
  for (const std::chrono::milliseconds ejection_time : ejection_times) {
    table.OnProbeEnded({.target = core::InstanceName{"a"}}, now);
    const core::TimePoint ejected_until = now + ejection_time;
    now = ejected_until - 1ms;
    for (int call = 0; call < 10; ++call) {
      BOOST_TEST(Choose() == "b");
      EndWithAnswer("b", 200);
    }
    now = ejected_until;
    BOOST_TEST(ChoosesBoth());
  }
}

BOOST_AUTO_TEST_CASE(resets_its_ejection_time_as_soon_as_it_answers) {
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

BOOST_AUTO_TEST_SUITE(one_of_which_reports_that_it_drains)

BOOST_AUTO_TEST_CASE(gives_it_no_call_until_a_later_report_ends_the_drain) {
  EndWithAnswer("a", 200, LoadReport{.draining = true});
  for (int call = 0; call < 20; ++call) {
    BOOST_TEST(Choose() == "b");
  }
  now += 20ms;
  EndWithAnswer("a", 200, LoadReport{});
  bool chosen = false;
  for (int call = 0; call < 20; ++call) {
    chosen = chosen || Choose() == "a";
  }
  BOOST_TEST(chosen);
}

/** DRAIN: a draining target got calls again because a report from before its
 * drain arrived late, on another connection, and ended its draining state. */
BOOST_AUTO_TEST_CASE(believes_no_report_from_before_its_word) {
  EndWithAnswer("a", 200, LoadReport{.draining = true});
  now += 5ms;
  EndWithAnswer("a", 200, LoadReport{});
  for (int call = 0; call < 20; ++call) {
    BOOST_TEST(Choose() == "b");
  }
}

/** DRAIN: a draining target got calls again when operators took its data centre
 * out of service and back in. */
BOOST_AUTO_TEST_CASE(gives_it_no_call_when_its_data_centre_is_in_again) {
  EndWithAnswer("a", 200, LoadReport{.draining = true});
  SetMembers(false);
  SetMembers(true);
  for (int call = 0; call < 20; ++call) {
    BOOST_TEST(Choose() != "a");
  }
}

BOOST_AUTO_TEST_CASE(
    has_no_usable_target_when_all_drain_until_the_drains_time_out) {
  EndWithAnswer("a", 200, LoadReport{.draining = true});
  EndWithAnswer("b", 200, LoadReport{.draining = true});
  BOOST_TEST(!table.HasUsable(core::VersionName{}, now));
  now += 60s;
  BOOST_TEST(table.HasUsable(core::VersionName{}, now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(one_of_which_fails_its_calls)

BOOST_AUTO_TEST_CASE(ejects_it_after_three_failed_calls) {
  int failed = 0;
  for (int call = 0; call < 200; ++call) {
    const bool fails = Choose() == "a";
    failed += fails ? 1 : 0;
    EndWithAnswer(fails ? "a" : "b", fails ? 500 : 200);
  }
  BOOST_TEST(failed == 3);
}

BOOST_AUTO_TEST_CASE(tries_it_again_after_the_ejection_time) {
  for (int failure = 0; failure < 3; ++failure) {
    EndWithAnswer("a", 500);
  }
  now += 101ms;
  bool tried = false;
  for (int call = 0; call < 20; ++call) {
    tried = tried || Choose() == "a";
  }
  BOOST_TEST(tried);
}

BOOST_AUTO_TEST_CASE(treats_it_as_cold_after_the_ejection_time) {
  for (int failure = 0; failure < 3; ++failure) {
    EndWithAnswer("a", 500);
  }
  now += 2s;
  int sent = 0;
  for (int call = 0; call < 20; ++call) {
    sent += Choose() == "a" ? 1 : 0;
  }
  BOOST_TEST(sent == 1);
}

BOOST_AUTO_TEST_CASE(uses_it_when_all_others_are_ejected_too) {
  for (int failure = 0; failure < 3; ++failure) {
    EndWithAnswer("a", 500);
    EndWithAnswer("b", 500);
  }
  BOOST_TEST(Choose() != "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(one_of_which_reports_fewer_requests_than_this_entry_sent)

BOOST_AUTO_TEST_CASE(loses_trust_in_its_reports) {
  for (int call = 0; call < 40; ++call) {
    (void)Choose();
  }
  now += 1s;
  for (int answer = 0; answer < 5; ++answer) {
    EndWithAnswer("a", 200, LoadReport{});
    EndWithAnswer("b", 200, LoadReport{.in_flight = 6, .queued = 20});
  }
  BOOST_TEST(table.Targets()[0].trust < 0.5);
  BOOST_TEST(table.Targets()[1].trust == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(one_of_which_has_not_answered_for_long)

BOOST_AUTO_TEST_CASE(sends_the_next_calls_to_the_other) {
  const std::string late_target = Choose();
  now += 500ms;
  int calls_to_other = 0;
  for (int call = 0; call < 6; ++call) {
    calls_to_other += Choose() != late_target ? 1 : 0;
  }
  BOOST_TEST(calls_to_other == 6);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::balancing
