#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <string>

#include "fleet/fleet.h"

namespace trefoilbend::tests {

namespace {

struct Fixture {
  std::unique_ptr<Fleet> fleet = Fleet::Builder{}
                                     .WithEntries(3)
                                     .WithTargets(3, {"--service-us", "1000"})
                                     .Build();

  [[nodiscard]] http::ResponseOutcome Get(const std::string& entry,
                                          const std::string& path,
                                          const std::string& host) const {
    return Fleet::Send(this->fleet->AddressOf(entry),
                       {.method = "GET",
                        .target = path,
                        .fields = {{"Host", host}, {"Call-Id", "c"}},
                        .body = {}});
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_fleet_of_processes, Fixture)

BOOST_AUTO_TEST_CASE(serves_a_mix_of_calls_whole_and_once) {
  const auto report =
      fleet
          ->Drive({"--callers", "8", "--rate", "400", "--seconds", "2",
                   "--reserve-percent", "20", "--sheet-percent", "10"})
          ->Report();
  BOOST_TEST(report.at("answered").get<int>() > 400);
  for (const char* bad : {"not_run", "unknown", "broken", "failed", "wrong"}) {
    BOOST_TEST(report.at(bad).get<int>() == 0, bad);
  }
  int keys = 0;
  for (const char* target : {"stock-1", "stock-2", "stock-3"}) {
    const auto counts = fleet->Counts(target);
    BOOST_TEST(counts.at("handled").get<int>() > 0);
    BOOST_TEST(counts.at("keys_run_twice").get<int>() == 0);
    keys += counts.at("keys").get<int>();
  }
  BOOST_TEST(keys > 0);
}

BOOST_AUTO_TEST_CASE(refuses_an_unknown_service_as_not_run) {
  const auto outcome = Get("entry-1", "/lookup", "glass");
  BOOST_REQUIRE(core::Succeeded(outcome));
  const http::Response& response = core::ValueOf(outcome);
  BOOST_TEST(response.status == 404);
  BOOST_TEST(
      (http::FindField(response.fields, "Trefoilbend-Outcome") == "not-run"));
}

BOOST_AUTO_TEST_SUITE(when_a_target_cuts_its_answers)

BOOST_AUTO_TEST_CASE(never_lets_a_short_answer_look_whole) {
  for (const char* target : {"stock-1", "stock-2", "stock-3"}) {
    fleet->Fault(target, "truncate_percent", 30);
  }
  const auto report = fleet
                          ->Drive({"--callers", "8", "--rate", "200",
                                   "--seconds", "2", "--sheet-percent", "50"})
                          ->Report();
  BOOST_TEST(report.at("wrong").get<int>() == 0);
  BOOST_TEST(report.at("broken").get<int>() > 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_target_is_killed)

BOOST_AUTO_TEST_CASE(answers_lookups_through_the_others) {
  auto driver =
      fleet->Drive({"--callers", "8", "--rate", "400", "--seconds", "2"});
  fleet->Signal("stock-1", SIGKILL);
  const auto report = driver->Report();
  BOOST_TEST(report.at("answered").get<int>() > 400);
  BOOST_TEST(report.at("wrong").get<int>() == 0);
  BOOST_TEST(report.at("not_run").get<int>() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_an_entry_is_stopped)

BOOST_AUTO_TEST_CASE(ends_with_code_0_and_leaves_its_own_answers) {
  fleet->Signal("entry-1", SIGTERM);
  BOOST_TEST(fleet->AwaitExit("entry-1") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
