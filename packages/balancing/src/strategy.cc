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
      const std::size_t at = (start + step) % candidates.size();
      if (Load(candidates[at]) < Load(candidates[best])) {
        best = at;
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

class TwoChoices final : public Strategy {
 public:
  explicit TwoChoices(const std::uint64_t seed) : random(seed) {}

  [[nodiscard]] std::size_t Choose(const std::span<const Candidate> candidates,
                                   core::TimePoint /*now*/) override {
    const std::size_t first = Draw(this->random, candidates.size());
    const std::size_t second = Draw(this->random, candidates.size());
    return candidates[second].reported < candidates[first].reported ? second
                                                                    : first;
  }

 private:
  Random random;
};

/** Own calls in flight first; reports weigh little and fade quickly, since
 * other entries act on the same ones; a target that owes an answer for long is
 * taken for slow. */
class Adaptive final : public Strategy {
 public:
  explicit Adaptive(const std::uint64_t seed) : random(seed) {}

  [[nodiscard]] std::size_t Choose(const std::span<const Candidate> candidates,
                                   core::TimePoint /*now*/) override {
    const double mean = MeanReport(candidates);
    const std::size_t start = Draw(this->random, candidates.size());
    std::size_t best = start;
    double least = Cost(candidates[start], mean);
    for (std::size_t step = 1; step < candidates.size(); ++step) {
      const std::size_t at = (start + step) % candidates.size();
      const double cost = Cost(candidates[at], mean);
      if (cost < least) {
        best = at;
        least = cost;
      }
    }
    return best;
  }

 private:
  static constexpr double kReportWeight = 0.15;
  static constexpr double kSentWeight = 0.3;
  static constexpr double kOwedWeight = 0.2;
  /** Age of an owed answer, in median latencies, that is not yet suspicious. */
  static constexpr double kUsualAge = 2;
  /** Time in which a report loses all but 1/e of its weight. */
  static constexpr std::chrono::duration<double> kFading{0.010};

  /** Mean of the trusted reports, in requests a slot. */
  static double MeanReport(
      const std::span<const Candidate> candidates) noexcept {
    double requests = 0;
    double slots = 0;
    for (const Candidate& candidate : candidates) {
      if (candidate.trusted) {
        requests += candidate.reported;
        slots += candidate.slots;
      }
    }
    return slots > 0 ? requests / slots : 0;
  }

  static double Cost(const Candidate& candidate, const double mean) noexcept {
    const double slots = candidate.slots;
    double cost = candidate.in_flight / slots;
    cost += kSentWeight * candidate.sent_since_report / slots;
    cost += kOwedWeight * std::max(0.0, candidate.owed - kUsualAge);
    if (candidate.trusted) {
      const double weight = std::exp(-(candidate.report_age / kFading));
      cost += kReportWeight * weight * (candidate.reported / slots - mean);
    }
    return cost;
  }

  Random random;
};

/** Least expected time of the work, in multiples of the usual: what the target
 * told of its slowness, faded towards the mean with its age, times what waits
 * before a slot is free. */
class Quiet final : public Strategy {
 public:
  explicit Quiet(const std::uint64_t seed) : random(seed) {}

  [[nodiscard]] std::size_t Choose(const std::span<const Candidate> candidates,
                                   core::TimePoint /*now*/) override {
    const std::size_t start = Draw(this->random, candidates.size());
    std::size_t best = start;
    double least = Cost(candidates[start]);
    for (std::size_t step = 1; step < candidates.size(); ++step) {
      const std::size_t at = (start + step) % candidates.size();
      const double cost = Cost(candidates[at]);
      if (cost < least) {
        best = at;
        least = cost;
      }
    }
    return best;
  }

 private:
  /** Slowness of a target of which nothing fresh is known. */
  static constexpr double kUnknownSlowdown = 2.0;
  /** Slowness of a target that does not answer a probe. */
  static constexpr double kSilentSlowdown = 7.0;
  /** Time in which a target that is alive answers a probe. */
  static constexpr std::chrono::milliseconds kUsualProbe{25};
  /** Time in which a report loses all but 1/e of its weight. */
  static constexpr std::chrono::duration<double> kFading{0.4};
  /** Weight of a free slot that is taken, beside one that is waited for. */
  static constexpr double kBusyWeight = 0.2;
  /** Cost of an answer that crosses data centres. */
  static constexpr double kFarCost = 0.15;
  static constexpr double kOwedWeight = 0.5;
  /** Age of an owed answer, in median latencies, that is not yet suspicious. */
  static constexpr double kUsualAge = 2;

  static double Cost(const Candidate& candidate) noexcept {
    const double weight = std::exp(-(candidate.report_age / kFading));
    const double told = candidate.slowdown.value_or(kUnknownSlowdown);
    const double known = weight * told + (1 - weight) * kUnknownSlowdown;
    const double slowdown = candidate.silence > kUsualProbe
                                ? std::max(known, kSilentSlowdown)
                                : known;
    const double slots = candidate.slots;
    const double others =
        std::max(0.0, weight * candidate.reported - candidate.in_flight);
    const double busy = candidate.in_flight + others;
    const double waits = std::max(0.0, busy + 1 - slots) / slots;
    const double owed = kOwedWeight * std::max(0.0, candidate.owed - kUsualAge);
    return slowdown * (1 + waits + kBusyWeight * busy / slots) + owed +
           (candidate.far ? kFarCost : 0);
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
     {"two-choices", Make<TwoChoices>},
     {"adaptive", Make<Adaptive>},
     {"quiet", Make<Quiet>}}};

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
