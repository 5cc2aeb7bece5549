#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "calls/caller.h"
#include "trefoilbend/idempotency/key.h"

namespace trefoilbend::tests {

namespace {

using namespace std::chrono_literals;

/** Calls that are sent at once. */
constexpr std::size_t kWave = 20;

/** Calls that were refused as not run, by the reason that was given. */
using NotRunCalls = std::map<std::string, std::vector<std::string>>;

/** Small targets and queues, so that a few calls at a time are too many. */
struct Fixture {
  explicit Fixture(const std::string& rule = "no",
                   const std::uint32_t connections = 200)
      : fleet(
            Fleet::Builder{}
                .WithEntries(3)
                .WithTargets(2, {"--service-us", "30000", "--slots", "1",
                                 "--queue", "1"})
                .WithConnections(connections)
                .WithSetting("balancing.queue=2")
                .WithSetting("forwarding.share-delay=0ms")
                .WithRules("[service stock]\ntimeout = 2s\ntrust-refusals = " +
                           rule + '\n')
                .Build()) {}

  /** A reservation with an identity of its own. */
  [[nodiscard]] http::Request Reservation(
      std::vector<std::pair<std::string, std::string>> fields = {}) {
    fields.emplace_back("Call-Id", "call-" + std::to_string(++this->calls));
    return {.method = "POST",
            .target = "/reserve",
            .fields = std::move(fields),
            .body = "mirror"};
  }

  [[nodiscard]] std::future<http::ResponseOutcome> Start(
      const std::string& entry, const http::Request& request) const {
    return std::async(std::launch::async, [this, entry, request] {
      return Fleet::Send(this->fleet->AddressOf(entry), request);
    });
  }

  /** Sends requests to an entry at once and notes what was not run. */
  void Send(const std::string& entry, const std::vector<http::Request>& all) {
    std::vector<std::future<http::ResponseOutcome>> outcomes;
    outcomes.reserve(all.size());
    for (const http::Request& request : all) {
      outcomes.push_back(this->Start(entry, request));
    }
    for (std::size_t at = 0; at < all.size(); ++at) {
      const auto outcome = outcomes[at].get();
      if (core::Succeeded(outcome)) {
        this->Note(all[at], core::ValueOf(outcome));
      }
    }
  }

  void Note(const http::Request& request, const http::Response& response) {
    const auto field = [&](const char* name) {
      return std::string{http::FindField(response.fields, name).value_or("")};
    };
    if (field("Trefoilbend-Outcome") == "not-run") {
      const std::string reason = field("Trefoilbend-Reason");
      this->not_run[reason.empty() ? std::to_string(response.status) : reason]
          .emplace_back(*http::FindField(request.fields, "Call-Id"));
    }
  }

  /** Sends reservations in waves of 20. */
  void Flood(const std::string& entry, const int waves,
             const std::vector<std::pair<std::string, std::string>>& fields = {
                 {"Host", "stock"}}) {
    for (int wave = 0; wave < waves; ++wave) {
      std::vector<http::Request> all;
      all.reserve(kWave);
      for (std::size_t call = 0; call < kWave; ++call) {
        all.push_back(this->Reservation(fields));
      }
      this->Send(entry, all);
    }
  }

  /** Counts the calls that were refused as not run and yet were handled. */
  [[nodiscard]] int False(const std::string& reason) const {
    int handled = 0;
    for (const char* target : {"stock-1", "stock-2"}) {
      const auto runs = this->fleet->Counts(target).at("runs_by_call");
      const auto found = this->not_run.find(reason);
      if (found != this->not_run.end()) {
        for (const std::string& call : found->second) {
          handled += runs.contains(call) ? 1 : 0;
        }
      }
    }
    return handled;
  }

  /** Refusals that the targets gave. */
  [[nodiscard]] int Shed() const {
    return this->fleet->Counts("stock-1").at("shed").get<int>() +
           this->fleet->Counts("stock-2").at("shed").get<int>();
  }

  /** Holds the refusals of a reason against what the targets handled. */
  void CheckThatNoneRan(const std::string& reason, const std::size_t least) {
    BOOST_TEST_CONTEXT(reason) {
      BOOST_TEST_MESSAGE(reason << ": " << this->not_run[reason].size());
      BOOST_TEST(this->not_run[reason].size() >= least);
      BOOST_TEST(this->False(reason) == 0);
    }
  }

