#ifndef TREFOILBEND_STAND_INS_TARGET_FAULTS_H_
#define TREFOILBEND_STAND_INS_TARGET_FAULTS_H_

#include <cstdint>
#include <map>
#include <string>

namespace trefoilbend::stand_ins {

/** @brief Faults of a target; 0 switches each off. */
struct Faults {
  /** @brief Factor by which the service time grows. */
  std::int64_t slow = 0;
  /** @brief Share of requests, in percent, that end with status 500 after their
   * service time. */
  std::int64_t fail_percent = 0;
  /** @brief Share of requests, in percent, that end with status 500 at once. */
  std::int64_t fast_fail_percent = 0;
  /** @brief Share of answers, in percent, that are cut within their body. */
  std::int64_t truncate_percent = 0;
  /** @brief Number of the next sheets that are cut within their body. */
  std::int64_t truncate_next = 0;
  /** @brief Edition of the sheets, which their content and validator name. */
  std::int64_t edition = 0;
  /** @brief Share of requests, in percent, that run but get a reset in place of
   * an answer. */
  std::int64_t reset_percent = 0;
  /** @brief Delay of every answer after its run, in milliseconds. */
  std::int64_t late_ms = 0;
  /** @brief Whether the target is cold: it bears cold_bears requests and falls
   * over above. */
  std::int64_t cold = 0;
  /** @brief Whether the target drains: 1 tells so and refuses new work, 2 only
   * tells so. */
  std::int64_t drain = 0;
  /** @brief Share of requests, in percent, that are refused with status 503
   * after they have run. */
  std::int64_t refuse_after_run_percent = 0;
  /** @brief Whether a refusal is written once more where the next answer on its
   * connection is due. */
  std::int64_t repeat_refusals = 0;
  /** @brief Whether load reports say that the target is idle. */
  std::int64_t lie = 0;
  /** @brief Age of load reports in milliseconds. */
  std::int64_t report_lag_ms = 0;
  /** @brief Whether the other faults act on requests below /lookup only. */
  std::int64_t one_route = 0;

  /** @return The switch of each fault by its name. */
  [[nodiscard]] static const std::map<std::string, std::int64_t Faults::*>&
  Switches() {
    static const std::map<std::string, std::int64_t Faults::*> kSwitches{
        {"slow", &Faults::slow},
        {"fail_percent", &Faults::fail_percent},
        {"fast_fail_percent", &Faults::fast_fail_percent},
        {"truncate_percent", &Faults::truncate_percent},
        {"truncate_next", &Faults::truncate_next},
        {"edition", &Faults::edition},
        {"reset_percent", &Faults::reset_percent},
        {"late_ms", &Faults::late_ms},
        {"cold", &Faults::cold},
        {"drain", &Faults::drain},
        {"refuse_after_run_percent", &Faults::refuse_after_run_percent},
        {"repeat_refusals", &Faults::repeat_refusals},
        {"lie", &Faults::lie},
        {"report_lag_ms", &Faults::report_lag_ms},
        {"one_route", &Faults::one_route}};
    return kSwitches;
  }
};

}  // namespace trefoilbend::stand_ins

#endif  // TREFOILBEND_STAND_INS_TARGET_FAULTS_H_
