#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <string>

#include "fleet/fleet.h"

namespace trefoilbend::tests {

namespace {

struct Fixture {
  std::unique_ptr<Fleet> fleet = Fleet::Builder{}
                                     .WithEntries(2)
                                     .WithTargets(2, {"--service-us", "1000"})
                                     .Build();

  /** Asks an instance for a manual; an answer that broke is no success. */
  [[nodiscard]] http::ResponseOutcome Get(
      const std::string& instance,
      const std::string& path = "/sheet/7?bytes=400000") const {
    return Fleet::Send(this->fleet->AddressOf(instance),
                       {.method = "GET",
                        .target = path,
                        .fields = {{"Host", "stock"}, {"Call-Id", "c"}},
                        .body = {}});
  }

  [[nodiscard]] std::string Body(const std::string& instance) const {
    const auto outcome = this->Get(instance);
    BOOST_REQUIRE(core::Succeeded(outcome));
    return core::ValueOf(outcome).body;
  }

  void ForTargets(const std::string& fault, const std::int64_t value) const {
    this->fleet->Fault("stock-1", fault, value);
    this->fleet->Fault("stock-2", fault, value);
  }

  /** Answers that held the rest of a manual. */
  [[nodiscard]] int Ranges() const {
    return this->fleet->Counts("stock-1").at("ranges").get<int>() +
           this->fleet->Counts("stock-2").at("ranges").get<int>();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_download_that_breaks_on_the_way, Fixture)

BOOST_AUTO_TEST_CASE(goes_on_at_another_target_and_arrives_whole) {
  const std::string whole = Body("stock-1");
  ForTargets("truncate_next", 1);
  BOOST_TEST((Body("entry-1") == whole));
  BOOST_TEST(Ranges() == 2);
}

BOOST_AUTO_TEST_CASE(goes_on_at_the_same_target_if_there_is_no_other) {
  const std::string whole = Body("stock-1");
  fleet->Signal("stock-2", SIGKILL);
  fleet->Fault("stock-1", "truncate_next", 2);
  BOOST_TEST((Body("entry-1") == whole));
  BOOST_TEST(fleet->Counts("stock-1").at("ranges").get<int>() == 2);
}

BOOST_AUTO_TEST_CASE(breaks_the_callers_connection_if_the_manual_changed) {
  fleet->Fault("stock-2", "edition", 2);
  ForTargets("truncate_next", 1);
  BOOST_TEST(!core::Succeeded(Get("entry-1")));
  BOOST_TEST(Ranges() == 0);
}

BOOST_AUTO_TEST_CASE(breaks_the_callers_connection_if_it_never_gets_further) {
  ForTargets("truncate_percent", 100);
  BOOST_TEST(!core::Succeeded(Get("entry-1")));
}

BOOST_AUTO_TEST_CASE(breaks_the_callers_connection_without_a_validator) {
  ForTargets("truncate_percent", 100);
  BOOST_TEST(!core::Succeeded(Get("entry-1", "/lookup?bytes=400000")));
  BOOST_TEST(Ranges() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::tests
