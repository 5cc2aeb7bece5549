#ifndef TREFOILBEND_REGISTRY_INTERNAL_PUBLISHER_H_
#define TREFOILBEND_REGISTRY_INTERNAL_PUBLISHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <vector>

#include "trefoilbend/configuration/messages.h"
#include "trefoilbend/core/ring.h"

namespace trefoilbend::registry::internal {

/** @brief Delivers the newest update to the duties that follow it; one whose
 * ring is full gets it later. */
class Publisher {
 public:
  /**
   * @brief Makes a publisher without followers.
   * @param context Event loop of the duty.
   */
  explicit Publisher(boost::asio::io_context& context) : timer(context) {}

  /**
   * @brief Sets the followers.
   * @param rings Rings that outlive the publisher.
   */
  void Start(std::vector<core::Ring<configuration::Update>*> rings);

  /**
   * @brief Delivers an update to all followers, in place of an earlier one that
   * some have not got yet.
   * @param next The update.
   */
  void Publish(configuration::Update next);

 private:
  void Deliver();

  std::vector<core::Ring<configuration::Update>*> followers;
  std::vector<bool> delivered;
  configuration::Update update;
  boost::asio::steady_timer timer;
};

}  // namespace trefoilbend::registry::internal

#endif  // TREFOILBEND_REGISTRY_INTERNAL_PUBLISHER_H_
