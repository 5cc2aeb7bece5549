#include "soak/judge.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace trefoilbend::soak {

namespace {

using nlohmann::json;

struct Fixture {
  void Ran(const std::string& key, const std::string& call) {
    this->judge.AddTarget(
        {{"runs_by_key", {{key, 1}}}, {"runs_by_call", {{call, 1}}}});
  }

  void Refused(const std::string& call) {
    this->judge.AddCallers(
        {{"wrong", 0}, {"not_run_calls", json::array({call})}});
  }

  Judge judge;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_judge_of_a_run, Fixture)

BOOST_AUTO_TEST_CASE(finds_nothing_in_a_good_run) {
  Ran("key-1", "call-1");
  Ran("key-2", "call-2");
  Refused("call-3");
  judge.AddAccepted("entry-1", 2);
  judge.AddAccepted("entry-2", 3);
  BOOST_TEST(judge.Violations().empty());
  BOOST_TEST(judge.NewestAccepted() == 3U);
}

BOOST_AUTO_TEST_SUITE(finds)

BOOST_AUTO_TEST_CASE(a_key_that_two_targets_ran) {
  Ran("key-1", "call-1");
  Ran("key-1", "call-2");
  BOOST_TEST(judge.Violations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_call_that_ran_and_was_refused_as_not_run) {
  Refused("call-1");
  Ran("key-1", "call-1");
  BOOST_TEST(judge.Violations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_wrong_answer) {
  judge.AddCallers({{"wrong", 1}, {"not_run_calls", json::array()}});
  BOOST_TEST(judge.Violations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(two_changes_with_one_revision) {
  judge.AddAccepted("entry-1", 2);
  judge.AddAccepted("entry-2", 2);
  BOOST_TEST(judge.Violations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_missing_report) {
  judge.AddCallers(nullptr);
  judge.AddTarget(nullptr);
  BOOST_TEST(judge.Violations().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::soak
