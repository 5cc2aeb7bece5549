#ifndef TREFOILBEND_REGISTRY_INTERNAL_REGISTRATION_H_
#define TREFOILBEND_REGISTRY_INTERNAL_REGISTRATION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

#include "internal/metrics.h"
#include "trefoilbend/core/log.h"
#include "trefoilbend/inventory/objects.h"
#include "trefoilbend/platform/backoff.h"
#include "trefoilbend/platform/messages.h"
#include "trefoilbend/platform/store.h"

namespace trefoilbend::registry::internal {

/** @brief Registers this entry in the store, and takes that back. */
class Registration {
 public:
  /**
   * @brief Makes a registration that is not written yet.
   * @param store Store to write to; outlives the registration.
   * @param context Event loop of the duty.
   * @param self This entry, as it registers itself.
   * @param metrics Counts the calls; outlives the registration.
   */
  Registration(platform::Store& store, boost::asio::io_context& context,
               const inventory::Instance& self, Metrics& metrics);

  /**
   * @brief Writes the row; tries again until it is written or taken back.
   * @param tried Called after each try.
   */
  void Write(const std::function<void()>& tried);

  /**
   * @brief Takes note that the store has no row of this entry, and writes it
   * again if it was written before.
   * @param as_of Position of the table in which the row is missing.
   */
  void NoteMissing(const platform::Position& as_of);

  /** @brief Removes the row that this process has written, and no later one;
   * peers see the heartbeat stop if that fails. */
  void Remove();

 private:
  void ReadAndRemove();
  void RemoveAsOf(const platform::Position& position);
  void OnRemoved(const platform::TransactOutcome& outcome);
  platform::Store& store;
  inventory::Instance self;
  Metrics& metrics;
  boost::asio::steady_timer timer;
  platform::Backoff backoff;
  /** Position of the row that was written last; nothing if it is not known. */
  std::optional<platform::Position> written;
  int removals = 0;
  bool removed = false;
  core::Log log{"registry"};
};

}  // namespace trefoilbend::registry::internal

#endif  // TREFOILBEND_REGISTRY_INTERNAL_REGISTRATION_H_
