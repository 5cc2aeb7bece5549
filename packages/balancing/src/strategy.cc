#include "trefoilbend/balancing/strategy.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

namespace trefoilbend::balancing {

namespace {

std::size_t Draw(Random& random, const std::size_t count) {
  return std::uniform_int_distribution<std::size_t>{0, count - 1}(random);
}

class RoundRobin final : public Strategy {
 public:
  explicit RoundRobin(const std::uint64_t seed) : next(seed) {}

  [[nodiscard]] std::size_t Choose(const std::span<const Candidate> candidates,
                                   core::TimePoint /*now*/) override {
    return this->next++ % candidates.size();
  }

 private:
  std::uint64_t next;
};

class Uniform final : public Strategy {
 public:
  explicit Uniform(const std::uint64_t seed) : random(seed) {}

  [[nodiscard]] std::size_t Choose(const std::span<const Candidate> candidates,
                                   core::TimePoint /*now*/) override {
    return Draw(this->random, candidates.size());
  }

 private:
  Random random;
};

class LeastInFlight final : public Strategy {
 public:
  explicit LeastInFlight(const std::uint64_t seed) : random(seed) {}

  [[nodiscard]] std::size_t Choose(const std::span<const Candidate> candidates,
                                   core::TimePoint /*now*/) override {
    const std::size_t start = Draw(this->random, candidates.size());
    std::size_t best = start;
    for (std::size_t step = 1; step < candidates.size(); ++step) {
      const std::size_t index = (start + step) % candidates.size();
      if (Load(candidates[index]) < Load(candidates[best])) {
        best = index;
      }
    }
    return best;
  }

 private:
  static double Load(const Candidate& candidate) noexcept {
    return static_cast<double>(candidate.in_flight) / candidate.slots;
  }

  Random random;
};

class PowerOfTwoChoices final : public Strategy {
 public:
  explicit PowerOfTwoChoices(const std::uint64_t seed) : random(seed) {}

  [[nodiscard]] std::size_t Choose(const std::span<const Candidate> candidates,
                                   core::TimePoint /*now*/) override {
    const std::size_t first = Draw(this->random, candidates.size());
    const std::size_t second = Draw(this->random, candidates.size());
    return candidates[second].reported_requests <
                   candidates[first].reported_requests
               ? second
               : first;
  }

 private:
  Random random;
};

/** Prefers targets with few calls of this entry in flight. Reports have little
 * weight and decay quickly, since other entries act on the same reports. A
 * target with a response pending for long is treated as slow. */
class Adaptive final : public Strategy {
 public:
  explicit Adaptive(const std::uint64_t seed) : random(seed) {}

  [[nodiscard]] std::size_t Choose(const std::span<const Candidate> candidates,
                                   core::TimePoint /*now*/) override {
    const double mean = MeanLoad(candidates);
    const std::size_t start = Draw(this->random, candidates.size());
    std::size_t best = start;
    double lowest_cost = Cost(candidates[start], mean);
    for (std::size_t step = 1; step < candidates.size(); ++step) {
      const std::size_t index = (start + step) % candidates.size();
      const double cost = Cost(candidates[index], mean);
      if (cost < lowest_cost) {
        best = index;
        lowest_cost = cost;
      }
    }
    return best;
  }

 private:
  static constexpr double kReportWeight = 0.15;
  static constexpr double kSentWeight = 0.3;
  static constexpr double kPendingWeight = 0.2;
  /** Age of a pending response, in median latencies, up to which it is normal.
   */
  static constexpr double kNormalPendingAge = 2;
  /** Time in which a report loses all but 1/e of its weight. */
  static constexpr std::chrono::duration<double> kReportDecay{0.010};

  /** Returns the mean of the trusted reports, in requests per slot. */
  static double MeanLoad(const std::span<const Candidate> candidates) noexcept {
    double requests = 0;
    double slots = 0;
    for (const Candidate& candidate : candidates) {
      if (candidate.trusted) {
        requests += candidate.reported_requests;
        slots += candidate.slots;
      }
    }
    return slots > 0 ? requests / slots : 0;
  }

  static double Cost(const Candidate& candidate, const double mean) noexcept {
    const double slots = candidate.slots;
    double cost = candidate.in_flight / slots;
    cost += kSentWeight * candidate.sent_since_report / slots;
    cost += kPendingWeight *
            std::max(0.0, candidate.oldest_pending - kNormalPendingAge);
    if (candidate.trusted) {
      const double weight = std::exp(-(candidate.report_age / kReportDecay));
      cost +=
          kReportWeight * weight * (candidate.reported_requests / slots - mean);
    }
    return cost;
  }

