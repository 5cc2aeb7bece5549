#include "trefoilbend/rollout/apply_files.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace trefoilbend::rollout {

using namespace std::chrono_literals;
using inventory::Release;
using inventory::ReleaseState;

namespace {

const core::ServiceName kStock{"stock"};

struct Fixture {
  std::chrono::sys_seconds now{1h};
  std::string said = "1";
  std::vector<std::string> targets{"1", "2", "3"};
  inventory::ReleaseRule rule{.name = kStock,
                              .version = core::VersionName{"2"},
                              .deadline = this->now + 10min};
  bool has_rule = true;
  inventory::ConfigurationPtr in_force =
      inventory::Configuration::Builder{}.Build();

  [[nodiscard]] inventory::ConfigurationPtr Files() const {
    inventory::Configuration::Builder builder;
    builder.Put(inventory::Service{.name = kStock,
                                   .version = core::VersionName{this->said}});
    for (const std::string& version : this->targets) {
      inventory::Instance target;
      target.name = core::InstanceName{"stock-" + version};
      target.service = kStock;
      target.version = core::VersionName{version};
      builder.Put(target);
    }
    if (this->has_rule) {
      builder.Put(this->rule);
    }
    return builder.Build();
  }

  [[nodiscard]] auto Prepare() const {
    return PrepareApply(*this->in_force, *this->Files(), this->now);
  }

  /** Applies the files; returns the number of changes. */
  std::size_t Apply() {
    const auto prepared = this->Prepare();
    BOOST_REQUIRE(core::Succeeded(prepared));
    inventory::Revised revised;
    revised.changes = core::ValueOf(prepared);
    this->in_force = inventory::Configuration::Builder{*this->in_force}
                         .Apply(revised)
                         .Build();
    return revised.changes.size();
  }

  [[nodiscard]] const Release* Found() const {
    return this->in_force->Find<Release>("stock");
  }

  [[nodiscard]] std::string Version() const {
    return this->in_force->Find<inventory::Service>("stock")->version.Text();
  }

  void End(const ReleaseState state) {
    Release release = *this->Found();
    release.state = state;
    inventory::Service service =
        *this->in_force->Find<inventory::Service>("stock");
    service.version =
        state == ReleaseState::kDone ? release.version : service.version;
    this->in_force = inventory::Configuration::Builder{*this->in_force}
                         .Put(release)
                         .Put(service)
                         .Build();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(files_with_a_release_rule, Fixture)

BOOST_AUTO_TEST_CASE(begin_the_release_once) {
  BOOST_TEST(Apply() == 6);
  BOOST_REQUIRE(Found() != nullptr);
  BOOST_TEST((Found()->deadline == rule.deadline));
  BOOST_TEST(Found()->from.Text() == "1");
  now += 1min;
  BOOST_TEST(Apply() == 0);
}

BOOST_AUTO_TEST_CASE(are_refused_when_a_new_time_has_passed) {
  rule.deadline = now;
  BOOST_TEST(!core::Succeeded(Prepare()));
}

BOOST_AUTO_TEST_SUITE(while_the_release_is_under_way)

BOOST_AUTO_TEST_CASE(give_it_a_new_deadline) {
  Apply();
  const auto begun = Found()->begun;
  now += 1min;
  rule.deadline += 5min;
  BOOST_TEST(Apply() == 2);
  BOOST_TEST((Found()->deadline == rule.deadline));
  BOOST_TEST((Found()->begun == begun));
}

BOOST_AUTO_TEST_CASE(leave_it_alone_when_the_rule_is_removed) {
  Apply();
  has_rule = false;
  BOOST_TEST(Apply() == 1);
  BOOST_TEST((Found()->state == ReleaseState::kMoving));
}

BOOST_AUTO_TEST_CASE(cannot_turn_to_another_version_or_pass_by_the_steps) {
  Apply();
  rule.version = core::VersionName{"3"};
  said = "2";
  const auto prepared = Prepare();
  BOOST_REQUIRE(!core::Succeeded(prepared));
  BOOST_TEST(core::ProblemOf(prepared).size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(after_the_release_was_taken_back)

BOOST_AUTO_TEST_CASE(begin_it_again_only_with_a_new_time) {
  Apply();
  End(ReleaseState::kTakenBack);
  now += 1min;
  BOOST_TEST(Apply() == 0);
  BOOST_TEST((Found()->state == ReleaseState::kTakenBack));
  rule.deadline += 1min;
  BOOST_TEST(Apply() == 2);
  BOOST_TEST((Found()->state == ReleaseState::kMoving));
  BOOST_TEST((Found()->begun == now));
}

BOOST_AUTO_TEST_CASE(do_not_move_the_traffic_to_it) {
  Apply();
  End(ReleaseState::kTakenBack);
  said = "2";
  BOOST_TEST(!core::Succeeded(Prepare()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(after_the_release_is_done)

BOOST_AUTO_TEST_CASE(keep_its_version_though_the_register_names_the_old_one) {
  Apply();
  End(ReleaseState::kDone);
  BOOST_TEST(Apply() == 0);
  BOOST_TEST(Version() == "2");
  said = "2";
  BOOST_TEST(Apply() == 0);
}

BOOST_AUTO_TEST_CASE(are_refused_when_the_register_names_a_third_one) {
  Apply();
  End(ReleaseState::kDone);
  said = "3";
  const auto prepared = Prepare();
  BOOST_REQUIRE(!core::Succeeded(prepared));
  BOOST_TEST(core::ProblemOf(prepared).front() ==
             "section [service stock], key version: version 2 carries the "
             "traffic; write version = 2, and move the traffic to version 3 "
             "by a section [release stock] of the rules");
}

BOOST_AUTO_TEST_CASE(name_a_third_one_when_no_other_has_a_target) {
  has_rule = false;
  Apply();
  said = "3";
  targets = {"3"};
  BOOST_TEST(Apply() > 0);
  BOOST_TEST(Version() == "3");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::rollout
