#ifndef TREFOILBEND_BENCH_BALANCING_FAKE_TARGET_H_
#define TREFOILBEND_BENCH_BALANCING_FAKE_TARGET_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <utility>

#include "scenario.h"
#include "trefoilbend/forwarding/messages.h"

namespace trefoilbend::bench {

/** @brief A target with slots, a queue, slow periods and reports. */
class FakeTarget {
 public:
  /** @brief What became of a request that arrived. */
  enum class Arrival : std::uint8_t { kRuns, kWaits, kShed, kFailed };

  /**
   * @brief Makes an idle target.
   * @param scenario Scenario that it belongs to; outlives the target.
   * @param number Number of the target, from 0.
   */
  FakeTarget(const Scenario& scenario, std::uint32_t number);

  /**
   * @brief Takes a request.
   * @param request Number of the request.
   * @param now Current time.
   * @return What became of it.
   */
  Arrival Arrive(std::size_t request, core::TimePoint now);

  /**
   * @brief Ends a request that ran.
   * @param now Current time.
   * @return Number of the request that runs next, if one waits.
   */
  std::optional<std::size_t> Finish(core::TimePoint now);

  /**
   * @brief Drops a request that waits.
   * @param request Number of the request.
   */
  void Cancel(std::size_t request);

  /** @return Time that a request takes which begins to run now. */
  [[nodiscard]] core::Duration DrawTime(core::TimePoint now);

  /** @return Load as the target reports it. */
  [[nodiscard]] forwarding::LoadReport Report(core::TimePoint now);

  /** @return Time until a request that arrives now would begin and end, as one
   * who sees everything expects it. */
  [[nodiscard]] double ExpectedTime(core::TimePoint now,
                                    std::uint32_t under_way) const;

  /** @return Number of slots. */
  [[nodiscard]] std::uint32_t Slots() const noexcept { return this->slots; }

 private:
  struct Sample {
    core::TimePoint at;
    forwarding::LoadReport load;
  };

  [[nodiscard]] bool IsSlow(core::TimePoint now) const noexcept;
  [[nodiscard]] bool IsInMiddle(core::TimePoint now, int part) const noexcept;
  void Note(core::TimePoint now);

  const Scenario& scenario;
  std::uint32_t number;
  std::uint32_t slots;
  std::mt19937_64 random;
  core::Duration phase;
  std::uint32_t running = 0;
  std::deque<std::size_t> waiting;
  std::deque<Sample> samples;
};

}  // namespace trefoilbend::bench

#endif  // TREFOILBEND_BENCH_BALANCING_FAKE_TARGET_H_
