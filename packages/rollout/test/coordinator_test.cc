#include "trefoilbend/rollout/coordinator.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "trefoilbend/configuration/follower.h"

namespace trefoilbend::rollout {

using namespace std::chrono_literals;
using inventory::Release;
using inventory::ReleaseState;

namespace {

const core::ServiceName kStock{"stock"};
const std::string kLease{"lease/rollout"};

inventory::Instance Target(const std::string& version,
                           const std::string& number) {
  inventory::Instance target;
  target.name = core::InstanceName{"v" + version + '-' + number};
  target.service = kStock;
  target.data_centre = core::DataCentreName{"xela"};
  target.version = core::VersionName{version};
  target.slots = 6;
  return target;
}

/** The platform's part of a commit: objects as they were, and the lease. */
class FakePlatform {
 public:
  FakePlatform() {
    inventory::Configuration::Builder builder;
    builder.Put(
        inventory::Service{.name = kStock, .version = core::VersionName{"1"}});
    builder.Put(Release{.name = kStock,
                        .version = core::VersionName{"2"},
                        .deadline = std::chrono::sys_seconds{30min}});
    for (const char* version : {"1", "2"}) {
      for (const char* number : {"a", "b"}) {
        builder.Put(Target(version, number));
      }
    }
    this->now = builder.Build();
  }

  bool Commit(const configuration::ChangeRequest& request) {
    for (const platform::Condition& fence : request.fences) {
      if (fence.position != this->lease) {
        return false;
      }
    }
    inventory::Configuration::Builder builder{*this->now};
    for (const inventory::Change& change : request.changes) {
      const auto found = this->now->Objects().find(KeyOf(*change.after));
      if (found == this->now->Objects().end() ||
          found->second != *change.before) {
        return false;
      }
      builder.Put(*change.after);
    }
    this->now = builder.At(this->now->Revision().Next()).Build();
    return true;
  }

  [[nodiscard]] const Release& Now() const {
    return *this->now->Find<Release>("stock");
  }

  inventory::ConfigurationPtr now;
  platform::Position lease = platform::Position::WithoutEra(1);
};

struct Fixture {
  FakePlatform platform;
  bool reachable = true;
  core::TimePoint now{};
  std::uint64_t epoch = 1;
  configuration::InstanceList listed = this->MakeList();

  static configuration::InstanceList MakeList() {
    std::vector<platform::ListedInstance> list;
    for (const char* version : {"1", "2"}) {
      for (const char* number : {"a", "b"}) {
        list.push_back(
            {Target(version, number).name, platform::InstanceState::kLive});
      }
    }
    return std::make_shared<const std::vector<platform::ListedInstance>>(list);
  }

  [[nodiscard]] Windows Counts(const std::uint32_t failed) const {
    Window window;
    Stratum& stratum =
        window[{core::RouteName{"lookup"}, core::DataCentreName{"xela"}}];
    for (const char* number : {"a", "b"}) {
      stratum.old_targets[Target("1", number).name] = {.calls = 100};
      if (this->platform.Now().share > 0) {
        stratum.new_targets[Target("2", number).name] = {.calls = 10,
                                                         .failed = failed};
      }
    }
    return {{IdOf(this->platform.Now()), window}};
  }

  [[nodiscard]] std::optional<HeldLease> Held() const {
    return HeldLease{
        .epoch = this->epoch,
        .fence = {.key = kLease, .position = this->platform.lease}};
  }

  Orders Step(Coordinator& entry, const std::optional<HeldLease>& lease,
              const std::uint32_t failed = 0) {
    this->now += 1s;
    entry.Configure({this->platform.now, this->listed}, this->now);
    entry.TakeLocal(this->Counts(failed), this->now);
    const auto wall = std::chrono::duration_cast<std::chrono::seconds>(
        this->now.time_since_epoch());
    Orders orders =
        entry.Decide(lease, this->now, std::chrono::sys_seconds{wall});
    for (const configuration::ChangeRequest& change : orders.changes) {
      if (this->reachable) {
        (void)this->platform.Commit(change);
      }
      entry.Finish({.request = change.request, .result = {}});
    }
    return orders;
  }

