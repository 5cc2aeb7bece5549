#ifndef TREFOILBEND_CALLERS_INTERNAL_CLAIMS_H_
#define TREFOILBEND_CALLERS_INTERNAL_CLAIMS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "trefoilbend/callers/duty.h"
#include "trefoilbend/core/clock.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/idempotency/claim.h"
#include "trefoilbend/idempotency/claim_sweep.h"
#include "trefoilbend/platform/client.h"

namespace trefoilbend::callers::internal {

/** @brief Homes of callers' own keys, kept in the platform's table. */
class Claims {
 public:
  /**
   * @brief Makes a client of the table that deletes nothing yet.
   * @param context Event loop of the duty.
   * @param options Options of the duty: the platform's address and timeout, the
   * claims' retention and the period of the sweep.
   * @param clock Clock of the process, which outlives this object.
   */
  Claims(boost::asio::io_context& context, const Options& options,
         const core::WallClock& clock);

  /**
   * @brief Records a key's home.
   * @param row Key of the row.
   * @param home Home to record.
   * @param done Takes the home in force.
   */
  void Record(const std::string& row, const idempotency::Home& home,
              std::function<void(const idempotency::ClaimStep&)> done);

  /** @brief Deletes claims whose retention has passed, from now on and page by
   * page. */
  void StartSweep();

 private:
  void Sweep();

  platform::Client platform;
  boost::asio::steady_timer timer;
  std::chrono::milliseconds period;
  idempotency::ClaimSweep sweep;
  const core::WallClock& clock;
  core::Log log{"callers"};
};

}  // namespace trefoilbend::callers::internal

#endif  // TREFOILBEND_CALLERS_INTERNAL_CLAIMS_H_
