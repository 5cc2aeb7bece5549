#include "trefoilbend/rollout/version_chooser.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace trefoilbend::rollout {

namespace {

using inventory::ReleaseState;
using std::chrono::seconds;
using std::chrono::sys_seconds;

const core::ServiceName kStock{"stock"};

struct Fixture {
  VersionChooser chooser;
  inventory::Release release{.name = kStock,
                             .version = core::VersionName{"2"},
                             .begun = sys_seconds{seconds{1'000}},
                             .state = ReleaseState::kMoving,
                             .step = 1,
                             .share = 50};

  Fixture() { this->Put(); }

  void Put() {
    inventory::Configuration::Builder builder;
    builder.Put(
        inventory::Service{.name = kStock, .version = core::VersionName{"1"}});
    builder.Put(this->release);
    this->chooser.Configure(*builder.Build());
  }

  int NewOf(const int calls) {
    int chosen = 0;
    for (int call = 0; call < calls; ++call) {
      chosen += this->chooser.Choose(kStock).Text() == "2" ? 1 : 0;
    }
    return chosen;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_chooser_of_versions, Fixture)

BOOST_AUTO_TEST_CASE(gives_the_new_version_its_share_and_never_more) {
  int given = 0;
  for (int calls = 1; calls <= 2'000; ++calls) {
    given += NewOf(1);
    BOOST_REQUIRE(given * 1'000 <= calls * 50);
  }
  BOOST_TEST(given == 100);
}

BOOST_AUTO_TEST_CASE(keeps_its_count_when_the_configuration_changes) {
  int given = 0;
  for (int calls = 0; calls < 100; ++calls) {
    Put();
    given += NewOf(1);
  }
  BOOST_TEST(given == 5);
}

BOOST_AUTO_TEST_CASE(sends_failed_calls_to_the_old_version) {
  BOOST_TEST(chooser.Stable(kStock).Text() == "1");
}

BOOST_AUTO_TEST_CASE(knows_no_version_of_an_unknown_service) {
  BOOST_TEST(chooser.Choose(core::ServiceName{"other"}).Empty());
}

BOOST_AUTO_TEST_SUITE(when_the_release_ends)

BOOST_AUTO_TEST_CASE(uses_the_services_version_alone) {
  for (const auto state : {ReleaseState::kTakenBack, ReleaseState::kDone}) {
    release.state = state;
    Put();
    BOOST_TEST(NewOf(1'000) == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_release_is_braked)

BOOST_AUTO_TEST_CASE(gives_the_new_version_nothing_at_once) {
  (void)NewOf(19);
  chooser.Brake(IdOf(release));
  BOOST_TEST(NewOf(1'000) == 0);
}

BOOST_AUTO_TEST_CASE(stays_braked_over_later_steps) {
  chooser.Brake(IdOf(release));
  release.share = 500;
  Put();
  BOOST_TEST(NewOf(1'000) == 0);
}

BOOST_AUTO_TEST_CASE(serves_another_release_that_operators_begin) {
  chooser.Brake(IdOf(release));
  release.begun += seconds{60};
  Put();
  BOOST_TEST(NewOf(1'000) == 50);
}

BOOST_AUTO_TEST_CASE(takes_a_brake_before_the_release_is_known) {
  ReleaseId later = IdOf(release);
  later.begun += seconds{60};
  chooser.Brake(later);
  Put();
  release.begun = later.begun;
  Put();
  BOOST_TEST(NewOf(1'000) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::rollout