  void RunTo(Coordinator& entry, const std::uint32_t step) {
    for (int look = 0; look < 3'600 && this->platform.Now().step < step;
         ++look) {
      (void)this->Step(entry, this->Held());
    }
    BOOST_REQUIRE(this->platform.Now().step == step);
  }

  /** Another entry takes the lease over. */
  void TakeOver() {
    ++this->epoch;
    this->platform.lease = this->platform.lease.Next();
  }
};

constexpr std::uint32_t kSteps = 6;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(entries_with_a_release_under_way, Fixture)

BOOST_AUTO_TEST_CASE(move_the_service_in_the_same_change_as_the_last_step) {
  Coordinator holder;
  RunTo(holder, kSteps);
  BOOST_TEST((platform.Now().state == ReleaseState::kDone));
  BOOST_TEST(platform.now->Find<inventory::Service>("stock")->version.Text() ==
             "2");
}

BOOST_AUTO_TEST_CASE(move_nothing_without_the_lease) {
  Coordinator entry;
  for (int look = 0; look < 600; ++look) {
    BOOST_REQUIRE(Step(entry, std::nullopt).changes.empty());
  }
}

BOOST_AUTO_TEST_CASE(ask_for_one_change_at_a_time) {
  Coordinator holder;
  RunTo(holder, 1);
  holder.TakeBrakes({{IdOf(platform.Now()), "bad"}});
  const auto wall = std::chrono::sys_seconds{1min};
  BOOST_TEST(holder.Decide(Held(), now, wall).changes.size() == 1);
  BOOST_TEST(holder.Decide(Held(), now, wall).changes.empty());
}

/** The store came back from a copy: operators never saw that a release had
 * ended, and entries that started took it for one under way. */
BOOST_AUTO_TEST_SUITE(that_the_store_has_lost)

BOOST_AUTO_TEST_CASE(write_it_again_as_it_is_once_one_holds_the_lease) {
  Coordinator holder;
  RunTo(holder, kSteps);
  holder.Configure({platform.now, listed}, now);
  BOOST_TEST(!holder.HasWork());
  const configuration::Update lost{.configuration = platform.now,
                                   .listed = listed,
                                   .lost_releases = {kStock}};
  holder.Configure(lost, now);
  BOOST_TEST(holder.HasWork());
  const auto wall = std::chrono::sys_seconds{1min};
  BOOST_TEST(holder.Decide(std::nullopt, now, wall).changes.empty());
  const Orders orders = holder.Decide(Held(), now, wall);
  BOOST_REQUIRE(orders.changes.size() == 1);
  const auto& after =
      std::get<Release>(*orders.changes.front().changes.front().after);
  BOOST_TEST((after.state == ReleaseState::kDone));
  BOOST_TEST(after.step == platform.Now().step);
  BOOST_TEST(holder.Decide(Held(), now, wall).changes.empty());
}

BOOST_AUTO_TEST_CASE(move_it_no_further_before_that) {
  Coordinator holder;
  RunTo(holder, 2);
  holder.TakeBrakes({{IdOf(platform.Now()), "bad"}});
  holder.Configure({.configuration = platform.now,
                    .listed = listed,
                    .lost_releases = {kStock}},
                   now);
  const Orders orders =
      holder.Decide(Held(), now, std::chrono::sys_seconds{1min});
  BOOST_REQUIRE(orders.changes.size() == 1);
  const auto& after =
      std::get<Release>(*orders.changes.front().changes.front().after);
  BOOST_TEST((after.state == ReleaseState::kMoving));
  BOOST_TEST(after.step == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_every_step)

BOOST_AUTO_TEST_CASE(go_on_with_another_holder_when_the_first_is_killed) {
  for (std::uint32_t step = 0; step < kSteps; ++step) {
    Fixture fixture;
    Coordinator first;
    fixture.RunTo(first, step);
    const std::uint32_t share = fixture.platform.Now().share;
    fixture.TakeOver();
    Coordinator second;
    (void)fixture.Step(second, fixture.Held());
    BOOST_TEST(fixture.platform.Now().epoch == 2);
    BOOST_TEST(fixture.platform.Now().share == share);
    fixture.RunTo(second, step + 1);
  }
}

BOOST_AUTO_TEST_CASE(commit_nothing_of_a_holder_that_was_frozen) {
  for (std::uint32_t step = 1; step < kSteps; ++step) {
    Fixture fixture;
    Coordinator frozen;
    fixture.RunTo(frozen, step);
    const auto lapsed = fixture.Held();
    frozen.TakeBrakes({{IdOf(fixture.platform.Now()), "stale"}});
    fixture.TakeOver();
    const Release before = fixture.platform.Now();
    (void)fixture.Step(frozen, lapsed);
    BOOST_TEST((fixture.platform.Now() == before));
  }
}

BOOST_AUTO_TEST_CASE(brake_at_once_while_the_platform_is_down) {
  for (std::uint32_t step = 1; step < kSteps; ++step) {
    Fixture fixture;
    Coordinator holder;
    fixture.RunTo(holder, step);
    fixture.reachable = false;
    Coordinator entry;
    std::size_t braked = 0;
    for (int look = 0; look < 60 && braked == 0; ++look) {
      braked = fixture.Step(entry, std::nullopt, 5).brakes.size();
    }
    BOOST_TEST(braked == 1);
    BOOST_TEST(entry.KnownBrakes().All().size() == 1);
  }
}

BOOST_AUTO_TEST_CASE(forget_a_fresh_brake_whose_release_is_replaced) {
  Coordinator entry;
  (void)Step(entry, std::nullopt);
  entry.TakeBrakes({{IdOf(platform.Now()), "bad"}});
  Release next = platform.Now();
  next.begun += 10min;
  inventory::Configuration::Builder builder{*platform.now};
  builder.Put(next);
  platform.now = builder.Build();
  for (const ReleaseId& brake : Step(entry, std::nullopt).brakes) {
    BOOST_TEST(entry.KnownBrakes().All().contains(brake));
  }
}

BOOST_AUTO_TEST_CASE(brake_on_peers_counts_while_the_platform_is_down) {
  Coordinator holder;
  RunTo(holder, 1);
  reachable = false;
  std::size_t braked = 0;
  for (int look = 0; look < 60 && braked == 0; ++look) {
    holder.TakePeer(Counts(5));
    braked = Step(holder, std::nullopt).brakes.size();
  }
  BOOST_TEST(braked == 1);
}

BOOST_AUTO_TEST_CASE(make_a_peers_brake_final_once_the_platform_is_back) {
  for (std::uint32_t step = 1; step < kSteps; ++step) {
    Fixture fixture;
    Coordinator holder;
    fixture.RunTo(holder, step);
    fixture.reachable = false;
    holder.TakeBrakes({{IdOf(fixture.platform.Now()), "calls fail"}});
    (void)fixture.Step(holder, fixture.Held());
    BOOST_TEST((fixture.platform.Now().state == ReleaseState::kMoving));
    fixture.reachable = true;
    (void)fixture.Step(holder, fixture.Held());
    BOOST_TEST((fixture.platform.Now().state == ReleaseState::kTakenBack));
    BOOST_TEST(fixture.platform.Now().share == 0);
  }
}

BOOST_AUTO_TEST_CASE(let_an_operators_take_back_win_over_an_advance) {
  for (std::uint32_t step = 1; step < kSteps; ++step) {
    Fixture fixture;
    Coordinator holder;
    fixture.RunTo(holder, step);
    Release taken_back = fixture.platform.Now();
    taken_back.state = ReleaseState::kTakenBack;
    taken_back.share = 0;
    inventory::Configuration::Builder builder{*fixture.platform.now};
    builder.Put(taken_back);
    // The holder still decides on the configuration before the command.
    fixture.platform.now = builder.Build();
    for (int look = 0; look < 600; ++look) {
      const auto wall = std::chrono::sys_seconds{
          std::chrono::seconds{std::chrono::duration_cast<std::chrono::seconds>(
              fixture.now.time_since_epoch())}};
      fixture.now += 1s;
      for (const auto& change :
           holder.Decide(fixture.Held(), fixture.now, wall).changes) {
        (void)fixture.platform.Commit(change);
        holder.Finish({.request = change.request, .result = {}});
      }
    }
    BOOST_TEST((fixture.platform.Now() == taken_back));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilbend::rollout
