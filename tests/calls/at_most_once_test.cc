#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "calls/caller.h"
#include "trefoilbend/idempotency/key.h"

namespace trefoilbend::tests {

namespace {

using namespace std::chrono_literals;

struct Fixture {
  std::unique_ptr<Fleet> fleet =
      Fleet::Builder{}
          .WithEntries(3)
          .WithTargets(2, {"--service-us", "20000"})
          .WithRules("[service stock]\ntimeout = 2s\n")
          .Build();
  Caller caller{*this->fleet};
  std::string key = this->caller.PrefixFrom("entry-1") + "mirror-1";

  /** The entry that alone may run the key. */
  [[nodiscard]] std::string Home() const {
    const auto home = idempotency::ParseHome(this->key);
    BOOST_REQUIRE(home.has_value());
    return home->entry.Text();
  }

  /** An entry that is not the key's home. */
  [[nodiscard]] std::string Other(const int number = 0) const {
    std::vector<std::string> others;
    for (const char* entry : {"entry-1", "entry-2", "entry-3"}) {
      if (entry != this->Home()) {
        others.emplace_back(entry);
      }
    }
    return others.at(static_cast<std::size_t>(number));
  }

  void ForTargets(const std::string& fault, const std::int64_t value) const {
    this->fleet->Fault("stock-1", fault, value);
    this->fleet->Fault("stock-2", fault, value);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_reservation, Fixture)

BOOST_AUTO_TEST_SUITE(that_is_sent_again)

BOOST_AUTO_TEST_CASE(through_any_entry_gets_the_first_answer) {
  const Seen first = caller.Reserve("entry-1", key);
  BOOST_TEST(first.status == 200);
  for (const char* entry : {"entry-1", "entry-2", "entry-3"}) {
    const Seen again = caller.Reserve(entry, key);
    BOOST_TEST(again.status == 200);
    BOOST_TEST(again.body == first.body);
  }
  BOOST_TEST(caller.RunsOf(key) == 1);
}

BOOST_AUTO_TEST_CASE(during_its_run_waits_for_the_answer) {
  ForTargets("slow", 20);
  auto first = std::async(std::launch::async,
                          [&] { return caller.Reserve(Home(), key); });
  auto second = std::async(std::launch::async,
                           [&] { return caller.Reserve(Other(), key); });
  auto third = std::async(std::launch::async,
                          [&] { return caller.Reserve(Other(1), key); });
  const std::string body = first.get().body;
  BOOST_TEST(!body.empty());
  BOOST_TEST(second.get().body == body);
  BOOST_TEST(third.get().body == body);
  BOOST_TEST(caller.RunsOf(key) == 1);
}

BOOST_AUTO_TEST_CASE(with_another_body_is_refused) {
  (void)caller.Reserve(Home(), key);
  for (const std::string& entry : {Home(), Other()}) {
    const Seen other = caller.Reserve(entry, key, "another mirror");
    BOOST_TEST(other.status == 422);
    BOOST_TEST(other.reason == "key-reused");
  }
  BOOST_TEST(caller.RunsOf(key) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_home_fails)

BOOST_AUTO_TEST_CASE(by_a_kill_before_the_run_is_unknown_and_never_runs) {
  fleet->Signal(Home(), SIGKILL);
  const Seen seen = caller.Reserve(Other(), key);
  BOOST_TEST(seen.outcome == "unknown");
  BOOST_TEST(seen.reason == "home-unreachable");
  BOOST_TEST(caller.RunsOf(key) == 0);
}

BOOST_AUTO_TEST_CASE(by_a_kill_during_the_run_is_unknown_and_runs_once) {
  ForTargets("slow", 20);
  auto first = std::async(std::launch::async,
                          [&] { return caller.Reserve(Other(), key); });
  BOOST_REQUIRE(Fleet::Await([&] { return caller.RunsOf(key) == 1; }));
  fleet->Signal(Home(), SIGKILL);
  BOOST_TEST(first.get().outcome == "unknown");
  BOOST_TEST(caller.Reserve(Other(1), key).outcome == "unknown");
  BOOST_TEST(caller.RunsOf(key) == 1);
}

BOOST_AUTO_TEST_CASE(and_comes_back_is_unknown_and_runs_once) {
  (void)caller.Reserve(Home(), key);
  const std::string home = Home();
  fleet->Signal(home, SIGKILL);
  fleet->Start(home);
  BOOST_REQUIRE(Fleet::Await([&] {
    const Seen seen = caller.Reserve(Other(), key);
    return seen.reason == "key-expired";
  }));
  BOOST_TEST(caller.Reserve(home, key).outcome == "unknown");
  BOOST_TEST(caller.RunsOf(key) == 1);
}

BOOST_AUTO_TEST_CASE(by_a_freeze_is_unknown_until_it_thaws) {
  fleet->Signal(Home(), SIGSTOP);
  const Seen during = caller.Reserve(Other(), key);
  BOOST_TEST(during.outcome == "unknown");
  fleet->Signal(Home(), SIGCONT);
  BOOST_REQUIRE(
      Fleet::Await([&] { return caller.Reserve(Other(), key).status == 200; }));
  BOOST_TEST(caller.RunsOf(key) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_answer_comes_after_its_deadline)

BOOST_AUTO_TEST_CASE(is_unknown_at_the_deadline_and_then_gets_the_answer) {
  ForTargets("late_ms", 3'000);
  BOOST_TEST(caller.Reserve(Other(), key).reason == "deadline");
  BOOST_REQUIRE(
      Fleet::Await([&] { return caller.Reserve(Home(), key).status == 200; }));
  BOOST_TEST(caller.RunsOf(key) == 1);
}

BOOST_AUTO_TEST_CASE(gets_it_also_when_its_home_was_frozen_meanwhile) {
  ForTargets("late_ms", 500);
  auto first = std::async(std::launch::async,
                          [&] { return caller.Reserve(Other(), key); });
  BOOST_REQUIRE(Fleet::Await([&] { return caller.RunsOf(key) == 1; }));
  fleet->Signal(Home(), SIGSTOP);
  BOOST_TEST(first.get().outcome == "unknown");
  fleet->Signal(Home(), SIGCONT);
  BOOST_REQUIRE(
      Fleet::Await([&] { return caller.Reserve(Other(), key).status == 200; }));
  BOOST_TEST(caller.RunsOf(key) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_caller_leaves_during_the_run)

BOOST_AUTO_TEST_CASE(runs_to_its_end_and_keeps_the_answer) {
  ForTargets("slow", 20);
  caller.ReserveAndLeave(Home(), key, 100ms);
  const Seen again = caller.Reserve(Other(), key);
  BOOST_TEST(again.status == 200);
  BOOST_TEST(caller.RunsOf(key) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_answer_is_lost_after_the_run)

BOOST_AUTO_TEST_CASE(is_unknown_however_often_it_is_sent) {
  ForTargets("reset_percent", 100);
  for (const std::string& entry : {Home(), Other(), Home()}) {
    BOOST_TEST(caller.Reserve(entry, key).outcome == "unknown");
  }
  BOOST_TEST(caller.RunsOf(key) == 1);
}

BOOST_AUTO_TEST_CASE(is_unknown_if_the_answer_is_cut) {
  ForTargets("truncate_percent", 100);
  BOOST_TEST(caller.Reserve(Home(), key).outcome == "unknown");
  ForTargets("truncate_percent", 0);
  BOOST_TEST(caller.Reserve(Other(), key).outcome == "unknown");
  BOOST_TEST(caller.RunsOf(key) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_the_callers_own_key)

BOOST_AUTO_TEST_CASE(runs_once_through_whichever_entries) {
  const Seen first = caller.Reserve("entry-1", "own-1");
  BOOST_TEST(first.status == 200);
  BOOST_TEST(caller.Reserve("entry-2", "own-1").body == first.body);
  BOOST_TEST(caller.Reserve("entry-3", "own-1").body == first.body);
  BOOST_TEST(caller.RunsOf("own-1") == 1);
}

BOOST_AUTO_TEST_CASE(runs_once_when_the_answer_to_its_claim_is_lost) {
  fleet->Fault("platform", "lose_answers", 1);
  BOOST_TEST(caller.Reserve("entry-1", "own-2").status == 200);
  BOOST_TEST(caller.Reserve("entry-2", "own-2").status == 200);
  BOOST_TEST(caller.RunsOf("own-2") == 1);
}

BOOST_AUTO_TEST_CASE(does_not_run_while_the_platform_is_down) {
  fleet->Fault("platform", "down", 1);
  const Seen seen = caller.Reserve("entry-1", "own-3");
  BOOST_TEST(seen.reason == "key-not-claimed");
  BOOST_TEST(caller.RunsOf("own-3") == 0);
  BOOST_TEST(caller.Reserve(Home(), key).status == 200);
  fleet->Fault("platform", "down", 0);
  BOOST_TEST(caller.Reserve("entry-2", "own-3").status == 200);
  BOOST_TEST(caller.RunsOf("own-3") == 1);
}

BOOST_AUTO_TEST_CASE(is_unknown_after_its_home_was_killed) {
  (void)caller.Reserve("entry-1", "own-4");
  fleet->Signal("entry-1", SIGKILL);
  BOOST_TEST(caller.Reserve("entry-2", "own-4").outcome == "unknown");
  BOOST_TEST(caller.RunsOf("own-4") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_claim_of_a_callers_own_key)

BOOST_AUTO_TEST_CASE(is_deleted_after_its_retention_whoever_made_it) {
  const auto fleet = Fleet::Builder{}
                         .WithEntries(2)
                         .WithTargets(1)
                         .WithSetting("keys.retention=1s")
                         .WithSetting("keys.claim-retention=5s")
                         .WithSetting("keys.claim-sweep=100ms")
                         .Build();
  const Caller caller{*fleet};
  const auto claims = [&] {
    const auto outcome = Fleet::Send(
        fleet->AddressOf("platform"),
        {.method = "GET", .target = "/table/rows?prefix=keys/&limit=10"});
    return core::Succeeded(outcome)
               ? nlohmann::json::parse(core::ValueOf(outcome).body)
                     .at("rows")
                     .size()
               : 0;
  };
  BOOST_TEST(caller.Reserve("entry-1", "own-5").status == 200);
  BOOST_TEST(claims() == 1U);
  fleet->Signal("entry-1", SIGKILL);
  BOOST_TEST(Fleet::Await([&] { return claims() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(many_reservations_under_random_faults, Fixture)

BOOST_AUTO_TEST_CASE(run_at_most_once_and_not_run_is_true) {
  ForTargets("reset_percent", 3);
  auto with_prefix = fleet->Drive(
      {"--callers", "20", "--rate", "150", "--seconds", "6", "--attempts", "6",
       "--reserve-percent", "60", "--name", "prefix", "--list-not-run"});
  auto own = fleet->Drive({"--callers", "10", "--rate", "50", "--seconds", "6",
                           "--attempts", "6", "--reserve-percent", "60",
                           "--name", "own", "--own-keys", "--list-not-run"});
  std::this_thread::sleep_for(1s);
  fleet->Signal("entry-2", SIGKILL);
  std::this_thread::sleep_for(700ms);
  fleet->Signal("entry-3", SIGSTOP);
  std::this_thread::sleep_for(700ms);
  fleet->Signal("entry-3", SIGCONT);
  fleet->Start("entry-2");
  std::this_thread::sleep_for(1s);
  fleet->Fault("platform", "lose_answers", 5);
  fleet->Signal("entry-1", SIGKILL);
  fleet->Start("entry-1");
  const auto reports = {with_prefix->Report(), own->Report()};
  for (const auto& report : reports) {
    BOOST_TEST(report.at("wrong").get<int>() == 0);
    BOOST_TEST(report.at("answered").get<int>() > 0);
    BOOST_TEST_MESSAGE(report.dump());
  }
  for (const char* target : {"stock-1", "stock-2"}) {
    const auto counts = fleet->Counts(target);
    BOOST_TEST(counts.at("keys_run_twice").get<int>() == 0);
    for (const auto& report : reports) {
      for (const auto& call : report.at("not_run_calls")) {
        BOOST_TEST(
            !counts.at("runs_by_call").contains(call.get<std::string>()));
      }
    }
  }
  const auto first = fleet->Counts("stock-1").at("runs_by_key");
  const auto second = fleet->Counts("stock-2").at("runs_by_key");
  for (const auto& [key, runs] : first.items()) {
    BOOST_TEST(!second.contains(key), key);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
