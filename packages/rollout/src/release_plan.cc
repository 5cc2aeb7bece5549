#include "trefoilbend/rollout/release_plan.h"

#include <algorithm>
#include <cmath>

#include "trefoilbend/inventory/objects.h"

namespace trefoilbend::rollout {

namespace {

using std::chrono::seconds;

constexpr seconds kBakeTime{15};
constexpr seconds kUnknownTime{std::chrono::hours{24 * 365}};
constexpr int kLeastPercentOfCalls = 1;
constexpr int kUsedPercentOfTime = 80;

struct Ladder {
  std::vector<std::uint32_t> shares;
  std::uint32_t calls{};
};

/** The most careful ladder first. */
const std::vector<Ladder>& Ladders() {
  static const std::vector<Ladder> kLadders{
      {.shares = {10, 50, 200, 500, 800}, .calls = 80},
      {.shares = {50, 200, 500, 800}, .calls = 80},
      {.shares = {100, 500, 800}, .calls = 60},
      {.shares = {100, 500}, .calls = 40},
      {.shares = {200, 500}, .calls = 40},
      {.shares = {300, 500}, .calls = 30},
      {.shares = {500}, .calls = 20}};
  return kLadders;
}

using CallsByRoute = std::map<core::RouteName, std::uint64_t>;

/** Time until a share has given enough calls to each route. */
seconds TimeForCalls(const Traffic& traffic, const std::uint32_t calls,
                     const std::uint32_t share, const CallsByRoute& seen) {
  const std::vector<core::RouteName> routes = RoutesToProve(traffic);
  if (routes.empty()) {
    return kUnknownTime;
  }
  double longest = 0;
  for (const core::RouteName& route : routes) {
    const auto had = seen.find(route);
    const std::uint64_t known = had == seen.end() ? 0 : had->second;
    const double missing =
        known >= calls ? 0 : static_cast<double>(calls - known);
    const double per_second = static_cast<double>(traffic.calls.at(route)) /
                              static_cast<double>(traffic.time.count());
    longest = std::max(longest,
                       missing * inventory::kWholeShare / (per_second * share));
  }
  const double bounded =
      std::min(longest, static_cast<double>(kUnknownTime.count()));
  return seconds{static_cast<std::int64_t>(std::ceil(bounded))};
}

PlannedStep PresentStep(const Ladder& ladder, const PlanInput& input) {
  const seconds whole =
      kBakeTime + TimeForCalls(input.traffic, ladder.calls, input.share, {});
  const seconds missing =
      TimeForCalls(input.traffic, ladder.calls, input.share, input.step_calls);
  const seconds needed =
      missing == seconds{} ? whole : std::max(whole, input.spent + missing);
  return {.share = input.share, .needed = needed, .planned = {}};
}

ReleasePlan PlanOn(const Ladder& ladder, const PlanInput& input) {
  ReleasePlan plan{.steps = {}, .calls = ladder.calls};
  if (input.share > 0) {
    plan.steps.push_back(PresentStep(ladder, input));
  }
  for (const std::uint32_t share : ladder.shares) {
    if (share <= input.share) {
      continue;
    }
    const seconds warming = plan.steps.empty() ? input.cold_start : seconds{};
    plan.steps.push_back(
        {.share = share,
         .needed = kBakeTime + warming +
                   TimeForCalls(input.traffic, ladder.calls, share, {}),
         .planned = {}});
  }
  for (const PlannedStep& step : plan.steps) {
    plan.shortest += step.needed;
  }
  plan.feasible = plan.shortest <= input.left + input.spent;
  return plan;
}

void SpreadTime(ReleasePlan& plan, const seconds left) {
  const seconds spare =
      std::max(seconds{}, left * kUsedPercentOfTime / 100 - plan.shortest);
  for (PlannedStep& step : plan.steps) {
    step.planned =
        step.needed + spare / static_cast<std::int64_t>(plan.steps.size());
  }
}

}  // namespace

std::vector<core::RouteName> RoutesToProve(const Traffic& traffic) {
  std::uint64_t all = 0;
  for (const auto& [route, calls] : traffic.calls) {
    all += calls;
  }
  std::vector<core::RouteName> routes;
  for (const auto& [route, calls] : traffic.calls) {
    if (calls > 0 && calls * 100 >= all * kLeastPercentOfCalls) {
      routes.push_back(route);
    }
  }
  return routes;
}

ReleasePlan MakePlan(const PlanInput& input) {
  ReleasePlan plan;
  for (const Ladder& ladder : Ladders()) {
    plan = PlanOn(ladder, input);
    if (plan.shortest * 100 <=
        (input.left + input.spent) * kUsedPercentOfTime) {
      break;
    }
  }
  SpreadTime(plan, input.left + input.spent);
  return plan;
}

}  // namespace trefoilbend::rollout
