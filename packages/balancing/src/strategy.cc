#include "trefoilbend/balancing/strategy.h"

#include <algorithm>
#include <array>

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

template <typename Concrete>
std::unique_ptr<Strategy> Make(const std::uint64_t seed) {
  return std::make_unique<Concrete>(seed);
}

struct NamedStrategy {
  std::string_view name;
  std::unique_ptr<Strategy> (*make)(std::uint64_t);
};

constexpr std::array<NamedStrategy, 4> kStrategies{
    {{"round-robin", Make<RoundRobin>},
     {"random", Make<Uniform>},
     {"least-in-flight", Make<LeastInFlight>},
     {"two-choices", Make<TwoChoices>}}};

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
