#ifndef TREFOILBEND_BENCH_BALANCING_SIMULATION_H_
#define TREFOILBEND_BENCH_BALANCING_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "fake_target.h"
#include "scenario.h"
#include "trefoilbend/balancing/dispatcher.h"

namespace trefoilbend::bench {

/** @brief Name of the baseline that sees the targets' true queues. */
inline constexpr const char* kOracle = "oracle";

/** @brief What a run showed. */
struct Result {
  /** @brief Times of answered calls, ordinary and urgent. */
  std::vector<std::chrono::microseconds> times;
  /** @brief Times of answered urgent calls. */
  std::vector<std::chrono::microseconds> urgent_times;
  /** @brief Times of answered idempotent calls, which may be hedged. */
  std::vector<std::chrono::microseconds> idempotent_times;
  /** @brief Calls that arrived after the warm-up. */
  std::uint64_t arrived = 0;
  /** @brief Calls that were refused. */
  std::uint64_t refused = 0;
  /** @brief Urgent calls that were refused. */
  std::uint64_t urgent_refused = 0;
  /** @brief Calls that got a failure of a target as their answer. */
  std::uint64_t failed = 0;
  /** @brief Exchanges of those calls that were started. */
  std::uint64_t exchanges = 0;
};

/** @brief Real dispatchers, one an entry, with fake targets under a manual
 * clock. */
class Simulation {
 public:
  /**
   * @brief Makes a simulation.
   * @param scenario Fleet, load and faults.
   * @param strategy Strategy of the entries, or kOracle.
   */
  Simulation(const Scenario& scenario, const std::string& strategy);

  /** @return What the run showed. */
  [[nodiscard]] Result Run();

 private:
  enum class Kind : std::uint8_t {
    kArrival,
    kAtTarget,
    kServed,
    kAtEntry,
    kTick
  };

  struct Event {
    core::TimePoint at;
    std::uint64_t order;
    Kind kind;
    std::size_t subject;

    [[nodiscard]] bool operator>(const Event& other) const noexcept {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  struct Call {
    core::TimePoint arrived;
    std::size_t entry{};
    bool urgent{};
    bool measured{};
    bool idempotent{};
    bool over{};
    std::vector<std::size_t> flights;
  };

  struct Flight {
    std::size_t call{};
    std::size_t entry{};
    core::ExchangeId exchange;
    std::size_t target{};
    core::TimePoint started;
    bool ended{};
    std::uint16_t status = 200;
    forwarding::LoadReport load;
  };

  [[nodiscard]] core::TimePoint LastArrival() const;
  void Configure();
  void Schedule(core::Duration after, Kind kind, std::size_t subject);
  void OnArrival(std::size_t entry);
  void OnAtTarget(std::size_t flight);
  void OnServed(std::size_t flight);
  void OnAtEntry(std::size_t flight);
  void OnTick(std::size_t entry);
  void Carry(std::size_t entry, const balancing::Decisions& decisions);
  void Send(std::size_t entry, std::size_t call, core::ExchangeId exchange,
            std::size_t target);
  void Reply(std::size_t flight);
  void End(std::size_t flight, forwarding::ExchangeResult result);
  [[nodiscard]] std::size_t ChooseAsOracle() const;

  Scenario scenario;
  bool oracle;
  std::mt19937_64 random;
  core::ManualClock clock;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t order = 0;
  std::vector<FakeTarget> targets;
  std::vector<std::uint32_t> under_way;
  std::vector<std::unique_ptr<balancing::Dispatcher>> entries;
  std::vector<std::vector<std::size_t>> flight_of_exchange;
  std::vector<Call> calls;
  std::vector<Flight> flights;
  double gap_seconds{};
  Result result;
};

}  // namespace trefoilbend::bench

#endif  // TREFOILBEND_BENCH_BALANCING_SIMULATION_H_
