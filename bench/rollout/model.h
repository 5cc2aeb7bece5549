#ifndef TREFOILBEND_BENCH_ROLLOUT_MODEL_H_
#define TREFOILBEND_BENCH_ROLLOUT_MODEL_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "trefoilbend/core/clock.h"
#include "trefoilbend/rollout/evidence.h"

namespace trefoilbend::bench {

/** @brief A service with its traffic and targets. */
struct Deployment {
  /** @brief Name in the figures. */
  std::string name;
  /** @brief Number of data centres. */
  int data_centres{};
  /** @brief Targets of each version. */
  int targets{};
  /** @brief Mean calls a second. */
  double calls_per_second{};
};

/** @brief When and how a version is bad. */
enum class Fault : std::uint8_t {
  kNone,
  kAtOnce,
  kLate,
  kUnderLoad,
  kOneRoute,
  kSlow
};

/** @brief One call as it ended. */
struct Call {
  /** @brief What an entry sees of it. */
  rollout::Observation observation;
  /** @brief Whether the version's fault struck it. */
  bool struck{};
};

/**
 * @brief Calls to two versions of a service, with disturbances that are
 * nobody's fault: noisy neighbours, a slow data centre, cold targets, callers
 * that send bad requests.
 */
class Model {
 public:
  /**
   * @brief Makes a model.
   * @param deployment Service to model.
   * @param fault Fault of the new version.
   * @param length Time over which disturbances and the fault are spread.
   * @param seed Seed of everything random.
   */
  Model(const Deployment& deployment, Fault fault, std::chrono::seconds length,
        std::uint64_t seed);

  /**
   * @brief Draws the number of calls of a short time.
   * @param time Length of the time.
   * @return Number of calls.
   */
  [[nodiscard]] int DrawCalls(std::chrono::milliseconds time);

  /**
   * @brief Runs a call.
   * @param arm Version that gets it.
   * @param share Present share of the new version, in thousandths.
   * @param now Time since the beginning.
   * @return The call as it ended.
   */
  [[nodiscard]] Call Run(rollout::Arm arm, std::uint32_t share,
                         core::Duration now);

 private:
  struct Noise {
    core::Duration begin{};
    core::Duration end{};
  };

  [[nodiscard]] bool FaultActs(int route, std::uint32_t share,
                               core::Duration now) const;
  [[nodiscard]] double Uniform();
  [[nodiscard]] double Exponential(double mean);
  [[nodiscard]] bool IsNoisy(std::size_t target, core::Duration now);

  Deployment deployment;
  Fault fault;
  std::mt19937_64 random;
  std::vector<Noise> noises;
  Noise data_centre_slow;
  int slow_data_centre{};
  Noise bad_caller;
  int bad_route{};
  core::Duration fault_begin{};
  std::uint32_t fault_share{};
  core::Duration cold_until{};
};

}  // namespace trefoilbend::bench

#endif  // TREFOILBEND_BENCH_ROLLOUT_MODEL_H_
