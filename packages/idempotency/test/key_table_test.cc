#include "trefoilbend/idempotency/key_table.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

namespace trefoilbend::idempotency {

namespace {

using namespace std::chrono_literals;
using core::RefusalReason;
using core::RunState;

constexpr core::Incarnation kRun{3};
constexpr core::CallId kFirst{1};
constexpr core::CallId kSecond{2};
constexpr core::CallId kThird{3};

KeptAnswer MakeAnswer(const std::string& body) {
  return std::make_shared<const core::AnswerHead>(core::AnswerHead{
      .status = 200, .fields = {}, .body = body, .complete = true});
}

struct Fixture {
  [[nodiscard]] Key MakeKey(const std::string& text) const {
    return {.home = {.entry = core::InstanceName{"entry-1"},
                     .incarnation = kRun,
                     .issued = this->issued},
            .service = core::ServiceName{"stock"},
            .text = text};
  }

  [[nodiscard]] Verdict Admit(const Key& key, const core::CallId waiter,
                              const RequestDigest& digest = {}) {
    return this->table.Admit(key, digest, waiter, this->now);
  }

  void RunAndFinish(const Key& key, const Result& result) {
    BOOST_REQUIRE(std::holds_alternative<RunCall>(this->Admit(key, kFirst)));
    (void)this->table.Finish(key, result);
  }

