#include "trefoilbend/rollout/controller.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace trefoilbend::rollout {

namespace {

using inventory::ReleaseState;
using std::chrono::seconds;

constexpr seconds kColdStart{10};
constexpr seconds kFirstLook{10};
constexpr seconds kVanishTime{30};
/** Time over which the calls of the first counts came. */
constexpr std::chrono::milliseconds kReportTime{200};
/** Time before the deadline at which a brisk release that is held by a doubt is
 * taken back, so that operators know in time. */
constexpr seconds kDoubtBeforeDeadline{2};

bool IsOver(const inventory::Release& release) noexcept {
  return release.state == ReleaseState::kDone ||
         release.state == ReleaseState::kTakenBack;
}

std::uint64_t SumOf(
    const std::map<core::RouteName, std::uint64_t>& calls) noexcept {
  return std::accumulate(calls.begin(), calls.end(), std::uint64_t{0},
                         [](const std::uint64_t sum, const auto& route) {
                           return sum + route.second;
                         });
}

std::string InSeconds(const seconds time) {
  return std::to_string(time.count()) + " s";
}

}  // namespace

Controller::Controller(inventory::Release release, const std::uint64_t epoch,
                       const core::TimePoint now, const Pace pace)
    : release(std::move(release)),
      epoch(epoch),
      pace(pace),
      since(now),
      step_since(now),
      loaded_since(now),
      target_seen(now) {}

void Controller::Accept(const inventory::Release& release,
                        const core::TimePoint now) {
  if (release.share != this->release.share ||
      release.state != this->release.state) {
    this->step_since = now;
    this->step_calls.clear();
  }
  if (release.step != this->release.step) {
    this->loaded_since = now;
  }
  this->release = release;
}

void Controller::Observe(const Window& window, const core::TimePoint now) {
  this->detector.Observe(window, now);
  if (!window.empty() && !this->counted_since) {
    this->counted_since = now - kReportTime;
  }
  for (const auto& [key, stratum] : window) {
    std::uint64_t& all = this->traffic.calls[key.route];
    for (const auto& [target, tally] : stratum.old_targets) {
      all += tally.calls;
    }
    for (const auto& [target, tally] : stratum.new_targets) {
      all += tally.calls;
      this->step_calls[key.route] += tally.calls;
      this->new_calls += tally.calls;
    }
  }
}

void Controller::Brake(std::string why) {
  if (this->braked.empty()) {
    this->braked = std::move(why);
  }
}

std::optional<Verdict> Controller::Decide(const Situation& situation) {
  this->concerns.clear();
  if (IsOver(this->release) || this->release.epoch > this->epoch) {
    return std::nullopt;
  }
  if (this->release.version == this->release.from) {
    return this->FinishAtOnce(situation);
  }
  if (!this->whole) {
    this->whole = this->release.deadline - situation.wall;
  }
  if (situation.capacity.new_slots > 0) {
    this->target_seen = situation.now;
  }
  if (auto verdict = this->TakeBack(situation)) {
    return verdict;
  }
  if (this->release.epoch < this->epoch) {
    return this->Next("another entry controls the release");
  }
  if (!this->IsBrisk()) {
    this->Replan(situation);
  }
  if (this->release.state == ReleaseState::kPaused) {
    this->concerns.emplace_back("operators have paused the release");
    return std::nullopt;
  }
  return this->IsBrisk() ? this->AdvanceBriskly(situation)
                         : this->Advance(situation);
}

std::optional<Verdict> Controller::FinishAtOnce(
    const Situation& situation) const {
  if (situation.capacity.new_slots == 0) {
    return std::nullopt;
  }
  Verdict verdict = this->Next("the version carries the traffic already");
  ++verdict.after.step;
  verdict.after.share = inventory::kWholeShare;
  verdict.after.state = ReleaseState::kDone;
  return verdict;
}

bool Controller::IsBrisk() const noexcept {
  return this->pace == Pace::kBrisk && this->whole &&
         *this->whole <= kBriskRelease;
}

BriskLadder Controller::LadderOf(const Situation& situation) const {
  BriskRelease brisk{.whole = *this->whole,
                     .targets = situation.capacity.new_targets,
                     .calls_per_second = std::nullopt};
  if (this->counted_since && situation.now > *this->counted_since) {
    const std::chrono::duration<double> time =
        situation.now - *this->counted_since;
    brisk.calls_per_second =
        static_cast<double>(SumOf(this->traffic.calls)) / time.count();
  }
  return BriskLadder{brisk};
}

bool Controller::IsJudged() const {
  return SumOf(this->step_calls) >= kCallsToShowUnderLoad;
}

bool Controller::IsWatchOver(const BriskLadder& ladder,
                             const Situation& situation) const {
  const std::uint32_t share = this->release.share;
  if (situation.now - this->step_since < ladder.LeastWatch(share)) {
    return false;
  }
  if (share == inventory::kWholeShare) {
    return true;
  }
  if (share == 0 && ladder.KnowsCalls()) {
    return true;
  }
  return situation.now - this->since >= ladder.PlannedEnd(share) ||
         (ladder.EndsWithEnoughCalls(share) && this->IsJudged());
}

std::optional<Verdict> Controller::StepBack(const BriskLadder& ladder,
                                            const Capacity& capacity) const {
  const std::uint32_t share = ladder.ShareAfter(kLeastLoadedShare - 1);
  const bool old_bears_it =
      capacity.old_slots * 100 >= capacity.new_slots * kBriskCapacityPercent;
  if (this->release.share <= share || !old_bears_it) {
    return std::nullopt;
  }
  Verdict verdict = this->Next("a doubt is looked into at a smaller share");
  ++verdict.after.step;
  verdict.after.share = share;
  return verdict;
}

