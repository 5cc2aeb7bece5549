#ifndef TREFOILBEND_TESTS_SOAK_RUNNER_H_
#define TREFOILBEND_TESTS_SOAK_RUNNER_H_

#include <chrono>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "soak/judge.h"
#include "soak/plan.h"

namespace trefoilbend::soak {

/** @brief Carries a plan out on a fleet under load. */
class Runner {
 public:
  /**
   * @brief Makes a runner.
   * @param fleet Fleet that runs and is undisturbed.
   * @param options What the plan is drawn from.
   */
  Runner(tests::Fleet& fleet, const PlanOptions& options);

  /** @brief Carries the plan out, waits for recovery and judges. */
  void Run();

  /** @return Judge of the run. */
  [[nodiscard]] const Judge& Result() const noexcept { return this->judge; }

  /** @return The plan. */
  [[nodiscard]] const std::vector<Disturbance>& Plan() const noexcept {
    return this->plan;
  }

  /** @return What callers saw while the fleet was disturbed. */
  [[nodiscard]] const nlohmann::json& Callers() const noexcept {
    return this->callers;
  }

 private:
  /** What an entry made of a change. */
  struct ChangeOutcome {
    std::uint16_t status{};
    std::uint64_t revision{};
  };

  struct Event {
    std::chrono::milliseconds at{};
    const Disturbance* disturbance{};
    bool begins{};
  };

  [[nodiscard]] std::vector<std::unique_ptr<tests::Driver>> StartCallers()
      const;
  void AddReport(const nlohmann::json& report);
  [[nodiscard]] std::vector<Event> Timeline() const;
  void Begin(const Disturbance& disturbance);
  void End(const Disturbance& disturbance);
  void Restart(const std::string& instance);
  void CollectRuns(const std::string& target);
  void Change(const std::string& entry, std::int64_t number);
  void SettleChanges();
  void AwaitRecovery();
  void CheckProcesses();

  tests::Fleet& fleet;
  PlanOptions options;
  std::vector<Disturbance> plan;
  nlohmann::json callers = nlohmann::json::object();
  Judge judge;
  std::map<std::string, int> restarts;
  std::vector<std::pair<std::string, std::future<ChangeOutcome>>> changes;
};

}  // namespace trefoilbend::soak

#endif  // TREFOILBEND_TESTS_SOAK_RUNNER_H_
