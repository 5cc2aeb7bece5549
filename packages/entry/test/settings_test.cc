#include "trefoilbend/entry/settings.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace trefoilbend::entry {

namespace {

constexpr const char* kText = R"([entry]
name = entry-1
[callers]
address = 127.0.0.1:7001
keep = 3s
[platform]
address = 127.0.0.1:7900
[operations]
address = 127.0.0.1:7101
[log]
level = warn
callers = debug
)";

core::Outcome<Settings, settings::Mistakes> Read(const std::string& text) {
  return ReadSettings(
      core::ValueOf(settings::Document::Parse("entry.ini", text)));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(the_settings_of_an_entry)

BOOST_AUTO_TEST_CASE(are_read_with_defaults) {
  const auto outcome = Read(kText);
  BOOST_REQUIRE(core::Succeeded(outcome));
  const Settings& settings = core::ValueOf(outcome);
  BOOST_TEST((settings.callers.keep == std::chrono::seconds{3}));
  BOOST_TEST(settings.balancing.strategy == "adaptive");
  BOOST_TEST(settings.log_levels.at("callers") == "debug");
  BOOST_TEST(settings.log_levels.at("operations") == "warn");
}

BOOST_AUTO_TEST_CASE(tell_when_a_stopping_process_is_killed) {
  BOOST_TEST(!core::ValueOf(Read(kText)).callers.grace.has_value());
  std::string text{kText};
  text.replace(text.find("keep = 3s"), 9, "grace = 2.5s");
  const auto outcome = Read(text);
  BOOST_REQUIRE(core::Succeeded(outcome));
  BOOST_TEST((core::ValueOf(outcome).callers.grace ==
              std::chrono::milliseconds{2'500}));
}

BOOST_AUTO_TEST_CASE(give_request_bodies_half_of_the_memory) {
  constexpr std::uint64_t kMebibyte = 1U << 20U;
  std::string text{kText};
  text.replace(text.find("[callers]"), 9, "memory = 260 MiB\n[callers]");
  BOOST_TEST(core::ValueOf(Read(text)).callers.limits.bodies ==
             130 * kMebibyte);
  text.replace(text.find("keep = 3s"), 9, "max-bodies = 70 MiB");
  BOOST_TEST(core::ValueOf(Read(text)).callers.limits.bodies == 70 * kMebibyte);
}

BOOST_AUTO_TEST_CASE(bound_request_bodies_where_the_memory_is_not_known) {
  const std::uint64_t usual = core::ValueOf(Read(kText)).callers.limits.bodies;
  std::string text{kText};
  text.replace(text.find("[callers]"), 9, "memory = 0 MiB\n[callers]");
  BOOST_TEST(usual > 0);
  BOOST_TEST(core::ValueOf(Read(text)).callers.limits.bodies == usual);
}

BOOST_AUTO_TEST_CASE(give_each_process_random_numbers_of_its_own) {
  const auto one = Read(kText);
  const auto other = Read(kText);
  BOOST_TEST(core::ValueOf(one).callers.seed !=
             core::ValueOf(other).callers.seed);
  BOOST_TEST(core::ValueOf(one).balancing.seed !=
             core::ValueOf(other).balancing.seed);
}

BOOST_AUTO_TEST_CASE(take_a_log_level_for_each_part) {
  for (const std::string part :
       {"callers", "relay", "configuration", "operations", "rollout",
        "membership", "entry"}) {
    std::string text{kText};
    text.replace(text.find("callers = debug"), 15, part + " = trace");
    const auto outcome = Read(text);
    BOOST_REQUIRE_MESSAGE(core::Succeeded(outcome), part);
    BOOST_TEST(core::ValueOf(outcome).log_levels.at(part) == "trace");
  }
}

BOOST_AUTO_TEST_SUITE(with_mistakes)

BOOST_AUTO_TEST_CASE(are_refused_with_all_of_them) {
  const auto outcome = Read(
      "[entry]\n[callers]\naddress = localhost:1\nkeep = 3\ncolour = red\n"
      "[balancing]\nstrategy = best\n[colours]\nx = 1\n[operations]\naddress = "
      "127.0.0.1:7101\n");
  BOOST_REQUIRE(!core::Succeeded(outcome));
  std::vector<std::string> places;
  for (const settings::Mistake& mistake : core::ProblemOf(outcome)) {
    places.push_back(mistake.place + ' ' + mistake.key);
  }
  const std::vector<std::string> expected{
      "section [colours] ",         "section [entry] name",
      "section [callers] address",  "section [callers] keep",
      "section [callers] colour",   "section [balancing] strategy",
      "section [platform] address",
  };
  BOOST_TEST(places == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(names_bounds_of_connections_that_are_out_of_range) {
  const auto outcome = Read(
      "[forwarding]\nshare-delay = 1h\nconnection-percent = 101\n"
      "idle-timeout = 1ms\n");
  BOOST_REQUIRE(!core::Succeeded(outcome));
  std::vector<std::string> keys;
  for (const settings::Mistake& mistake : core::ProblemOf(outcome)) {
    if (mistake.place == "section [forwarding]") {
      keys.push_back(mistake.key);
    }
  }
  const std::vector<std::string> expected{"share-delay", "connection-percent",
                                          "idle-timeout"};
  BOOST_TEST(keys == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::entry
