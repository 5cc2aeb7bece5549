#include "trefoilbend/rollout/controller.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "trefoilbend/rollout/brakes.h"
#include "trefoilbend/rollout/release_id.h"

namespace trefoilbend::rollout {

using namespace std::chrono_literals;
using inventory::Release;
using inventory::ReleaseState;

namespace {

struct Fixture {
  Release release{.name = core::ServiceName{"stock"},
                  .version = core::VersionName{"2"},
                  .begun = std::chrono::sys_seconds{},
                  .deadline = std::chrono::sys_seconds{30min},
                  .epoch = 1};
  Capacity capacity{.old_slots = 100, .new_slots = 100};
  core::TimePoint now{};
  std::unique_ptr<Controller> controller = this->Hold(1);
  std::string last_why;

  [[nodiscard]] std::unique_ptr<Controller> Hold(
      const std::uint64_t epoch) const {
    return std::make_unique<Controller>(this->release, epoch, this->now);
  }

  [[nodiscard]] Situation Seen() const {
    const auto wall = std::chrono::duration_cast<std::chrono::seconds>(
        this->now.time_since_epoch());
    return {.now = this->now,
            .wall = std::chrono::sys_seconds{wall},
            .capacity = this->capacity};
  }

  void Observe(const std::uint32_t failed) {
    Window window;
    Stratum& stratum =
        window[{core::RouteName{"lookup"}, core::DataCentreName{"xela"}}];
    for (const char* name : {"a", "b"}) {
      stratum.old_targets[core::InstanceName{name}] = {.calls = 100};
    }
    if (this->release.share > 0) {
      for (const char* name : {"c", "d"}) {
        stratum.new_targets[core::InstanceName{name}] = {.calls = 10,
                                                         .failed = failed};
      }
    }
    this->controller->Observe(window, this->now);
  }

  std::optional<Verdict> Step(const std::uint32_t failed = 0) {
    this->now += 1s;
    this->Observe(failed);
    return this->controller->Decide(this->Seen());
  }

  void Commit(const Verdict& verdict) {
    this->release = verdict.after;
    this->last_why = verdict.why;
    this->controller->Accept(this->release, this->now);
  }