std::optional<Verdict> Controller::LoadNextTargets(
    const BriskLadder& ladder, const core::TimePoint now) const {
  if (!ladder.EndsWithEnoughCalls(this->release.share) ||
      now - this->loaded_since < kLeastWatch) {
    return std::nullopt;
  }
  Verdict verdict = this->Next("other targets get the share");
  ++verdict.after.step;
  return verdict;
}

std::optional<Verdict> Controller::AdvanceBriskly(const Situation& situation) {
  const BriskLadder ladder = this->LadderOf(situation);
  if (this->IsDoubtful()) {
    const auto back = this->StepBack(ladder, situation.capacity);
    return back ? back : this->LoadNextTargets(ladder, situation.now);
  }
  const std::uint32_t next = ladder.ShareAfter(this->release.share);
  const std::uint64_t needed =
      situation.capacity.old_slots * next * kBriskCapacityPercent / 100;
  if (!this->IsWatchOver(ladder, situation) ||
      situation.capacity.new_slots * inventory::kWholeShare < needed ||
      situation.capacity.new_slots == 0) {
    return this->LoadNextTargets(ladder, situation.now);
  }
  Verdict verdict = this->Next("no fault has shown in the step's time");
  ++verdict.after.step;
  verdict.after.share = next;
  if (this->release.share == inventory::kWholeShare) {
    verdict.after.state = ReleaseState::kDone;
  }
  return verdict;
}

bool Controller::IsDoubtful() const {
  const auto finding = this->detector.Strongest();
  return finding && finding->IsDoubt();
}

std::optional<Verdict> Controller::TakeBack(const Situation& situation) {
  if (const auto finding = this->detector.Strongest();
      finding && finding->IsProof()) {
    this->Brake(ToString(*finding));
  }
  if (this->release.share > 0 &&
      situation.now - this->target_seen >= kVanishTime) {
    this->Brake("the new version has no usable target");
  }
  if (this->IsBrisk() && this->IsDoubtful()) {
    const std::string doubt = ToString(*this->detector.Strongest());
    if (situation.wall + kDoubtBeforeDeadline >= this->release.deadline) {
      this->Brake("time is over, and " + doubt);
    }
    if (this->new_calls >= this->LadderOf(situation).MostCallsInDoubt()) {
      this->Brake("the version has had its part of the calls, and " + doubt);
    }
  }
  if (this->braked.empty()) {
    return std::nullopt;
  }
  Verdict verdict = this->Next(this->braked);
  verdict.after.state = ReleaseState::kTakenBack;
  verdict.after.share = 0;
  return verdict;
}

std::optional<Verdict> Controller::Advance(const Situation& situation) {
  if (this->plan.steps.empty() || !this->IsStepProved(situation.now)) {
    return std::nullopt;
  }
  const auto next =
      std::find_if(this->plan.steps.begin(), this->plan.steps.end(),
                   [&](const PlannedStep& step) {
                     return step.share > this->release.share;
                   });
  const bool is_last = next == this->plan.steps.end();
  const std::uint32_t share = is_last ? inventory::kWholeShare : next->share;
  if (situation.capacity.new_slots * inventory::kWholeShare <
      situation.capacity.old_slots * share) {
    this->concerns.emplace_back(
        "the new version has too few usable targets for its next step");
    return std::nullopt;
  }
  Verdict verdict =
      this->Next(is_last ? "every step is proved" : "the step is proved");
  ++verdict.after.step;
  verdict.after.share = share;
  if (is_last) {
    verdict.after.state = ReleaseState::kDone;
  }
  return verdict;
}

bool Controller::IsStepProved(const core::TimePoint now) const {
  if (this->release.share == 0) {
    return now - this->since >= kFirstLook;
  }
  if (now - this->step_since < this->plan.steps.front().planned) {
    return false;
  }
  if (this->IsDoubtful()) {
    return false;
  }
  const auto routes = RoutesToProve(this->traffic);
  return std::all_of(routes.begin(), routes.end(),
                     [&](const core::RouteName& route) {
                       const auto calls = this->step_calls.find(route);
                       return calls != this->step_calls.end() &&
                              calls->second >= this->plan.calls;
                     });
}

Verdict Controller::Next(std::string why) const {
  Verdict verdict{.after = this->release, .why = std::move(why)};
  verdict.after.epoch = this->epoch;
  return verdict;
}

void Controller::Replan(const Situation& situation) {
  const auto spent =
      std::chrono::duration_cast<seconds>(situation.now - this->step_since);
  this->traffic.time = std::max(seconds{1}, std::chrono::duration_cast<seconds>(
                                                situation.now - this->since));
  const seconds left = this->release.deadline - situation.wall;
  this->plan =
      MakePlan({.left = left + (this->release.share == 0 ? seconds{} : spent),
                .share = this->release.share,
                .traffic = this->traffic,
                .cold_start = kColdStart});
  if (!this->plan.feasible && situation.now - this->since >= kFirstLook) {
    this->concerns.push_back(
        "the deadline cannot be met: the steps need " +
        InSeconds(this->plan.shortest) + " at the present traffic, and " +
        InSeconds(std::max(left, seconds{})) + " are left");
  }
  if (situation.capacity.old_slots * 2 < situation.capacity.new_slots) {
    this->concerns.emplace_back(
        "the old version's targets could not bear a take-back");
  }
}

}  // namespace trefoilbend::rollout