  Random random;
};

/** Chooses the target with the least expected time for the work, as a multiple
 * of its normal time: the reported slowdown times the load ahead of the
 * request. The slowdown decays towards the mean as the report ages. */
class LeastExpectedTime final : public Strategy {
 public:
  explicit LeastExpectedTime(const std::uint64_t seed) : random(seed) {}

  [[nodiscard]] std::size_t Choose(const std::span<const Candidate> candidates,
                                   core::TimePoint /*now*/) override {
    const std::size_t start = Draw(this->random, candidates.size());
    std::size_t best = start;
    double lowest_cost = Cost(candidates[start]);
    for (std::size_t step = 1; step < candidates.size(); ++step) {
      const std::size_t index = (start + step) % candidates.size();
      const double cost = Cost(candidates[index]);
      if (cost < lowest_cost) {
        best = index;
        lowest_cost = cost;
      }
    }
    return best;
  }

 private:
  /** Mean slowdown, assumed for a target without a fresh report. */
  static constexpr double kUnknownSlowdown = 2.0;
  /** Slowdown assumed for a target that does not answer a probe. */
  static constexpr double kUnansweredSlowdown = 7.0;
  /** Time within which a live target answers a probe. */
  static constexpr std::chrono::milliseconds kNormalProbeTime{25};
  /** Time in which a report loses all but 1/e of its weight. */
  static constexpr std::chrono::duration<double> kReportDecay{0.4};
  /** Cost of an occupied slot, relative to waiting for a slot. */
  static constexpr double kOccupancyWeight = 0.2;
  /** Cost of a response from another data centre. */
  static constexpr double kRemoteCost = 0.15;
  static constexpr double kPendingWeight = 0.5;
  /** Age of a pending response, in median latencies, up to which it is normal.
   */
  static constexpr double kNormalPendingAge = 2;

  static double Cost(const Candidate& candidate) noexcept {
    const double weight = std::exp(-(candidate.report_age / kReportDecay));
    const double reported_slowdown =
        candidate.slowdown.value_or(kUnknownSlowdown);
    const double decayed_slowdown =
        weight * reported_slowdown + (1 - weight) * kUnknownSlowdown;
    const double slowdown =
        candidate.probe_wait > kNormalProbeTime
            ? std::max(decayed_slowdown, kUnansweredSlowdown)
            : decayed_slowdown;
    const double slots = candidate.slots;
    const double other_requests = std::max(
        0.0, weight * candidate.reported_requests - candidate.in_flight);
    const double occupied = candidate.in_flight + other_requests;
    const double queued_per_slot = std::max(0.0, occupied + 1 - slots) / slots;
    const double pending_cost =
        kPendingWeight *
        std::max(0.0, candidate.oldest_pending - kNormalPendingAge);
    return slowdown *
               (1 + queued_per_slot + kOccupancyWeight * occupied / slots) +
           pending_cost + (candidate.remote ? kRemoteCost : 0);
  }

  Random random;
};

template <typename Concrete>
std::unique_ptr<Strategy> Make(const std::uint64_t seed) {
  return std::make_unique<Concrete>(seed);
}

struct NamedStrategy {
  std::string_view name;
  std::unique_ptr<Strategy> (*make)(std::uint64_t);
};

constexpr std::array<NamedStrategy, 6> kStrategies{
    {{"round-robin", Make<RoundRobin>},
     {"random", Make<Uniform>},
     {"least-in-flight", Make<LeastInFlight>},
     {"two-choices", Make<PowerOfTwoChoices>},
     {"adaptive", Make<Adaptive>},
     {"quiet", Make<LeastExpectedTime>}}};

}  // namespace

std::vector<std::string> StrategyNames() {
  std::vector<std::string> names;
  names.reserve(kStrategies.size());
  for (const NamedStrategy& strategy : kStrategies) {
    names.emplace_back(strategy.name);
  }
  return names;
}

std::unique_ptr<Strategy> MakeStrategy(const std::string_view name,
                                       const std::uint64_t seed) {
  const auto* const found = std::find_if(
      kStrategies.begin(), kStrategies.end(),
      [&](const NamedStrategy& strategy) { return strategy.name == name; });
  return found == kStrategies.end() ? nullptr : found->make(seed);
}

}  // namespace trefoilbend::balancing
