#include "trefoilbend/rollout/release_command.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace trefoilbend::rollout {

using namespace std::chrono_literals;
using inventory::Release;
using inventory::ReleaseState;

namespace {

struct Fixture {
  std::chrono::sys_seconds now{1h};
  inventory::Configuration::Builder builder;

  Fixture() {
    this->builder.Put(inventory::Service{.name = core::ServiceName{"stock"},
                                         .version = core::VersionName{"1"}});
    inventory::Instance target;
    target.name = core::InstanceName{"stock-9"};
    target.service = core::ServiceName{"stock"};
    target.version = core::VersionName{"2"};
    this->builder.Put(target);
  }

  void Put(const ReleaseState state) {
    this->builder.Put(Release{.name = core::ServiceName{"stock"},
                              .version = core::VersionName{"2"},
                              .state = state,
                              .step = 2,
                              .share = 50});
  }

  auto Ask(const std::string& action, const std::string& version = "2",
           const std::string& service = "stock",
           const std::chrono::seconds wait = 10min) {
    const auto configuration = this->builder.Build();
    this->builder = inventory::Configuration::Builder{*configuration};
    return PrepareCommand(*configuration,
                          {.action = action,
                           .service = core::ServiceName{service},
                           .version = core::VersionName{version},
                           .deadline = this->now + wait},
                          this->now);
  }

  Release After(const std::string& action) {
    const auto prepared = this->Ask(action);
    BOOST_REQUIRE(core::Succeeded(prepared));
    BOOST_REQUIRE(core::ValueOf(prepared).size() == 1);
    return std::get<Release>(*core::ValueOf(prepared).front().after);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_command_about_a_release, Fixture)

BOOST_AUTO_TEST_CASE(begins_one_without_any_share) {
  const Release release = After("begin");
  BOOST_TEST(release.share == 0);
  BOOST_TEST((release.begun == now));
}

BOOST_AUTO_TEST_CASE(is_refused_with_the_reason) {
  BOOST_TEST(!core::Succeeded(Ask("begin", "1")));
  BOOST_TEST(!core::Succeeded(Ask("begin", "3")));
  BOOST_TEST(!core::Succeeded(Ask("begin", "2", "other")));
  BOOST_TEST(!core::Succeeded(Ask("begin", "2", "stock", -1s)));
  BOOST_TEST(!core::Succeeded(Ask("pause")));
  BOOST_TEST(!core::Succeeded(Ask("fly")));
}

BOOST_AUTO_TEST_SUITE(while_one_is_under_way)

BOOST_AUTO_TEST_CASE(pauses_resumes_and_takes_back) {
  Put(ReleaseState::kMoving);
  BOOST_TEST((After("pause").state == ReleaseState::kPaused));
  BOOST_TEST((After("take-back").state == ReleaseState::kTakenBack));
  BOOST_TEST(After("take-back").share == 0);
  Put(ReleaseState::kPaused);
  BOOST_TEST((After("resume").state == ReleaseState::kMoving));
  BOOST_TEST(After("resume").share == 50);
}

BOOST_AUTO_TEST_CASE(begins_no_second_one) {
  Put(ReleaseState::kMoving);
  BOOST_TEST(!core::Succeeded(Ask("begin")));
}

BOOST_AUTO_TEST_CASE(cannot_resume_what_was_taken_back) {
  Put(ReleaseState::kTakenBack);
  BOOST_TEST(!core::Succeeded(Ask("resume")));
  BOOST_TEST(core::Succeeded(Ask("begin")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::rollout