  /** Runs until the release has the step, is over, or time is up. */
  void RunTo(const std::uint32_t step, const std::chrono::seconds limit = 1h) {
    const core::TimePoint end = this->now + limit;
    while (this->now < end && this->release.step < step &&
           this->release.state == ReleaseState::kMoving) {
      if (const auto verdict = this->Step()) {
        this->Commit(*verdict);
      }
    }
  }
};

constexpr std::uint32_t kSteps = 6;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_controller_of_a_release, Fixture)

BOOST_AUTO_TEST_CASE(moves_a_good_version_over_before_its_deadline) {
  RunTo(kSteps);
  BOOST_TEST((release.state == ReleaseState::kDone));
  BOOST_TEST(release.share == inventory::kWholeShare);
  BOOST_TEST((Seen().wall <= release.deadline));
}

BOOST_AUTO_TEST_CASE(takes_a_bad_version_back_at_every_step) {
  for (std::uint32_t step = 1; step < kSteps; ++step) {
    Fixture fixture;
    fixture.RunTo(step);
    std::optional<Verdict> verdict;
    for (int look = 0; look < 60 && !verdict; ++look) {
      verdict = fixture.Step(5);
    }
    BOOST_REQUIRE(verdict);
    BOOST_TEST((verdict->after.state == ReleaseState::kTakenBack));
    BOOST_TEST(verdict->after.share == 0);
    BOOST_TEST(verdict->why.find("fail") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(repeats_a_take_back_until_it_is_committed) {
  RunTo(2);
  controller->Brake("calls fail");
  BOOST_TEST((Step()->after.state == ReleaseState::kTakenBack));
  BOOST_TEST((Step()->after.state == ReleaseState::kTakenBack));
  Commit(*Step());
  BOOST_TEST(!Step());
}

BOOST_AUTO_TEST_SUITE(whose_holder_is_lost)

BOOST_AUTO_TEST_CASE(neither_skips_nor_reverts_a_step_at_any_step) {
  for (std::uint32_t step = 0; step < kSteps; ++step) {
    Fixture fixture;
    fixture.RunTo(step);
    const Release before = fixture.release;
    fixture.now += 20s;
    fixture.controller = fixture.Hold(2);
    const auto taken = fixture.Step();
    BOOST_REQUIRE(taken);
    BOOST_TEST(taken->after.epoch == 2);
    BOOST_TEST(taken->after.step == before.step);
    BOOST_TEST(taken->after.share == before.share);
    fixture.Commit(*taken);
    fixture.RunTo(step + 1);
    BOOST_TEST(fixture.release.step == step + 1);
  }
}

BOOST_AUTO_TEST_CASE(decides_nothing_with_an_older_epoch) {
  RunTo(2);
  auto paused = std::move(controller);
  controller = Hold(2);
  Commit(*Step());
  paused->Accept(release, now);
  paused->Brake("stale evidence");
  BOOST_TEST(!paused->Decide(Seen()));
}

BOOST_AUTO_TEST_CASE(writes_what_clashes_when_it_has_not_heard_of_the_next) {
  RunTo(2);
  const Release seen_by_paused = release;
  controller = Hold(2);
  Commit(*Step());
  BOOST_TEST((release != seen_by_paused));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_deadline_cannot_be_met)

BOOST_AUTO_TEST_CASE(says_so_early_and_does_not_push_the_version) {
  release.deadline = std::chrono::sys_seconds{20s};
  controller = Hold(1);
  RunTo(1);
  (void)Step();
  BOOST_REQUIRE(!controller->Concerns().empty());
  BOOST_TEST(controller->Concerns().front().find("deadline") !=
             std::string::npos);
  now += 1h;
  BOOST_TEST(release.share < inventory::kWholeShare);
}

BOOST_AUTO_TEST_CASE(stays_at_its_step_without_calls_however_late) {
  RunTo(1);
  now += 24h;
  const auto verdict = controller->Decide(Seen());
  BOOST_TEST(!verdict);
  BOOST_TEST(!controller->Concerns().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_operators_change)

BOOST_AUTO_TEST_CASE(holds_its_step_while_paused_and_still_takes_back) {
  RunTo(2);
  release.state = ReleaseState::kPaused;
  controller->Accept(release, now);
  for (int look = 0; look < 3'600; ++look) {
    BOOST_REQUIRE(!Step());
  }
  controller->Brake("calls fail");
  BOOST_TEST((Step()->after.state == ReleaseState::kTakenBack));
}

BOOST_AUTO_TEST_CASE(never_advances_after_a_take_back) {
  RunTo(2);
  release.state = ReleaseState::kTakenBack;
  release.share = 0;
  controller->Accept(release, now);
  for (int look = 0; look < 3'600; ++look) {
    BOOST_REQUIRE(!Step());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_targets_change)

BOOST_AUTO_TEST_CASE(is_taken_back_when_those_of_the_new_version_vanish) {
  RunTo(2);
  capacity.new_slots = 0;
  std::optional<Verdict> verdict;
  for (int look = 0; look < 40 && !verdict; ++look) {
    verdict = Step();
  }
  BOOST_REQUIRE(verdict);
  BOOST_TEST((verdict->after.state == ReleaseState::kTakenBack));
}

BOOST_AUTO_TEST_CASE(waits_for_enough_of_the_new_version) {
  capacity.new_slots = 10;
  RunTo(kSteps);
  BOOST_TEST(release.share <= 100);
  BOOST_TEST(!controller->Concerns().empty());
}

BOOST_AUTO_TEST_CASE(says_when_those_of_the_old_one_could_not_take_over) {
  RunTo(2);
  capacity.old_slots = 10;
  (void)Step();
  BOOST_REQUIRE(!controller->Concerns().empty());
  BOOST_TEST(controller->Concerns().front().find("take-back") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(brakes_of_peers)

BOOST_AUTO_TEST_CASE(only_grow_and_tell_what_is_new) {
  const ReleaseId bad{.service = core::ServiceName{"stock"},
                      .version = core::VersionName{"2"}};
  Brakes mine;
  Brakes peer;
  BOOST_TEST(peer.Add(bad, "calls fail"));
  BOOST_TEST(mine.Merge(peer.All()).size() == 1);
  BOOST_TEST(mine.Merge(peer.All()).empty());
  BOOST_TEST(mine.Merge({}).empty());
  BOOST_TEST(mine.All().size() == 1);
}

BOOST_AUTO_TEST_CASE(end_with_a_later_release_of_the_service) {
  Release later{.name = core::ServiceName{"stock"},
                .version = core::VersionName{"2"},
                .begun = std::chrono::sys_seconds{1min}};
  Brakes brakes;
  (void)brakes.Add({.service = later.name, .version = later.version}, "bad");
  inventory::Configuration::Builder builder;
  builder.Put(later);
  brakes.Prune(*builder.Build());
  BOOST_TEST(brakes.All().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::rollout
