#include "soak/plan.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <sstream>
#include <utility>

namespace trefoilbend::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMeanGap{600};
constexpr milliseconds kShortest{300};
constexpr milliseconds kLongest{3'000};
/** Time that a process needs to stop or to start again. */
constexpr milliseconds kSettle{1'500};

/** Kind of disturbance with the range of its value. */
struct Choice {
  Action action;
  const char* fault;
  std::int64_t least;
  std::int64_t most;
};

constexpr std::array<Choice, 12> kOnTargets{{
    {Action::kKill, "", 0, 0},
    {Action::kFreeze, "", 0, 0},
    {Action::kFault, "slow", 2, 20},
    {Action::kFault, "cold", 1, 1},
    {Action::kFault, "drain", 1, 1},
    {Action::kFault, "lie", 1, 1},
    {Action::kFault, "report_lag_ms", 100, 2'000},
    {Action::kFault, "truncate_percent", 5, 60},
    {Action::kFault, "reset_percent", 5, 60},
    {Action::kFault, "late_ms", 10, 500},
    {Action::kFault, "fail_percent", 5, 60},
    {Action::kFault, "fast_fail_percent", 5, 100},
}};

constexpr std::array<Choice, 3> kOnEntries{{
    {Action::kKill, "", 0, 0},
    {Action::kFreeze, "", 0, 0},
    {Action::kStop, "", 0, 0},
}};

constexpr std::array<Choice, 4> kOnPlatform{{
    {Action::kFault, "down", 1, 1},
    {Action::kFault, "slow_ms", 20, 500},
    {Action::kFault, "lose_answers", 1, 3},
    {Action::kFault, "list_lag_ms", 100, 3'000},
}};

constexpr std::array<Choice, 2> kOnConfiguration{{
    {Action::kChange, "", 1, 100'000},
    {Action::kRace, "", 1, 100'000},
}};

class Drawer {
 public:
  explicit Drawer(const PlanOptions& options)
      : options(options), random(options.seed) {}

  std::vector<Disturbance> Draw() {
    std::vector<Disturbance> plan;
    milliseconds at{0};
    const milliseconds last = this->options.duration - kShortest - kSettle;
    while ((at += this->DrawTime(milliseconds{1}, 2 * kMeanGap)) < last) {
      Disturbance drawn = this->DrawOne(at);
      drawn.length = std::min(drawn.length,
                              this->options.duration - kSettle - drawn.begin);
      if (this->MayDisturb(drawn)) {
        this->busy_until[drawn.instance] = drawn.begin + drawn.length + kSettle;
        plan.push_back(std::move(drawn));
      }
    }
    return plan;
  }

 private:
  enum Place { kTarget, kEntry, kPlatform, kOperators };

  std::int64_t DrawNumber(const std::int64_t least, const std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>{least,
                                                       most}(this->random);
  }

  milliseconds DrawTime(const milliseconds least, const milliseconds most) {
    return milliseconds{this->DrawNumber(least.count(), most.count())};
  }

  template <typename Choices>
  Disturbance Fill(const milliseconds at, std::string instance,
                   const Choices& choices) {
    const auto drawn = static_cast<std::size_t>(
        this->DrawNumber(0, static_cast<std::int64_t>(choices.size()) - 1));
    const Choice& choice = choices.at(drawn);
    return {.begin = at,
            .length = this->DrawTime(kShortest, kLongest),
            .action = choice.action,
            .instance = std::move(instance),
            .fault = choice.fault,
            .value = this->DrawNumber(choice.least, choice.most)};
  }

  std::string DrawInstance(const char* prefix, const std::size_t count) {
    return prefix + std::to_string(
                        this->DrawNumber(1, static_cast<std::int64_t>(count)));
  }

  Disturbance DrawOne(const milliseconds at) {
    // Targets outnumber the rest, as they do in a deployment.
    static constexpr std::array<Place, 8> kPlaces{kTarget,   kTarget,   kTarget,
                                                  kTarget,   kEntry,    kEntry,
                                                  kPlatform, kOperators};
    switch (kPlaces.at(
        static_cast<std::size_t>(this->DrawNumber(0, kPlaces.size() - 1)))) {
      case kEntry:
        return this->Fill(at,
                          this->DrawInstance("entry-", this->options.entries),
                          kOnEntries);
      case kPlatform:
        return this->Fill(at, "platform", kOnPlatform);
      case kOperators:
        return this->Fill(at, "operators", kOnConfiguration);
      default:
        return this->Fill(at,
                          this->DrawInstance("stock-", this->options.targets),
                          kOnTargets);
    }
  }

  [[nodiscard]] bool MayDisturb(const Disturbance& drawn) const {
    const auto busy = this->busy_until.find(drawn.instance);
    if (busy != this->busy_until.end() && drawn.begin < busy->second) {
      return false;
    }
    const std::string prefix =
        drawn.instance.substr(0, drawn.instance.rfind('-') + 1);
    if (prefix.empty()) {
      return true;
    }
    const auto disturbed = static_cast<std::size_t>(std::count_if(
        this->busy_until.begin(), this->busy_until.end(), [&](const auto& one) {
          return one.first.starts_with(prefix) && drawn.begin < one.second;
        }));
    const std::size_t all =
        prefix == "entry-" ? this->options.entries : this->options.targets;
    return disturbed + 1 < all;
  }

  PlanOptions options;
  std::mt19937_64 random;
  std::map<std::string, milliseconds> busy_until;
};

const char* NameOf(const Action action) {
  static constexpr std::array<const char*, 6> kNames{
      "kill", "freeze", "graceful stop", "fault", "change", "race of changes"};
  return kNames.at(static_cast<std::size_t>(action));
}

}  // namespace

std::vector<Disturbance> DrawPlan(const PlanOptions& options) {
  return Drawer{options}.Draw();
}

std::string Describe(const Disturbance& disturbance) {
  std::ostringstream text;
  text << disturbance.begin.count() << " ms: " << NameOf(disturbance.action);
  if (disturbance.action == Action::kFault) {
    text << ' ' << disturbance.fault << '=' << disturbance.value;
  }
  text << " on " << disturbance.instance << " for "
       << disturbance.length.count() << " ms";
  return text.str();
}

}  // namespace trefoilbend::soak
