#include "rollout/trial.h"

#include <chrono>
#include <utility>

#include "trefoilbend/rollout/evidence.h"
#include "trefoilbend/rollout/version_chooser.h"

namespace trefoilbend::bench {

namespace {

using inventory::ReleaseState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTick{250};
constexpr milliseconds kSpreadTime{500};
constexpr seconds kShortest{900};
constexpr std::uint64_t kLongestBy = 1'800;
constexpr seconds kShowLimit{3};
constexpr std::uint64_t kSlots = 6;

const core::ServiceName kService{"stock"};
const core::VersionName kNew{"2"};

class Trial {
 public:
  Trial(const Deployment& deployment, const Fault fault, const PolicyKind& kind,
        const std::uint64_t seed)
      : deployment(deployment),
        length(kShortest +
               seconds{static_cast<std::int64_t>(seed % kLongestBy)}),
        model(deployment, fault, this->length, seed) {
    this->release = {.name = kService,
                     .version = kNew,
                     .begun = {},
                     .deadline = std::chrono::sys_seconds{this->length},
                     .epoch = 1};
    this->policy = kind.make(this->release);
    this->Configure();
  }

  TrialResult Run() {
    while (this->release.state == ReleaseState::kMoving &&
           this->now < this->length * 2) {
      this->now += kTick;
      this->RunCalls();
      this->policy->Observe(this->evidence.Take(), this->Time());
      this->Decide();
    }
    this->RunOut();
    this->result.taken_back = this->release.state == ReleaseState::kTakenBack;
    this->result.on_time =
        this->release.state == ReleaseState::kDone && this->now <= this->length;
    return this->result;
  }

 private:
  [[nodiscard]] core::TimePoint Time() const {
    return core::TimePoint{this->now};
  }

  void Configure() {
    inventory::Configuration::Builder builder;
    builder.Put(inventory::Service{.name = kService,
                                   .version = core::VersionName{"1"}});
    builder.Put(this->release);
    this->chooser.Configure(*builder.Build());
  }

  void RunCalls() {
    const int calls = this->model.DrawCalls(kTick);
    for (int call = 0; call < calls; ++call) {
      const bool is_new = this->chooser.Choose(kService) == kNew;
      const Call ended =
          this->model.Run(is_new ? rollout::Arm::kNew : rollout::Arm::kOld,
                          this->share, this->now);
      this->evidence.Add(ended.observation);
      if (is_new) {
        this->Count(ended);
      }
    }
  }

  void Count(const Call& call) {
    this->struck += call.struck ? 1 : 0;
    if (this->struck == 0) {
      return;
    }
    this->result.showed = true;
    if (this->struck == kShowingCalls && call.struck) {
      this->shows_since = this->now;
    }
    ++this->result.calls_after;
    if (this->struck < kShowingCalls) {
      return;
    }
    this->result.showed_for = this->now - this->shows_since;
    if (this->result.showed_for > kShowLimit) {
      ++this->result.late_calls;
    }
  }

  void Decide() {
    const auto slots =
        static_cast<std::uint64_t>(this->deployment.targets) * kSlots;
    const auto changed = this->policy->Decide(
        {.now = this->Time(),
         .wall = std::chrono::sys_seconds{std::chrono::duration_cast<seconds>(
             this->now)},
         .capacity = {.old_slots = slots, .new_slots = slots}});
    if (!changed) {
      return;
    }
    this->release = *changed;
    if (this->release.state == ReleaseState::kMoving) {
      this->share = this->release.share;
      this->Configure();
    }
  }

  /** Calls that reach the new version until a brake is known everywhere. */
  void RunOut() {
    if (this->release.state != ReleaseState::kTakenBack) {
      return;
    }
    for (auto left = kSpreadTime; left > milliseconds{}; left -= kTick) {
      this->now += kTick;
      this->RunCalls();
    }
  }

  const Deployment& deployment;
  seconds length;
  Model model;
  rollout::Evidence evidence;
  rollout::VersionChooser chooser;
  std::unique_ptr<Policy> policy;
  inventory::Release release;
  std::uint32_t share{};
  core::Duration now{};
  core::Duration shows_since{};
  int struck{};
  TrialResult result;
};

}  // namespace

TrialResult RunTrial(const Deployment& deployment, const Fault fault,
                     const PolicyKind& kind, const std::uint64_t seed) {
  return Trial{deployment, fault, kind, seed}.Run();
}

}  // namespace trefoilbend::bench
