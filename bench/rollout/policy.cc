#include "rollout/policy.h"

#include <array>
#include <chrono>
#include <deque>
#include <utility>

namespace trefoilbend::bench {

namespace {

using inventory::Release;
using inventory::ReleaseState;
using rollout::Situation;
using rollout::Window;
using std::chrono::seconds;

constexpr std::array<std::uint32_t, 5> kShares{10, 50, 200, 500, 800};
constexpr int kUsedPercentOfTime = 80;
constexpr double kErrorLimit = 0.05;
constexpr std::uint32_t kLeastCalls = 20;
constexpr seconds kErrorTime{10};

rollout::Tally NewCalls(const Window& window) {
  rollout::Tally sum;
  for (const auto& [key, stratum] : window) {
    for (const auto& [target, tally] : stratum.new_targets) {
      sum += tally;
    }
  }
  return sum;
}

bool IsAboveLimit(const rollout::Tally& tally) {
  return tally.calls >= kLeastCalls && tally.failed > kErrorLimit * tally.calls;
}

/** The product's controller. */
class Controlled final : public Policy {
 public:
  explicit Controlled(const Release& release) : controller(release, 1, {}) {}

  void Observe(const Window& window, const core::TimePoint now) override {
    this->controller.Observe(window, now);
  }

  std::optional<Release> Decide(const Situation& situation) override {
    const auto verdict = this->controller.Decide(situation);
    if (!verdict) {
      return std::nullopt;
    }
    this->controller.Accept(verdict->after, situation.now);
    return verdict->after;
  }

 private:
  rollout::Controller controller;
};

/** Steps of equal length; errors are looked at when a step ends. */
class FixedSteps : public Policy {
 public:
  explicit FixedSteps(Release release)
      : release(std::move(release)),
        step_time((this->release.deadline - this->release.begun) *
                  kUsedPercentOfTime / 100 / static_cast<int>(kShares.size())) {
  }

  void Observe(const Window& window, core::TimePoint /*now*/) override {
    this->step += NewCalls(window);
  }

  std::optional<Release> Decide(const Situation& situation) override {
    if (situation.now < this->next) {
      return std::nullopt;
    }
    this->next = situation.now + this->step_time;
    if (IsAboveLimit(std::exchange(this->step, {}))) {
      return this->TakenBack();
    }
    const bool is_last = this->release.step == kShares.size();
    this->release.share =
        is_last ? inventory::kWholeShare : kShares.at(this->release.step);
    ++this->release.step;
    this->release.state = is_last ? ReleaseState::kDone : ReleaseState::kMoving;
    return this->release;
  }

 protected:
  Release TakenBack() {
    this->release.share = 0;
    this->release.state = ReleaseState::kTakenBack;
    return this->release;
  }

 private:
  Release release;
  seconds step_time;
  core::TimePoint next;
  rollout::Tally step;
};

/** Steps of equal length; errors of the last seconds are looked at always. */
class ErrorThreshold final : public FixedSteps {
 public:
  using FixedSteps::FixedSteps;

  void Observe(const Window& window, const core::TimePoint now) override {
    this->FixedSteps::Observe(window, now);
    this->recent.emplace_back(now, NewCalls(window));
    while (this->recent.front().first + kErrorTime < now) {
      this->recent.pop_front();
    }
  }

  std::optional<Release> Decide(const Situation& situation) override {
    rollout::Tally sum;
    for (const auto& [at, tally] : this->recent) {
      sum += tally;
    }
    return IsAboveLimit(sum) ? this->TakenBack()
                             : this->FixedSteps::Decide(situation);
  }

 private:
  std::deque<std::pair<core::TimePoint, rollout::Tally>> recent;
};

template <typename Type>
std::unique_ptr<Policy> Make(const Release& release) {
  return std::make_unique<Type>(release);
}

}  // namespace

const std::vector<PolicyKind>& Policies() {
  static const std::vector<PolicyKind> kPolicies{
      {"controller", Make<Controlled>},
      {"fixed_steps", Make<FixedSteps>},
      {"error_threshold", Make<ErrorThreshold>}};
  return kPolicies;
}

}  // namespace trefoilbend::bench
