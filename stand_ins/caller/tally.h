#ifndef TREFOILBEND_STAND_INS_CALLER_TALLY_H_
#define TREFOILBEND_STAND_INS_CALLER_TALLY_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace trefoilbend::stand_ins {

/** @brief What became of a call, as its caller saw it. */
enum class CallOutcome : std::uint8_t {
  /** @brief The whole and right answer came. */
  kAnswered,
  /** @brief The entry refused and said that nothing was run. */
  kNotRun,
  /** @brief The entry refused and did not know. */
  kUnknown,
  /** @brief The connection could not be made or broke. */
  kBroken,
  /** @brief The target failed the call with a status of its own. */
  kFailed,
  /** @brief The answer looked whole and was wrong. */
  kWrong,
};

/** @brief Counts of a driver's run. */
class Tally {
 public:
  /**
   * @brief Takes a call's outcome.
   * @param outcome What became of the call.
   * @param latency Time from the call's due start to its outcome.
   * @param call Identity of the call.
   */
  void Add(CallOutcome outcome, std::chrono::nanoseconds latency,
           const std::string& call);

  /**
   * @brief Sums the run up.
   * @param elapsed Length of the run.
   * @return Counts, calls a second, and latencies of answered calls in
   * microseconds.
   */
  [[nodiscard]] nlohmann::json Report(std::chrono::nanoseconds elapsed);

  /** @return Number of answers that looked whole and were wrong. */
  [[nodiscard]] std::uint64_t Wrong() const noexcept {
    return this->counts[kWrongIndex];
  }

 private:
  static constexpr std::size_t kOutcomes = 6;
  static constexpr std::size_t kWrongIndex =
      static_cast<std::size_t>(CallOutcome::kWrong);

  std::uint64_t counts[kOutcomes]{};
  std::vector<std::uint32_t> latencies;
  std::vector<std::string> not_run;
};

}  // namespace trefoilbend::stand_ins

#endif  // TREFOILBEND_STAND_INS_CALLER_TALLY_H_