  std::unique_ptr<Fleet> fleet;
  NotRunCalls not_run;
  int calls = 0;
};

/** An entry has two calls in flight at each target, and two wait. */
struct WithFewConnections : Fixture {
  WithFewConnections() : Fixture("no", 6) {}
};

struct WithTrust : Fixture {
  WithTrust() : Fixture("yes") {}
};

}  // namespace

BOOST_AUTO_TEST_SUITE(a_refusal_that_says_not_run)

BOOST_FIXTURE_TEST_CASE(is_true_for_each_reason, WithFewConnections) {
  Flood("entry-1", 2, {{"Host", "glass"}});
  CheckThatNoneRan("unknown-service", 40);

  fleet->Fault("stock-1", "slow", 100);
  fleet->Fault("stock-2", "slow", 100);
  std::vector<std::future<http::ResponseOutcome>> in_the_way;
  in_the_way.reserve(4);
  for (int call = 0; call < 4; ++call) {
    in_the_way.push_back(Start("entry-1", Reservation({{"Host", "stock"}})));
  }
  BOOST_REQUIRE(Fleet::Await([&] {
    return fleet->Counts("stock-1").at("running") == 1 &&
           fleet->Counts("stock-2").at("running") == 1;
  }));
  Flood("entry-1", 10, {{"Host", "stock"}, {"Trefoilbend-Timeout", "40"}});
  in_the_way.clear();
  CheckThatNoneRan("deadline", 10);
  CheckThatNoneRan("busy", 50);
  fleet->Fault("stock-1", "slow", 0);
  fleet->Fault("stock-2", "slow", 0);
  BOOST_REQUIRE(Fleet::Await([&] {
    const auto outcome = Fleet::Send(fleet->AddressOf("entry-1"),
                                     Reservation({{"Host", "stock"}}));
    return core::Succeeded(outcome) && core::ValueOf(outcome).status == 200;
  }));

  Flood("entry-1", 1, {{"Host", "stock"}, {"Large", std::string(20'000, 'a')}});
  CheckThatNoneRan("431", 20);

  const Caller caller{*fleet};
  auto ahead = idempotency::ParseHome(caller.PrefixFrom("entry-1") + "1");
  BOOST_REQUIRE(ahead.has_value());
  const std::string used = idempotency::FormatPrefix(*ahead) + "used";
  Flood(ahead->entry.Text(), 1,
        {{"Host", "stock"}, {"Idempotency-Key", used}, {"Accept", "a"}});
  std::vector<http::Request> others;
  for (int call = 0; call < 20; ++call) {
    others.push_back(
        Reservation({{"Host", "stock"}, {"Idempotency-Key", used}}));
    others.back().body = "another mirror";
  }
  Send("entry-2", others);
  CheckThatNoneRan("key-reused", 20);
  ahead->issued += 1h;
  Flood("entry-1", 1,
        {{"Host", "stock"},
         {"Idempotency-Key", idempotency::FormatPrefix(*ahead) + "early"}});
  CheckThatNoneRan("key-not-yet-valid", 20);

  fleet->List("stock-1", "leaving");
  fleet->List("stock-2", "leaving");
  BOOST_REQUIRE(Fleet::Await([&] {
    Flood("entry-1", 1);
    return this->not_run["no-target"].size() >= 20;
  }));
  CheckThatNoneRan("no-target", 20);

  fleet->Fault("platform", "down", 1);
  fleet->Signal("entry-2", SIGSTOP);
  fleet->Signal("entry-3", SIGSTOP);
  BOOST_REQUIRE(Fleet::Await([&] {
    Flood("entry-1", 1);
    return this->not_run["not-ready"].size() >= 20;
  }));
  CheckThatNoneRan("not-ready", 20);
}

BOOST_FIXTURE_TEST_CASE(is_true_when_nothing_could_be_sent, Fixture) {
  fleet->Signal("stock-1", SIGKILL);
  fleet->Signal("stock-2", SIGKILL);
  Flood("entry-1", 2);
  BOOST_TEST(not_run["target-failed"].size() == 40U);
}

BOOST_AUTO_TEST_SUITE(because_the_target_refused)

BOOST_FIXTURE_TEST_CASE(is_said_only_where_a_rule_trusts_refusals, Fixture) {
  Flood("entry-1", 10);
  BOOST_TEST(Shed() > 10);
  CheckThatNoneRan("busy", 0);
  BOOST_TEST(not_run["target-failed"].size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(is_true_of_a_target_that_is_honest, WithTrust) {
  Flood("entry-1", 10);
  BOOST_TEST(Shed() > 10);
  CheckThatNoneRan("busy", 20);
}

/** REFUSED: the copy of a refusal, which names no request here, was believed of
 * the next request on its connection, which ran. */
BOOST_FIXTURE_TEST_CASE(is_true_of_a_target_that_writes_it_twice, WithTrust) {
  for (const char* target : {"stock-1", "stock-2"}) {
    fleet->Fault(target, "repeat_refusals", 1);
  }
  Flood("entry-1", 10);
  BOOST_TEST(Shed() > 10);
  CheckThatNoneRan("busy", 20);
}

BOOST_FIXTURE_TEST_CASE(is_found_out_when_the_rule_trusts_a_liar, WithTrust) {
  for (const char* target : {"stock-1", "stock-2"}) {
    fleet->Fault(target, "refuse_after_run_percent", 100);
  }
  Flood("entry-1", 2);
  BOOST_TEST(False("busy") > 0);
}

BOOST_FIXTURE_TEST_CASE(is_not_said_of_a_liar_without_the_rule, Fixture) {
  for (const char* target : {"stock-1", "stock-2"}) {
    fleet->Fault(target, "refuse_after_run_percent", 100);
  }
  Flood("entry-1", 2);
  BOOST_TEST(False("busy") == 0);
  BOOST_TEST(fleet->Counts("stock-1").at("handled").get<int>() > 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
