#ifndef TREFOILBEND_STAND_INS_CALLER_DRIVER_H_
#define TREFOILBEND_STAND_INS_CALLER_DRIVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "caller/tally.h"
#include "trefoilbend/http/address.h"
#include "trefoilbend/http/client.h"

namespace trefoilbend::stand_ins {

/** @brief Options of a run. */
struct DriverOptions {
  /** @brief Entries to ask which entry to use. */
  std::vector<http::Address> entries;
  /** @brief Target to call without any entry; for comparison. */
  std::optional<http::Address> direct;
  /** @brief Service to call. */
  std::string service = "stock";
  /** @brief Callers at the same time, each on a connection of its own. */
  std::uint32_t callers = 1;
  /** @brief Calls a second of all callers together; 0 for as many as are
   * answered. */
  double rate = 0;
  /** @brief Length of the run. */
  std::chrono::milliseconds duration{1'000};
  /** @brief Share of reservations, in percent. */
  std::uint32_t reserve_percent = 0;
  /** @brief Share of downloads, in percent. */
  std::uint32_t sheet_percent = 0;
  /** @brief Share of urgent lookups, in percent. */
  std::uint32_t urgent_percent = 0;
  /** @brief Length of a lookup's answer. */
  std::size_t lookup_bytes = 200;
  /** @brief Length of a download. */
  std::size_t sheet_bytes = 100'000;
  /** @brief Seed of the mix. */
  std::uint64_t seed = 1;
  /** @brief Attempts that one call may take, each through another entry and
   * with the same key. */
  std::uint32_t attempts = 1;
  /** @brief Whether reservations have keys without an entry's prefix. */
  bool own_keys = false;
  /** @brief Name that tells this driver's calls from those of others. */
  std::string name = "driver";
};

/** @brief Load driver that checks every answer. */
class Driver {
 public:
  /**
   * @brief Makes a driver.
   * @param context Event loop that carries it.
   * @param options Options of the run.
   */
  Driver(boost::asio::io_context& context, DriverOptions options);
  ~Driver();

  /** @brief Starts all callers; the event loop runs out when the last call has
   * ended. */
  void Start();

  /** @return Counts of the run. */
  [[nodiscard]] Tally& Result() noexcept { return this->tally; }

 private:
  class Caller;

  boost::asio::io_context& context;
  DriverOptions options;
  Tally tally;
  std::vector<std::shared_ptr<Caller>> callers;
};

}  // namespace trefoilbend::stand_ins

#endif  // TREFOILBEND_STAND_INS_CALLER_DRIVER_H_