  IssueTime issued{1'000s};
  IssueTime now{1'000s};
  KeyTable table{{.self = core::InstanceName{"entry-1"},
                  .incarnation = kRun,
                  .retention = 60s,
                  .clock_skew = 10s,
                  .keys = 2,
                  .answer_bytes = 100}};
};

core::Refusal RefusalOf(const Verdict& verdict) {
  BOOST_REQUIRE(std::holds_alternative<KeyRefused>(verdict));
  return std::get<KeyRefused>(verdict).refusal;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_table_of_keys, Fixture)

BOOST_AUTO_TEST_CASE(runs_a_new_key) {
  BOOST_TEST(std::holds_alternative<RunCall>(Admit(MakeKey("a"), kFirst)));
}

BOOST_AUTO_TEST_SUITE(when_a_key_comes_again)

BOOST_AUTO_TEST_CASE(lets_a_repeat_wait_during_the_run) {
  const Key key = MakeKey("a");
  (void)Admit(key, kFirst);
  BOOST_TEST(std::holds_alternative<AwaitRun>(Admit(key, kSecond)));
  (void)Admit(key, kThird);
  table.Leave(key, kFirst);
  BOOST_TEST((table.Finish(key, MakeAnswer("x")) ==
              std::vector<core::CallId>{kSecond, kThird}));
}

BOOST_AUTO_TEST_CASE(gives_the_first_answer_after_the_run) {
  RunAndFinish(MakeKey("a"), MakeAnswer("granted"));
  const Verdict verdict = Admit(MakeKey("a"), kSecond);
  BOOST_REQUIRE(std::holds_alternative<ReplayResult>(verdict));
  const Result& result = std::get<ReplayResult>(verdict).result;
  BOOST_TEST(std::get<KeptAnswer>(result)->body == "granted");
}

BOOST_AUTO_TEST_CASE(gives_an_unknown_outcome_again) {
  RunAndFinish(MakeKey("a"), core::Refusal{.run = RunState::kUnknown});
  BOOST_TEST(
      std::holds_alternative<ReplayResult>(Admit(MakeKey("a"), kSecond)));
}

BOOST_AUTO_TEST_CASE(runs_it_if_it_has_not_run) {
  RunAndFinish(MakeKey("a"), core::Refusal{.run = RunState::kNotRun});
  BOOST_TEST(table.Size() == 0U);
  BOOST_TEST(std::holds_alternative<RunCall>(Admit(MakeKey("a"), kSecond)));
}

BOOST_AUTO_TEST_CASE(refuses_it_with_another_request) {
  (void)Admit(MakeKey("a"), kFirst);
  const auto refusal = RefusalOf(Admit(MakeKey("a"), kSecond, {.low = 1}));
  BOOST_TEST((refusal.reason == RefusalReason::kKeyReused));
}

BOOST_AUTO_TEST_CASE(tells_services_apart) {
  (void)Admit(MakeKey("a"), kFirst);
  Key other = MakeKey("a");
  other.service = core::ServiceName{"catalogue"};
  BOOST_TEST(std::holds_alternative<RunCall>(Admit(other, kSecond)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(as_time_passes)

BOOST_AUTO_TEST_CASE(refuses_a_key_as_unknown_from_when_it_may_forget_it) {
  RunAndFinish(MakeKey("a"), MakeAnswer("granted"));
  now += 60s;
  table.Expire(now);
  BOOST_TEST(
      std::holds_alternative<ReplayResult>(Admit(MakeKey("a"), kSecond)));
  now += 1ms;
  table.Expire(now);
  const auto refusal = RefusalOf(Admit(MakeKey("a"), kSecond));
  BOOST_TEST((refusal.run == RunState::kUnknown));
  BOOST_TEST((refusal.reason == RefusalReason::kKeyExpired));
  now += 1s;
  table.Expire(now);
  BOOST_TEST(table.Size() == 0U);
  BOOST_TEST(table.AnswerBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(keeps_a_key_that_still_runs) {
  (void)Admit(MakeKey("a"), kFirst);
  now += 120s;
  table.Expire(now);
  BOOST_TEST(table.Size() == 1U);
  BOOST_TEST(table.Finish(MakeKey("a"), MakeAnswer("x")).size() == 1U);
}

BOOST_AUTO_TEST_CASE(never_goes_back_with_the_clock) {
  table.Expire(now + 120s);
  BOOST_TEST(
      (RefusalOf(Admit(MakeKey("a"), kFirst)).run == RunState::kUnknown));
}

BOOST_AUTO_TEST_CASE(refuses_a_key_of_the_future_as_not_run) {
  issued = now + 11s;
  BOOST_TEST((RefusalOf(Admit(MakeKey("a"), kFirst)).run == RunState::kNotRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_its_bounds)

BOOST_AUTO_TEST_CASE(refuses_a_new_key_as_not_run_and_forgets_no_old_one) {
  RunAndFinish(MakeKey("a"), MakeAnswer("x"));
  RunAndFinish(MakeKey("b"), MakeAnswer("x"));
  const auto refusal = RefusalOf(Admit(MakeKey("c"), kThird));
  BOOST_TEST((refusal.run == RunState::kNotRun));
  BOOST_TEST((refusal.reason == RefusalReason::kBusy));
  BOOST_TEST(std::holds_alternative<ReplayResult>(Admit(MakeKey("a"), kThird)));
}

BOOST_AUTO_TEST_CASE(says_that_a_key_has_run_whose_answer_it_cannot_keep) {
  RunAndFinish(MakeKey("a"), MakeAnswer(std::string(101, 'x')));
  const Verdict verdict = Admit(MakeKey("a"), kSecond);
  BOOST_REQUIRE(std::holds_alternative<ReplayResult>(verdict));
  const auto& refusal =
      std::get<core::Refusal>(std::get<ReplayResult>(verdict).result);
  BOOST_TEST((refusal.run == RunState::kUnknown));
  BOOST_TEST((refusal.reason == RefusalReason::kAnswerNotKept));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_key_of_another_home)

BOOST_AUTO_TEST_CASE(says_unknown_for_an_earlier_run_of_this_entry) {
  Key key = MakeKey("a");
  key.home.incarnation = core::Incarnation{2};
  BOOST_TEST((RefusalOf(Admit(key, kFirst)).run == RunState::kUnknown));
}

BOOST_AUTO_TEST_CASE(says_unknown_for_another_entry) {
  Key key = MakeKey("a");
  key.home.entry = core::InstanceName{"entry-2"};
  BOOST_TEST((RefusalOf(Admit(key, kFirst)).run == RunState::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::idempotency
